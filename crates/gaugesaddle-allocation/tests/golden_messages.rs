//! The failure: a renamed or moved field changes the words about loans that proxies of two builds exchange.

use gaugesaddle_allocation::{LeaseManager, PeerMessage, ReservationTerms};
use gaugesaddle_balancer::{Micros, Time};

const GOLDEN: &str = include_str!("data/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Two places of two quantities each; the second one needs more than its part for a while, then none.
fn conversation() -> Vec<String> {
    let terms = ReservationTerms {
        total: 200,
        members: 2,
        reserved_percent: 10,
        lease_duration: Micros(8_000_000),
        grace_period: Micros(1_000_000),
    };
    let start = Time(1_000_000);
    let loans = |place| {
        LeaseManager::new(&[terms, terms], place, 0x0102_0300 + u32::from(place), start).expect("terms")
    };
    let mut places = [loans(0), loans(1)];
    let mut lines = Vec::new();
    for second in 0..40u64 {
        let now = Time(start.0 + second * 1_000_000);
        let busy = if second < 25 { 150.0 } else { 0.0 };
        for (place, needs) in [[5.0, 5.0], [5.0, busy]].into_iter().enumerate() {
            let mut letters: Vec<PeerMessage> = Vec::new();
            places[place].observe(now, &needs, &[0, 1], &mut letters);
            let mut from = place;
            while !letters.is_empty() {
                let mut answers = Vec::new();
                for (to, bytes) in letters {
                    lines.push(format!("{second} {from}>{to} {}", hex(&bytes)));
                    places[usize::from(to)].handle(now, from as u16, &bytes, &mut answers);
                }
                (letters, from) = (answers, 1 - from);
            }
        }
    }
    lines
}

#[test]
fn words_of_every_kind_keep_their_bytes() {
    let lines = conversation();
    for kind in ["01", "02", "03", "04"] {
        let said = |line: &String| line.split(' ').nth(2).is_some_and(|bytes| bytes[2..4] == *kind);
        assert!(lines.iter().any(said), "kind {kind} is among {lines:?}");
    }
    assert_eq!(lines.join("\n") + "\n", GOLDEN);
}
