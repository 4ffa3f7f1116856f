//! A decision of the tier, as it travels: which plan holds, whose it is, and which one is newer.
//!
//! ```text
//! 0x80 | epoch 4 | round 2 | by 2 | level 1 | away 2 | zones 1 | each: near 2, to 1, trust 1      up to 45 bytes
//! ```
//! What stays near or leaves is told as one place in the order of worth: classes above it whole, the class there by a part
//! of 255, classes below it none. Big-endian.

use crate::plan::Plan;

/// Zones that a decision has room for.
pub const MOST_ZONES: usize = 8;
/// The longest decision.
pub const DECISION_BYTES: usize = 13 + 4 * MOST_ZONES;
/// Its first byte: other notes begin otherwise.
pub const TAG: u8 = 0x80;

/// A place in the order of worth: so many classes whole, the next by a part of 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Cut {
    /// Classes that are in whole, those worth most first.
    pub whole: u8,
    /// Of the next so many 255ths.
    pub part: u8,
}

impl Cut {
    /// The place where the classes, in the order of worth, stop to be in.
    fn of(parts: impl Iterator<Item = f64>) -> Cut {
        let (mut whole, mut part) = (0, 0);
        for value in parts {
            if value < 1.0 - 1e-9 {
                part = (value.clamp(0.0, 1.0) * 255.0).round() as u8;
                break;
            }
            whole += 1;
        }
        Cut { whole, part }
    }

    /// The part of the class that is the so many-th in the order of worth.
    pub fn part(self, rank: usize) -> f64 {
        match rank.cmp(&usize::from(self.whole)) {
            std::cmp::Ordering::Less => 1.0,
            std::cmp::Ordering::Equal => f64::from(self.part) / 255.0,
            std::cmp::Ordering::Greater => 0.0,
        }
    }
}

/// What a decision says of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Order {
    /// What of its own stays.
    pub near: Cut,
    /// Its part of all that leaves a zone for another, in 255ths.
    pub to: u8,
    /// How far it is trusted, in 255ths of what it can do.
    pub trust: u8,
}

/// Which decision is newer: a side with more than half of the tier begins an epoch with each, another only a round in the
/// epoch that it knows. So whatever a smaller side did meanwhile, the greater one's counts at the heal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    /// See above.
    pub epoch: u32,
    /// See above.
    pub round: u16,
}

/// A decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Decision {
    /// Which.
    pub number: Number,
    /// Whose: a place of the tier.
    pub by: u16,
    /// The load that zones are filled to, in 255ths.
    pub level: u8,
    /// What of that which leaves a zone still finds a place in another; the rest is for a region.
    pub placed: Cut,
    /// By zone.
    pub zones: Vec<Order>,
}

fn byte(part: f64) -> u8 {
    (part.clamp(0.0, 1.0) * 255.0).round() as u8
}

impl Decision {
    /// A plan as a decision; `order`: the classes by worth. `None` where there are more zones than fit.
    pub fn of(number: Number, by: u16, plan: &Plan, trust: &[f64], order: &[usize]) -> Option<Decision> {
        if plan.near.len() > MOST_ZONES || trust.len() != plan.near.len() {
            return None;
        }
        let zone = |(z, near): (usize, &Vec<f64>)| Order {
            near: Cut::of(order.iter().map(|k| near[*k])),
            to: byte(plan.to[z]),
            trust: byte(trust[z]),
        };
        let placed = Cut::of(order.iter().map(|k| 1.0 - plan.away[*k]));
        let zones = plan.near.iter().enumerate().map(zone).collect();
        Some(Decision { number, by, level: byte(plan.level), placed, zones })
    }

    /// Whether it counts instead of another: the newer one does, of two alike that of the lower place. Two processes of one
    /// place may have given one number to two decisions; which of them all come to hold must not depend on the way.
    pub fn over(&self, other: &Decision) -> bool {
        let rank = |d: &Decision| (d.number, std::cmp::Reverse(d.by), d.encode());
        rank(self) > rank(other)
    }

    /// Whether the other gives about the same orders, whatever its number: no figure is off by more than so many 255ths, and
    /// trust by none.
    pub fn says_about(&self, other: &Decision, within: u8) -> bool {
        let cut = |c: Cut| u32::from(c.whole) * 255 + u32::from(c.part);
        let near = |a: u32, b: u32| a.abs_diff(b) <= u32::from(within);
        let zone = |(a, b): (&Order, &Order)| {
            a.trust == b.trust && a.to.abs_diff(b.to) <= within && near(cut(a.near), cut(b.near))
        };
        self.level.abs_diff(other.level) <= within
            && near(cut(self.placed), cut(other.placed))
            && self.zones.len() == other.zones.len()
            && self.zones.iter().zip(&other.zones).all(zone)
    }

    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![TAG];
        out.extend(self.number.epoch.to_be_bytes());
        out.extend(self.number.round.to_be_bytes());
        out.extend(self.by.to_be_bytes());
        out.extend([self.level, self.placed.whole, self.placed.part]);
        out.push(self.zones.len().min(MOST_ZONES) as u8);
        for z in self.zones.iter().take(MOST_ZONES) {
            out.extend([z.near.whole, z.near.part, z.to, z.trust]);
        }
        out
    }

    /// From bytes; `None` where they are no decision for so many zones.
    pub fn decode(bytes: &[u8], zones: usize) -> Option<Decision> {
        let (head, rest) = bytes.split_at_checked(13)?;
        let whole = rest.len() == 4 * zones && usize::from(head[12]) == zones && zones <= MOST_ZONES;
        if head[0] != TAG || !whole {
            return None;
        }
        let zone = |z: &[u8]| Order { near: Cut { whole: z[0], part: z[1] }, to: z[2], trust: z[3] };
        Some(Decision {
            number: Number {
                epoch: u32::from_be_bytes([head[1], head[2], head[3], head[4]]),
                round: u16::from_be_bytes([head[5], head[6]]),
            },
            by: u16::from_be_bytes([head[7], head[8]]),
            level: head[9],
            placed: Cut { whole: head[10], part: head[11] },
            zones: rest.chunks(4).map(zone).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
