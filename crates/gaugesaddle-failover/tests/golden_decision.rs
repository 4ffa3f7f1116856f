//! Guards against incompatible encodings: a renamed or moved field must not change the decisions that proxies of two builds
//! exchange.

use gaugesaddle_failover::{Decision, DecisionVersion, PriorityThreshold, ZoneDirective};

const BYTES: [u8; 21] = [0x80, 0, 0, 1, 4, 2, 3, 0, 9, 200, 2, 77, 2, 1, 128, 30, 255, 0, 0, 225, 64];

#[test]
fn a_decision_keeps_its_encoding() {
    let zone = |full_classes, fraction, inbound_fraction, trust| ZoneDirective {
        local: PriorityThreshold { full_classes, fraction },
        inbound_fraction,
        trust,
    };
    let decision = Decision {
        version: DecisionVersion { epoch: 260, revision: 515 },
        decider: 9,
        utilization: 200,
        absorbed: PriorityThreshold { full_classes: 2, fraction: 77 },
        zones: vec![zone(1, 128, 30, 255), zone(0, 0, 225, 64)],
    };
    assert_eq!(decision.encode(), BYTES);
    assert_eq!(Decision::decode(&BYTES, 2), Ok(decision));
}
