//! Shrinking: a minimal set of faults that still violates a rule.

use crate::{simulate, Plan};

/// Removes faults one by one, as long as the plan still violates a rule. The result is minimal in that no single fault
/// can be removed from it.
pub fn shrink(plan: &Plan) -> Plan {
    let mut smallest = plan.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        if simulate(&candidate).violations.is_empty() {
            index += 1;
        } else {
            smallest = candidate;
        }
    }
    smallest
}
