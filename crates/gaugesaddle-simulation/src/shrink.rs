//! The fewest faults of a plan that still break a rule.

use crate::{play, Plan};

/// Leaves faults out one after the other for as long as the day still breaks a rule.
pub fn shrink(plan: &Plan) -> Plan {
    let mut least = plan.clone();
    let mut at = 0;
    while at < least.faults.len() {
        let mut fewer = least.clone();
        fewer.faults.remove(at);
        if play(&fewer).violations.is_empty() {
            at += 1;
        } else {
            least = fewer;
        }
    }
    least
}
