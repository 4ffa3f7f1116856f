//! A failover decision and its encoding.
//!
//! ```text
//! 0x80 | epoch 4 | revision 2 | decider 2 | utilization 1 | absorbed 2 | zone count 1 | per zone:
//!                                               local 2, inbound fraction 1, trust 1   up to 45 bytes
//! ```
//! Integers are big-endian. Fractions are encoded in 255ths. The local and the absorbed traffic are each given by a
//! [`PriorityThreshold`] instead of one fraction per class, so that the length does not depend on the number of classes.

use crate::plan::Plan;
use std::cmp::{Ordering, Reverse};
use thiserror::Error;

/// Maximum number of zones in a decision.
pub const MAX_ZONES: usize = 8;
/// Length of a decision with [`MAX_ZONES`] zones, in bytes.
pub const MAX_DECISION_BYTES: usize = HEADER_BYTES + ZONE_BYTES * MAX_ZONES;
/// First byte of a decision; other messages between proxies begin otherwise.
pub const DECISION_TAG: u8 = 0x80;

const HEADER_BYTES: usize = 13;
const ZONE_BYTES: usize = 4;
/// A fraction that is below 1 by up to this difference counts as 1.
const ROUNDING_ERROR: f64 = 1e-9;

/// Why a plan cannot be turned into a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// There are more zones than a decision can carry.
    #[error("encoding a plan: {zones} zones, at most {MAX_ZONES} fit")]
    TooManyZones {
        /// Zones of the plan.
        zones: usize,
    },
    /// The list of trusted fractions does not match the plan.
    #[error("encoding a plan: {zones} zones, but {trusted} trusted fractions")]
    TrustMismatch {
        /// Zones of the plan.
        zones: usize,
        /// Trusted fractions that were passed.
        trusted: usize,
    },
}

/// Why bytes are not a decision for this tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The first byte is not [`DECISION_TAG`].
    #[error("decoding a decision: expected tag {DECISION_TAG:#04x}, got {0:#04x}")]
    Tag(u8),
    /// The message is too short or too long for the configured number of zones.
    #[error("decoding a decision: unexpected length of {0} bytes")]
    Length(usize),
    /// The number of zones differs from the one configured here.
    #[error("decoding a decision: expected {expected} zones, got {encoded}")]
    ZoneCount {
        /// Zones configured here.
        expected: usize,
        /// Zones that the message states.
        encoded: u8,
    },
}

/// A position in the classes sorted by descending priority weight. Classes above it are included in full, the class at it
/// by a fraction, classes below it not at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PriorityThreshold {
    /// Number of classes included in full.
    pub full_classes: u8,
    /// Fraction of the next class, in 255ths.
    pub fraction: u8,
}

impl PriorityThreshold {
    /// The threshold of per-class fractions, given by descending priority weight.
    fn from_fractions(fractions: impl Iterator<Item = f64>) -> PriorityThreshold {
        let mut threshold = PriorityThreshold::default();
        for fraction in fractions {
            if fraction < 1.0 - ROUNDING_ERROR {
                threshold.fraction = to_255ths(fraction);
                break;
            }
            threshold.full_classes += 1;
        }
        threshold
    }

    /// The included fraction, 0 to 1, of the class with this rank; rank 0 has the highest priority weight.
    pub fn class_fraction(self, rank: usize) -> f64 {
        match rank.cmp(&usize::from(self.full_classes)) {
            Ordering::Less => 1.0,
            Ordering::Equal => f64::from(self.fraction) / 255.0,
            Ordering::Greater => 0.0,
        }
    }

    /// The threshold as one number, 255 per class.
    fn position(self) -> u32 {
        u32::from(self.full_classes) * 255 + u32::from(self.fraction)
    }

    fn is_within(self, other: PriorityThreshold, tolerance: u8) -> bool {
        self.position().abs_diff(other.position()) <= u32::from(tolerance)
    }
}

/// The part of a decision that concerns one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ZoneDirective {
    /// The zone's own traffic that it serves itself.
    pub local: PriorityThreshold,
    /// Fraction that this zone receives of all traffic sent from zone to zone, in 255ths.
    pub inbound_fraction: u8,
    /// Fraction of its capacity that the zone is trusted with, in 255ths.
    pub trust: u8,
}

impl ZoneDirective {
    fn is_within(&self, other: &ZoneDirective, tolerance: u8) -> bool {
        self.trust == other.trust
            && self.inbound_fraction.abs_diff(other.inbound_fraction) <= tolerance
            && self.local.is_within(other.local, tolerance)
    }
}

/// Orders decisions by age. A decider that sees a majority of the tier increments the epoch; one that sees a minority
/// increments only the revision within its current epoch. So after a partition heals, the majority's decision supersedes
/// all decisions that the minority made meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DecisionVersion {
    /// Incremented by decisions of a majority.
    pub epoch: u32,
    /// Incremented by decisions of a minority; 0 at the start of an epoch.
    pub revision: u16,
}

