use super::*;

const DAY: u64 = 86_400 * 1_000_000;

fn good() -> Seen {
    let valid = (Time(10 * DAY), Time(100 * DAY));
    Seen { valid, pair: true, mode: 0o600, own_name: true, chain: 1, anchors: 1 }
}

#[test]
fn each_flaw_keeps_the_files_out_of_use_by_its_own_name() {
    let now = Time(50 * DAY);
    assert_eq!(judge(now, &good()), Ok(()));
    for (seen, expected) in [
        (Seen { mode: 0o640, ..good() }, Unfit::Readable(0o640)),
        (Seen { mode: 0o604, ..good() }, Unfit::Readable(0o604)),
        (Seen { chain: 0, ..good() }, Unfit::NoCertificate),
        (Seen { anchors: 0, ..good() }, Unfit::NoAnchor),
        (Seen { pair: false, ..good() }, Unfit::Mismatch),
        (Seen { own_name: false, ..good() }, Unfit::Name),
        (Seen { valid: (Time(0), Time(49 * DAY)), ..good() }, Unfit::Expired),
        (Seen { valid: (Time(51 * DAY), Time(99 * DAY)), ..good() }, Unfit::Early),
    ] {
        assert_eq!(judge(now, &seen), Err(expected));
    }
}

#[test]
fn the_end_is_told_long_before() {
    let end = Time(100 * DAY);
    for (day, expected) in
        [(10, End::Far), (69, End::Far), (71, End::Soon), (94, End::Urgent), (101, End::Over)]
    {
        assert_eq!(End::at(Time(day * DAY), end), expected, "day {day}");
    }
    assert_eq!(End::at(Time(0), Time(u64::MAX)), End::Far);
}
