//! Links between nodes: delays, and the link faults in effect.

use crate::Millis;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control machine, by its address.
    Control(u32),
    /// A proxy's machine, by its number.
    Proxy(u32),
    /// An operator, by its number.
    Operator(u32),
    /// A backend, by its number.
    Backend(u32),
}

/// Minimum delay of a message, in ms.
const MIN_DELAY_MS: Millis = 1;
/// Exclusive maximum of the additional random delay, in ms.
const DELAY_JITTER_MS: u64 = 4;

/// A fault of a link.
#[derive(Clone, Copy, Debug)]
enum LinkFault {
    /// All messages are lost.
    Partitioned,
    /// Messages are delayed by this additional time and arrive in order.
    Delayed(Millis),
    /// This percentage of messages is lost.
    Lossy(u64),
}

#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    until: Millis,
    fault: LinkFault,
}

/// All links, each in one direction. Expired faults remain in the table until [`Network::heal`].
#[derive(Debug, Default)]
pub struct Network {
    faults: BTreeMap<(Node, Node), Vec<ActiveFault>>,
    /// Arrival time of the last message of each link: links deliver in order.
    last_arrival: BTreeMap<(Node, Node), Millis>,
}

impl Network {
    fn add_fault(&mut self, from: Node, to: Node, until: Millis, fault: LinkFault) {
        self.faults.entry((from, to)).or_default().push(ActiveFault { until, fault });
    }

    /// Loses all messages in one direction.
    pub fn partition(&mut self, from: Node, to: Node, until: Millis) {
        self.add_fault(from, to, until, LinkFault::Partitioned);
    }

    /// Delays the messages in one direction.
    pub fn delay(&mut self, from: Node, to: Node, until: Millis, delay: Millis) {
        self.add_fault(from, to, until, LinkFault::Delayed(delay));
    }

    /// Loses a percentage of the messages in one direction.
    pub fn lose(&mut self, from: Node, to: Node, until: Millis, percent: u64) {
        self.add_fault(from, to, until, LinkFault::Lossy(percent));
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.faults.clear();
    }

    fn faults_in_effect(&self, now: Millis, from: Node, to: Node) -> impl Iterator<Item = LinkFault> + '_ {
        let faults = self.faults.get(&(from, to)).into_iter().flatten();
        faults.filter(move |active| now < active.until).map(|active| active.fault)
    }

    /// Whether a message that arrives now is delivered: a partition also loses messages in flight.
    pub fn delivers(&self, now: Millis, from: Node, to: Node) -> bool {
        !self.faults_in_effect(now, from, to).any(|fault| matches!(fault, LinkFault::Partitioned))
    }

    /// Returns the arrival time of a message sent now, or `None` if it is lost.
    pub fn send(&mut self, now: Millis, from: Node, to: Node, random: &mut Pcg64Mcg) -> Option<Millis> {
        let mut delay = MIN_DELAY_MS + random.next_u64() % DELAY_JITTER_MS;
        for fault in self.faults_in_effect(now, from, to) {
            match fault {
                LinkFault::Partitioned => return None,
                LinkFault::Delayed(additional) => delay += additional,
                LinkFault::Lossy(percent) if random.next_u64() % 100 < percent => return None,
                LinkFault::Lossy(_) => {}
            }
        }
        let last_arrival = self.last_arrival.entry((from, to)).or_insert(0);
        *last_arrival = (*last_arrival).max(now + delay);
        Some(*last_arrival)
    }
}
