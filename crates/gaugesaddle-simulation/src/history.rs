//! What was seen from outside, and the rules that it must keep.

use crate::Millis;
use gaugesaddle_config::ConfigPatch;
use gaugesaddle_protocol::{ChangeBody, Configuration, LogPosition, ReplicaId};
use std::collections::BTreeMap;
use std::fmt;

/// A proxy in touch has a change in force so long after its acknowledgement.
pub const APPLIED: Millis = 2000;
/// A proxy in touch sends nothing to a backend so long after its end was acknowledged.
pub const DRAINED: Millis = 2000;
/// A process that calls itself current has all that was committed so long ago: a follower's lease, and a few steps of
/// clocks in whole milliseconds.
pub const FOLLOWER_LEASE_MS: Millis = 605;

/// In a closed deployment a key may be used so long after its removal was acknowledged.
pub const REVOKED: Millis = 5000;
/// A proxy uses its proofs for so long: clocks run at speeds that differ.
pub const PROVEN: Millis = 4500;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas led one term.
    TwoLeaders {
        /// The term.
        term: u64,
        /// Who led first.
        one: ReplicaId,
        /// Who led then.
        other: ReplicaId,
    },
    /// One place of the history had two contents.
    TwoContents {
        /// The place.
        position: LogPosition,
    },
    /// A later place of the history has an earlier revision.
    WentBack {
        /// The place.
        position: LogPosition,
        /// The revision.
        revision: u64,
        /// The one before it.
        before: u64,
    },
    /// An order was confirmed and is not in force, or is not in the history.
    Lost {
        /// The revision.
        revision: u64,
    },
    /// An order was refused and is in force.
    RefusedInForce {
        /// The revision.
        revision: u64,
    },
    /// One order was both confirmed and refused.
    ConfirmedAndRefused {
        /// The revision.
        revision: u64,
    },
    /// Two orders were confirmed on the same revision, or under the same number.
    TwoConfirmed {
        /// The revision that both build on.
        base: u64,
        /// The revision.
        revision: u64,
    },
    /// A read saw less than had been confirmed, or read, before it began.
    StaleRead {
        /// What was seen.
        seen: u64,
        /// What was expected at least.
        expected: u64,
    },
    /// A process called itself current without what had been committed a stated time before.
    StaleFresh {
        /// Its machine.
        ip: u32,
        /// When.
        at: Millis,
    },
    /// A proxy in touch had not a change in force in time.
    NotApplied {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
        /// The revision.
        revision: u64,
        /// What was expected at least.
        expected: u64,
    },
    /// A proxy that has just started was given a configuration that was not current when it asked.
    StaleStart {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
    },
    /// A proxy would use keys of a configuration that was replaced too long ago.
    UsedTooLong {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
        /// The revision.
        revision: u64,
        /// What was confirmed long enough ago.
        expected: u64,
    },
    /// A proxy went back behind a configuration.
    Regressed {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
    },
    /// A proxy in touch would still send to a backend whose end was acknowledged.
    NotDrained {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
        /// The backend.
        backend: String,
    },
    /// A proxy in touch knows nothing of a backend that serves.
    NotKnown {
        /// The proxy.
        proxy: u32,
        /// When.
        at: Millis,
        /// The backend.
        backend: String,
    },
    /// In the calm at the end something did not come about.
    NoRecovery {
        /// What was expected.
        what: &'static str,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// How an order ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Confirmed.
    Taken,
    /// Refused.
    Refused,
    /// Given up without a clear answer.
    GivenUp,
}

/// An order, with all its attempts.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// The revision it builds on.
    pub base: u64,
    /// The revision it brings.
    pub revision: u64,
    /// What it brings.
    pub body: ChangeBody,
    /// When it was sent first.
    pub begun: Millis,
    /// When and how it ended.
    pub ended: Option<(Millis, Outcome)>,
}

impl OrderRecord {
    /// The document that is in force with its revision, if it was taken: a patch makes it of the one it builds on.
    fn makes(&self, in_force: &BTreeMap<u64, &Vec<u8>>) -> Option<Vec<u8>> {
        match &self.body {
            ChangeBody::Full(document) => Some(document.clone()),
            ChangeBody::Patch(patch) => {
                let base = if self.base == 0 { &[] } else { in_force.get(&self.base)?.as_slice() };
                ConfigPatch::parse(patch).ok()?.apply(base).ok()
            }
        }
    }
}

#[derive(Clone, Debug)]
struct ReadRecord {
    begun: Millis,
    /// When it ended, and the revision and document that it brought.
    ended: Option<(Millis, u64, Vec<u8>)>,
}

#[derive(Clone, Debug)]
struct CommittedState {
    seen: Millis,
    revision: u64,
    document: Vec<u8>,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Orders in the order in which they were first sent.
    pub orders: Vec<OrderRecord>,
    reads: Vec<ReadRecord>,
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<LogPosition, CommittedState>,
    violations: Vec<Violation>,
}

