use super::*;
use gaugesaddle_testbed::authority::Authority;
use rand_core::{RngCore, SeedableRng};

const YEAR_2030: Time = Time(1_893_456_000_000_000);

fn assemble_identity(certificate: &[u8], key: &[u8], trust: &[u8], now: Time) -> Result<Identity, KeyError> {
    let path = Path::new("/x");
    let file = |key, bytes: &[u8]| KeyFile { key, path, bytes: bytes.to_vec(), mode: 0o600 };
    assemble("north", file("certificate", certificate), file("key", key), file("trust", trust), now)
}

/// Key files that are truncated, altered, concatenated or mixed up at random yield an error or a valid identity, never a
/// panic, and no error message reveals the contents of a file.
#[test]
fn arbitrary_bytes_yield_a_valid_identity_or_an_error() {
    let (authority, other) = (Authority::new(), Authority::new());
    let (keys, foreign_keys) = (authority.issue("north"), other.issue("north"));
    let now = crate::clock::Clock::new().now();
    assert!(assemble_identity(
        keys.certificate.as_bytes(),
        keys.key.as_bytes(),
        authority.pem.as_bytes(),
        now
    )
    .is_ok());
    assert!(matches!(
        assemble_identity(
            keys.certificate.as_bytes(),
            keys.key.as_bytes(),
            authority.pem.as_bytes(),
            YEAR_2030
        ),
        Err(KeyError::InvalidCredentials(CredentialError::Expired))
    ));
    let valid_files =
        [&keys.certificate, &keys.key, &authority.pem, &foreign_keys.certificate, &foreign_keys.key];
    let secret: Vec<&str> = keys.key.lines().filter(|l| l.len() > 30).collect();
    let mut rng = rand_pcg::Pcg32::seed_from_u64(11);
    let mut random_below = |below: usize| rng.next_u32() as usize % below.max(1);
    let mut valid_sets = 0;
    // GAUGESADDLE_FUZZ_CASES sets another number of cases, generated from the same seed.
    let cases = std::env::var("GAUGESADDLE_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    for _ in 0..cases {
        let mut files = [valid_files[0], valid_files[1], valid_files[2]].map(|f| f.as_bytes().to_vec());
        for _ in 0..=random_below(2) {
            let file = random_below(3);
            let bytes = &mut files[file];
            match random_below(5) {
                0 => bytes.truncate(random_below(bytes.len() + 1)),
                1 if !bytes.is_empty() => {
                    let at = random_below(bytes.len());
                    bytes[at] = random_below(256) as u8;
                }
                2 => bytes.extend_from_slice(valid_files[random_below(5)].as_bytes()),
                3 => *bytes = valid_files[random_below(5)].as_bytes().to_vec(),
                _ => {
                    let at = random_below(bytes.len() + 1);
                    let more: Vec<u8> = (0..random_below(40)).map(|_| random_below(256) as u8).collect();
                    bytes.splice(at..at, more);
                }
            }
        }
        match assemble_identity(&files[0], &files[1], &files[2], now) {
            Ok(_) => valid_sets += 1,
            Err(e) => {
                let message = e.to_string();
                assert!(
                    message.starts_with("region.") && secret.iter().all(|s| !message.contains(s)),
                    "{message}"
                );
            }
        }
    }
    assert!(
        (cases / 200..cases / 20 * 19).contains(&valid_sets),
        "{valid_sets} of {cases} sets were valid: both valid and invalid sets must be generated"
    );
}
