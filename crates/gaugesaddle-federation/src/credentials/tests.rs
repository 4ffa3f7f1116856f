use super::*;

fn day(day: u64) -> Time {
    Time(day * DAY_US)
}

fn valid() -> CredentialMetadata {
    CredentialMetadata {
        valid_from: day(10),
        valid_until: day(100),
        key_matches: true,
        key_mode: 0o600,
        names_own_region: true,
        chain_length: 1,
        anchors: 1,
    }
}

#[test]
fn each_invalid_property_has_a_distinct_error() {
    let now = day(50);
    assert_eq!(validate(now, &valid()), Ok(()));
    for (credential_metadata, expected) in [
        (CredentialMetadata { key_mode: 0o640, ..valid() }, CredentialError::KeyAccessible(0o640)),
        (CredentialMetadata { key_mode: 0o604, ..valid() }, CredentialError::KeyAccessible(0o604)),
        (CredentialMetadata { chain_length: 0, ..valid() }, CredentialError::NoCertificate),
        (CredentialMetadata { anchors: 0, ..valid() }, CredentialError::NoAnchor),
        (CredentialMetadata { key_matches: false, ..valid() }, CredentialError::KeyMismatch),
        (CredentialMetadata { names_own_region: false, ..valid() }, CredentialError::WrongName),
        (
            CredentialMetadata { valid_from: day(0), valid_until: day(49), ..valid() },
            CredentialError::Expired,
        ),
        (
            CredentialMetadata { valid_from: day(51), valid_until: day(99), ..valid() },
            CredentialError::NotYetValid,
        ),
    ] {
        assert_eq!(validate(now, &credential_metadata), Err(expected));
    }
}

#[test]
fn expiry_levels_follow_the_remaining_validity() {
    for (now, expected) in [
        (10, Expiry::Distant),
        (69, Expiry::Distant),
        (71, Expiry::Near),
        (94, Expiry::Urgent),
        (101, Expiry::Expired),
    ] {
        assert_eq!(Expiry::of(day(now), day(100)), expected, "day {now}");
    }
    assert_eq!(Expiry::of(Time(0), Time(u64::MAX)), Expiry::Distant);
}