impl History {
    /// Notes a rule that was broken while the day ran.
    pub fn violated(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// A read begins; its number.
    pub fn begin_read(&mut self, now: Millis) -> usize {
        self.reads.push(ReadRecord { begun: now, ended: None });
        self.reads.len() - 1
    }

    /// A read has brought a configuration.
    pub fn end_read(&mut self, now: Millis, number: usize, configuration: Option<Configuration>) {
        let (revision, document) = configuration.map_or((0, Vec::new()), |c| (c.revision, c.document));
        self.reads[number].ended = Some((now, revision, document));
    }

    /// A replica leads a term.
    pub fn leads(&mut self, term: u64, replica: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(replica);
        if first != replica {
            self.violated(Violation::TwoLeaders { term, one: first, other: replica });
        }
    }

    /// Terms in which somebody led.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// A process calls a configuration committed.
    pub fn committed(&mut self, now: Millis, configuration: Configuration) {
        let Configuration { position, revision, document } = configuration;
        let state = CommittedState { seen: now, revision, document };
        let first = self.committed.entry(position).or_insert_with(|| state.clone());
        if (first.revision, &first.document) != (state.revision, &state.document) {
            self.violated(Violation::TwoContents { position });
        }
    }

    /// A process told a proxy that it is current.
    pub fn called_current(&mut self, now: Millis, ip: u32, position: Option<LogPosition>) {
        let due = self.committed.iter().filter(|(_, state)| state.seen + FOLLOWER_LEASE_MS < now);
        if due.map(|(position, _)| *position).max() > position {
            self.violated(Violation::StaleFresh { ip, at: now });
        }
    }

    /// A proxy takes its first configuration, in answer to a call made at a time.
    pub fn started_with(&mut self, now: Millis, proxy: u32, asked: Millis, position: Option<LogPosition>) {
        let due = self.committed.iter().filter(|(_, state)| state.seen + FOLLOWER_LEASE_MS < asked);
        if due.map(|(position, _)| *position).max() > position {
            self.violated(Violation::StaleStart { proxy, at: now });
        }
    }

    /// The newest revision confirmed to an operator before a time.
    pub fn confirmed_before(&self, time: Millis) -> u64 {
        let taken = self.orders.iter().filter(|o| matches!(o.ended, Some((at, Outcome::Taken)) if at < time));
        taken.map(|o| o.revision).max().unwrap_or(0)
    }

    /// Orders that were confirmed.
    pub fn confirmed(&self) -> usize {
        self.orders.iter().filter(|o| matches!(o.ended, Some((_, Outcome::Taken)))).count()
    }

    /// Every rule that was broken.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        self.check_order_of_states(&mut violations);
        self.check_orders(&mut violations);
        self.check_reads(&mut violations);
        violations
    }

    fn check_order_of_states(&self, violations: &mut Vec<Violation>) {
        let mut before = 0;
        for (position, state) in &self.committed {
            if state.revision < before {
                violations.push(Violation::WentBack {
                    position: *position,
                    revision: state.revision,
                    before,
                });
            }
            before = state.revision;
        }
    }

    fn check_orders(&self, violations: &mut Vec<Violation>) {
        let in_force: BTreeMap<u64, &Vec<u8>> =
            self.committed.values().map(|state| (state.revision, &state.document)).collect();
        let mut on_base: BTreeMap<u64, &OrderRecord> = BTreeMap::new();
        let mut under_number: BTreeMap<u64, &OrderRecord> = BTreeMap::new();
        for order in &self.orders {
            let Some((_, outcome)) = order.ended else { continue };
            let made = order.makes(&in_force);
            let holds = made.is_some() && in_force.get(&order.revision).copied() == made.as_ref();
            let revision = order.revision;
            match outcome {
                Outcome::Taken => {
                    if !holds {
                        violations.push(Violation::Lost { revision });
                    }
                    let other = |first: &OrderRecord| first.body != order.body || first.base != order.base;
                    let first = *on_base.entry(order.base).or_insert(order);
                    let same_number = *under_number.entry(revision).or_insert(order);
                    if other(first) || other(same_number) {
                        violations.push(Violation::TwoConfirmed { base: order.base, revision });
                    }
                }
                Outcome::Refused => {
                    let same = |o: &&OrderRecord| o.base == order.base && o.body == order.body;
                    let confirmed = |o: &OrderRecord| matches!(o.ended, Some((_, Outcome::Taken)));
                    if self.orders.iter().filter(same).any(confirmed) {
                        violations.push(Violation::ConfirmedAndRefused { revision });
                    } else if holds && !self.is_explained(made.as_ref(), &in_force) {
                        violations.push(Violation::RefusedInForce { revision });
                    }
                }
                Outcome::GivenUp => {}
            }
        }
    }

    /// Whether a document that is in force may have come by another order that makes the same.
    fn is_explained(&self, made: Option<&Vec<u8>>, in_force: &BTreeMap<u64, &Vec<u8>>) -> bool {
        let makes_the_same = |o: &&OrderRecord| o.makes(in_force).as_ref() == made;
        let not_refused = |o: &OrderRecord| !matches!(o.ended, Some((_, Outcome::Refused)));
        self.orders.iter().filter(makes_the_same).any(not_refused)
    }

    fn check_reads(&self, violations: &mut Vec<Violation>) {
        let ended = || self.reads.iter().filter_map(|r| r.ended.as_ref().map(|ended| (r.begun, ended)));
        for (begun, (_, seen, _)) in ended() {
            let confirmed = self.confirmed_before(begun);
            let read =
                ended().filter(|(_, (at, ..))| *at < begun).map(|(_, (_, revision, _))| *revision).max();
            let expected = confirmed.max(read.unwrap_or(0));
            if *seen < expected {
                violations.push(Violation::StaleRead { seen: *seen, expected });
            }
        }
    }
}
