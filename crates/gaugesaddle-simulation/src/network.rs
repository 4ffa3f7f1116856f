//! Links between machines.

use crate::Millis;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A machine, or somebody outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A machine that serves control.
    Control(u32),
    /// A proxy's machine.
    Proxy(u32),
    /// An operator.
    Operator(u32),
    /// A backend.
    Backend(u32),
}

/// Least time that a message takes.
const MIN_DELAY: Millis = 1;
/// A random part of this is added.
const DELAY_SPREAD: u64 = 4;

/// What harms a link, and until when.
#[derive(Clone, Copy, Debug)]
enum Harm {
    /// Nothing passes.
    Cut,
    /// Messages take so much longer and keep their order.
    Stalled(Millis),
    /// So many messages in a hundred are lost.
    Lossy(u64),
}

/// All links.
#[derive(Debug, Default)]
pub struct Network {
    harms: BTreeMap<(Node, Node), Vec<(Millis, Harm)>>,
    /// When the last message of a link arrives: links keep the order.
    last: BTreeMap<(Node, Node), Millis>,
}

impl Network {
    fn harm(&mut self, from: Node, to: Node, until: Millis, harm: Harm) {
        self.harms.entry((from, to)).or_default().push((until, harm));
    }

    /// Lets nothing pass one way.
    pub fn cut(&mut self, from: Node, to: Node, until: Millis) {
        self.harm(from, to, until, Harm::Cut);
    }

    /// Delays what passes one way.
    pub fn stall(&mut self, from: Node, to: Node, until: Millis, delay: Millis) {
        self.harm(from, to, until, Harm::Stalled(delay));
    }

    /// Loses a part of what passes one way.
    pub fn lose(&mut self, from: Node, to: Node, until: Millis, percent: u64) {
        self.harm(from, to, until, Harm::Lossy(percent));
    }

    /// Ends all harm.
    pub fn calm(&mut self) {
        self.harms.clear();
    }

    fn present(&self, now: Millis, from: Node, to: Node) -> impl Iterator<Item = Harm> + '_ {
        let harms = self.harms.get(&(from, to)).into_iter().flatten();
        harms.filter(move |(until, _)| now < *until).map(|(_, harm)| *harm)
    }

    /// Whether a message that arrives now is let through.
    pub fn passes(&self, now: Millis, from: Node, to: Node) -> bool {
        !self.present(now, from, to).any(|harm| matches!(harm, Harm::Cut))
    }

    /// When a message sent now arrives; `None`: never.
    pub fn send(&mut self, now: Millis, from: Node, to: Node, random: &mut Pcg64Mcg) -> Option<Millis> {
        let mut delay = MIN_DELAY + random.next_u64() % DELAY_SPREAD;
        for harm in self.present(now, from, to) {
            match harm {
                Harm::Cut => return None,
                Harm::Stalled(longer) => delay += longer,
                Harm::Lossy(percent) if random.next_u64() % 100 < percent => return None,
                Harm::Lossy(_) => {}
            }
        }
        let last = self.last.entry((from, to)).or_insert(0);
        *last = (*last).max(now + delay);
        Some(*last)
    }
}