/// The plan that all proxies of the tier follow, with its version and origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Its order relative to other decisions.
    pub version: DecisionVersion,
    /// The member that made the decision.
    pub decider: u16,
    /// Utilization that zones are filled to, in 255ths of their trusted capacity.
    pub utilization: u8,
    /// The part of the traffic leaving its zone that other zones have headroom for; the remainder goes to another region.
    pub absorbed: PriorityThreshold,
    /// The directives by zone.
    pub zones: Vec<ZoneDirective>,
}

fn to_255ths(fraction: f64) -> u8 {
    (fraction.clamp(0.0, 1.0) * 255.0).round() as u8
}

impl Decision {
    /// Encodes a plan. `trust` is the trusted fraction (0 to 1) by zone; `class_order` has the indices of the classes by
    /// descending priority weight.
    ///
    /// # Errors
    /// [`PlanError`] where there are more than [`MAX_ZONES`] zones, or `trust` has another length than the plan.
    pub fn from_plan(
        version: DecisionVersion, decider: u16, plan: &Plan, trust: &[f64], class_order: &[usize],
    ) -> Result<Decision, PlanError> {
        let zones = plan.local_fraction.len();
        if zones > MAX_ZONES {
            return Err(PlanError::TooManyZones { zones });
        }
        if trust.len() != zones {
            return Err(PlanError::TrustMismatch { zones, trusted: trust.len() });
        }
        let directive = |zone: usize| {
            let local = class_order.iter().map(|class| plan.local_fraction[zone][*class]);
            ZoneDirective {
                local: PriorityThreshold::from_fractions(local),
                inbound_fraction: to_255ths(plan.inbound_fraction[zone]),
                trust: to_255ths(trust[zone]),
            }
        };
        let absorbed = class_order.iter().map(|class| 1.0 - plan.spillover_fraction[*class]);
        Ok(Decision {
            version,
            decider,
            utilization: to_255ths(plan.utilization),
            absorbed: PriorityThreshold::from_fractions(absorbed),
            zones: (0..zones).map(directive).collect(),
        })
    }

    /// Whether this decision replaces the other: by version, then by the lower decider. A restarted decider may have used
    /// one version for two decisions; their bytes break the tie, so that all proxies converge whatever the order in which
    /// they receive them.
    pub fn supersedes(&self, other: &Decision) -> bool {
        let precedence =
            |decision: &Decision| (decision.version, Reverse(decision.decider), decision.encode());
        precedence(self) > precedence(other)
    }

    /// Whether the other requires nearly the same, whatever its version: no figure differs by more than `tolerance`
    /// 255ths, and trust does not differ at all.
    pub fn is_within(&self, other: &Decision, tolerance: u8) -> bool {
        self.utilization.abs_diff(other.utilization) <= tolerance
            && self.absorbed.is_within(other.absorbed, tolerance)
            && self.zones.len() == other.zones.len()
            && self.zones.iter().zip(&other.zones).all(|(own, other)| own.is_within(other, tolerance))
    }

    /// Encodes the decision; zones beyond [`MAX_ZONES`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![DECISION_TAG];
        out.extend(self.version.epoch.to_be_bytes());
        out.extend(self.version.revision.to_be_bytes());
        out.extend(self.decider.to_be_bytes());
        out.extend([self.utilization, self.absorbed.full_classes, self.absorbed.fraction]);
        out.push(self.zones.len().min(MAX_ZONES) as u8);
        for zone in self.zones.iter().take(MAX_ZONES) {
            out.extend([zone.local.full_classes, zone.local.fraction, zone.inbound_fraction, zone.trust]);
        }
        out
    }

    /// Decodes a decision for a tier of `zones` zones.
    ///
    /// # Errors
    /// [`DecodeError`] where the bytes are not exactly such a decision.
    pub fn decode(bytes: &[u8], zones: usize) -> Result<Decision, DecodeError> {
        let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(DecodeError::Length(bytes.len()));
        };
        if header[0] != DECISION_TAG {
            return Err(DecodeError::Tag(header[0]));
        }
        if usize::from(header[12]) != zones || zones > MAX_ZONES {
            return Err(DecodeError::ZoneCount { expected: zones, encoded: header[12] });
        }
        if body.len() != ZONE_BYTES * zones {
            return Err(DecodeError::Length(bytes.len()));
        }
        let directive = |zone: &[u8]| ZoneDirective {
            local: PriorityThreshold { full_classes: zone[0], fraction: zone[1] },
            inbound_fraction: zone[2],
            trust: zone[3],
        };
        Ok(Decision {
            version: DecisionVersion {
                epoch: u32::from_be_bytes([header[1], header[2], header[3], header[4]]),
                revision: u16::from_be_bytes([header[5], header[6]]),
            },
            decider: u16::from_be_bytes([header[7], header[8]]),
            utilization: header[9],
            absorbed: PriorityThreshold { full_classes: header[10], fraction: header[11] },
            zones: body.chunks_exact(ZONE_BYTES).map(directive).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
