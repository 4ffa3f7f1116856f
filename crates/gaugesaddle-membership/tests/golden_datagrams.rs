//! Guards against a change of the datagram format, which would break compatibility between proxies of two builds: a
//! renamed or moved field changes the encoded bytes.
//!
//! The labels are those of `data/datagrams.txt`, which must not be edited.

use gaugesaddle_membership::wire::{decode_header, decode_sections, DatagramBuilder, Header, Section};
use gaugesaddle_membership::{Authenticator, Boot, MemberState, MemberStatus, Signals, ZoneSignal};

const GOLDEN: &str = include_str!("data/datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn all_sections() -> Vec<(&'static str, Section)> {
    let status = |state| MemberStatus { boot: Boot(0x0900_0001), incarnation: 515, state };
    let update = |state| Section::Update { subject: 7, reporter: 8, status: status(state) };
    vec![
        ("ping", Section::Ping { nonce: 0x0102_0304, status: Some(status(MemberState::Suspect)) }),
        ("ping without claim", Section::Ping { nonce: 1, status: None }),
        ("ack", Section::Ack { nonce: 2 }),
        (
            "ping request",
            Section::PingRequest { target: 1, nonce: 3, status: Some(status(MemberState::Alive)) },
        ),
        ("ping request receipt", Section::PingRequestReceipt { nonce: 4 }),
        ("indirect ping", Section::IndirectPing { origin: 5, nonce: 5, status: None }),
        ("indirect ack", Section::IndirectAck { origin: 6, nonce: 6 }),
        ("forwarded ack", Section::ForwardedAck { subject: 1, boot: Boot(3), incarnation: 4, nonce: 5 }),
        ("alive", update(MemberState::Alive)),
        ("suspect", update(MemberState::Suspect)),
        ("dead", update(MemberState::Dead)),
        ("left", update(MemberState::Departed)),
        (
            "record",
            Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 300, body: vec![1, 2, 3] },
        ),
        ("record request", Section::RecordRequest { subject: 9 }),
        ("note", Section::Message { body: vec![4, 5] }),
        ("hello", Section::Hello { name: "p1".into(), zone: "a".into() }),
    ]
}

fn encoded_datagrams() -> Vec<String> {
    let head = Header { to: 3, from: 4, boot: Boot(5), incarnation: 6, counter: 7 };
    let mut encoded: Vec<String> = all_sections()
        .into_iter()
        .map(|(name, section)| {
            let mut datagram = DatagramBuilder::new(head, 0);
            assert!(datagram.push(&section), "{name} must fit into a datagram");
            let bytes = datagram.finish();
            assert_eq!(decode_header(&bytes), Ok(head), "{name}");
            assert_eq!(decode_sections(&bytes), Ok(vec![section]), "{name}");
            format!("{name}: {}", hex(&bytes))
        })
        .collect();
    let auth = Authenticator::from_secret(&[7; 32]).expect("the key has 32 bytes");
    encoded.push(format!("tagged: {}", hex(&auth.sign(DatagramBuilder::new(head, 16).finish()))));
    let zone = ZoneSignal { backends: 12.0, unhealthy: 3.0, capacity_per_s: 400.0, unhealthy_for_s: 2.5 };
    let signals = Signals {
        arrivals_per_s: vec![10.0, 0.0, 350.5],
        in_flight: 17.0,
        rejected_per_s: 0.25,
        demand_per_s: Some(360.5),
        zones: vec![zone, ZoneSignal::default()],
    };
    encoded.push(format!("signals: {}", hex(&signals.encode())));
    encoded
        .push(format!("signals without need: {}", hex(&Signals { demand_per_s: None, ..signals }.encode())));
    encoded
}

#[test]
fn every_section_encodes_to_its_golden_bytes() {
    assert_eq!(encoded_datagrams().join("\n") + "\n", GOLDEN);
}
