//! The failure: a renamed or moved field changes the datagrams between proxies of two builds.

use gaugesaddle_membership::wire::{header, sections, Draft, Header, Section};
use gaugesaddle_membership::{Boot, Claim, Seal, Signals, Standing, ZoneSignal};

const GOLDEN: &str = include_str!("data/datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn all_sections() -> Vec<(&'static str, Section)> {
    let claim = |standing| Claim { boot: Boot(0x0900_0001), incarnation: 515, standing };
    let rumor = |standing| Section::Rumor { subject: 7, by: 8, claim: claim(standing) };
    vec![
        ("ping", Section::Ping { nonce: 0x0102_0304, claim: Some(claim(Standing::Suspect)) }),
        ("ping without claim", Section::Ping { nonce: 1, claim: None }),
        ("ack", Section::Ack { nonce: 2 }),
        ("ping request", Section::AskFor { target: 1, nonce: 3, claim: Some(claim(Standing::Alive)) }),
        ("ping request receipt", Section::Receipt { nonce: 4 }),
        ("indirect ping", Section::PingFor { origin: 5, nonce: 5, claim: None }),
        ("indirect ack", Section::AckFor { origin: 6, nonce: 6 }),
        ("forwarded ack", Section::Vouch { subject: 1, boot: Boot(3), incarnation: 4, nonce: 5 }),
        ("alive", rumor(Standing::Alive)),
        ("suspect", rumor(Standing::Suspect)),
        ("dead", rumor(Standing::Dead)),
        ("left", rumor(Standing::Left)),
        (
            "record",
            Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 300, body: vec![1, 2, 3] },
        ),
        ("record request", Section::Want { subject: 9 }),
        ("note", Section::Note { body: vec![4, 5] }),
        ("hello", Section::Hello { name: "p1".into(), zone: "a".into() }),
    ]
}

fn lines() -> Vec<String> {
    let head = Header { to: 3, from: 4, boot: Boot(5), incarnation: 6, counter: 7 };
    let mut lines: Vec<String> = all_sections()
        .into_iter()
        .map(|(name, section)| {
            let mut draft = Draft::new(head, 0);
            assert!(draft.push(&section), "{name} fits");
            let bytes = draft.finish();
            assert_eq!(header(&bytes), Ok(head), "{name}");
            assert_eq!(sections(&bytes), Ok(vec![section]), "{name}");
            format!("{name}: {}", hex(&bytes))
        })
        .collect();
    let seal = Seal::keyed(&[7; 32]).expect("a key of 32 bytes");
    lines.push(format!("tagged: {}", hex(&seal.close(Draft::new(head, 16).finish()))));
    let zone = ZoneSignal { backends: 12.0, ill: 3.0, can_per_s: 400.0, ill_for_s: 2.5 };
    let signals = Signals {
        arrivals: vec![10.0, 0.0, 350.5],
        held: 17.0,
        given_up: 0.25,
        need: Some(360.5),
        zones: vec![zone, ZoneSignal::default()],
    };
    lines.push(format!("signals: {}", hex(&signals.encode())));
    lines.push(format!("signals without need: {}", hex(&Signals { need: None, ..signals }.encode())));
    lines
}

#[test]
fn datagrams_of_every_section_keep_their_bytes() {
    assert_eq!(lines().join("\n") + "\n", GOLDEN);
}
