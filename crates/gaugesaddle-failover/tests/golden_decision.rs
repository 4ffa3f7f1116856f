//! The failure: a renamed or moved field changes the decisions that proxies of two builds pass on to each other.

use gaugesaddle_failover::{Cut, Decision, Number, Order};

const BYTES: [u8; 21] = [0x80, 0, 0, 1, 4, 2, 3, 0, 9, 200, 2, 77, 2, 1, 128, 30, 255, 0, 0, 225, 64];

#[test]
fn a_decision_keeps_its_bytes() {
    let zone = |whole, part, to, trust| Order { near: Cut { whole, part }, to, trust };
    let decision = Decision {
        number: Number { epoch: 260, round: 515 },
        by: 9,
        level: 200,
        placed: Cut { whole: 2, part: 77 },
        zones: vec![zone(1, 128, 30, 255), zone(0, 0, 225, 64)],
    };
    assert_eq!(decision.encode(), BYTES);
    assert_eq!(Decision::decode(&BYTES, 2), Some(decision));
}
