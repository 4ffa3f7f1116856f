//! Guards against incompatible encodings: a renamed or moved field must not change the lease messages that proxies of two
//! builds exchange.

use gaugesaddle_allocation::{LeaseManager, PeerMessage, ReservationTerms};
use gaugesaddle_balancer::{Micros, Time};

const GOLDEN: &str = include_str!("data/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The messages of two members with two quantities; the second member's demand exceeds its entitlement for a while, then
/// ends.
fn exchanged_messages() -> Vec<String> {
    let terms = ReservationTerms {
        total: 200,
        members: 2,
        reserved_percent: 10,
        lease_duration: Micros(8_000_000),
        grace_period: Micros(1_000_000),
    };
    let start = Time(1_000_000);
    let lease_manager = |member| {
        LeaseManager::new(&[terms, terms], member, 0x0102_0300 + u32::from(member), start)
            .expect("valid terms")
    };
    let mut members = [lease_manager(0), lease_manager(1)];
    let mut lines = Vec::new();
    for second in 0..40u64 {
        let now = Time(start.0 + second * 1_000_000);
        let demand = if second < 25 { 150.0 } else { 0.0 };
        for (member, demands) in [[5.0, 5.0], [5.0, demand]].into_iter().enumerate() {
            let mut messages: Vec<PeerMessage> = Vec::new();
            members[member].observe(now, &demands, &[0, 1], &mut messages);
            let mut from = member;
            while !messages.is_empty() {
                let mut answers = Vec::new();
                for (to, bytes) in messages {
                    lines.push(format!("{second} {from}>{to} {}", hex(&bytes)));
                    members[usize::from(to)].handle(now, from as u16, &bytes, &mut answers);
                }
                (messages, from) = (answers, 1 - from);
            }
        }
    }
    lines
}

#[test]
fn messages_of_every_kind_keep_their_encoding() {
    let lines = exchanged_messages();
    for kind in ["01", "02", "03", "04"] {
        let has_kind = |line: &String| line.split(' ').nth(2).is_some_and(|bytes| bytes[2..4] == *kind);
        assert!(lines.iter().any(has_kind), "expected a message of kind {kind} among {lines:?}");
    }
    assert_eq!(lines.join("\n") + "\n", GOLDEN);
}
