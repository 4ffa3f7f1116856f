use super::*;
use gaugesaddle_testbed::authority::Authority;
use rand_core::{RngCore, SeedableRng};

const YEAR_2030: Time = Time(1_893_456_000_000_000);

fn try_all(certificate: &[u8], key: &[u8], trust: &[u8], now: Time) -> Result<Identity, KeyError> {
    let path = Path::new("/x");
    let text = |key, bytes: &[u8]| KeyFile { key, path, bytes: bytes.to_vec(), mode: 0o600 };
    assemble("north", text("certificate", certificate), text("key", key), text("trust", trust), now)
}

/// Cut, changed, doubled and mixed up at random: an error or a sound set, never a panic, and no error tells what
/// stood in a file.
#[test]
fn any_bytes_are_keys_or_an_error() {
    let (authority, other) = (Authority::new(), Authority::new());
    let (keys, wrong) = (authority.issue("north"), other.issue("north"));
    let now = crate::clock::Clock::new().now();
    assert!(try_all(keys.certificate.as_bytes(), keys.key.as_bytes(), authority.pem.as_bytes(), now).is_ok());
    assert!(matches!(
        try_all(keys.certificate.as_bytes(), keys.key.as_bytes(), authority.pem.as_bytes(), YEAR_2030),
        Err(KeyError::Unfit(CredentialError::Expired))
    ));
    let sound = [&keys.certificate, &keys.key, &authority.pem, &wrong.certificate, &wrong.key];
    let secret: Vec<&str> = keys.key.lines().filter(|l| l.len() > 30).collect();
    let mut dice = rand_pcg::Pcg32::seed_from_u64(11);
    let mut draw = |below: usize| dice.next_u32() as usize % below.max(1);
    let mut sound_sets = 0;
    // GAUGESADDLE_FUZZ_CASES asks for more, of the same fixed seed.
    let cases = std::env::var("GAUGESADDLE_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    for _ in 0..cases {
        let mut files = [sound[0], sound[1], sound[2]].map(|f| f.as_bytes().to_vec());
        for _ in 0..=draw(2) {
            let file = draw(3);
            let bytes = &mut files[file];
            match draw(5) {
                0 => bytes.truncate(draw(bytes.len() + 1)),
                1 if !bytes.is_empty() => {
                    let at = draw(bytes.len());
                    bytes[at] = draw(256) as u8;
                }
                2 => bytes.extend_from_slice(sound[draw(5)].as_bytes()),
                3 => *bytes = sound[draw(5)].as_bytes().to_vec(),
                _ => {
                    let at = draw(bytes.len() + 1);
                    let more: Vec<u8> = (0..draw(40)).map(|_| draw(256) as u8).collect();
                    bytes.splice(at..at, more);
                }
            }
        }
        match try_all(&files[0], &files[1], &files[2], now) {
            Ok(_) => sound_sets += 1,
            Err(e) => {
                let told = e.to_string();
                assert!(told.starts_with("region.") && secret.iter().all(|s| !told.contains(s)), "{told}");
            }
        }
    }
    assert!(
        (cases / 200..cases / 20 * 19).contains(&sound_sets),
        "{sound_sets} sets were sound: both sorts must come"
    );
}
