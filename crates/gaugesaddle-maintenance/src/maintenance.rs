//! The backends that the operators took out, and the list as the module is to see it.

use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Ids that are remembered as listed once; the oldest is forgotten first. A fleet that replaces a thousand
/// backends a day fills it in two months, at some 2 MB.
pub const LISTED: usize = 65_536;
/// Backends that may be out at once: more than any fleet that was tried has.
pub const EXCLUDED: usize = 4_096;

/// What the operators want of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Leave it out.
    Exclude,
    /// Put it back.
    Include,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds, and something changed.
    Done,
    /// It held before.
    Already,
    /// No list has ever named that backend.
    Unknown,
    /// As many are out as may be.
    Full,
}

/// One backend's stay in maintenance.
#[derive(Clone, Copy, Debug)]
enum Stay {
    /// Out since then.
    Out(Time),
    /// Back since then, after a stay that began at the first time: until the list tells of a start since, it may
    /// have been restarted all the same, and counts as started now.
    Back(Time, Time),
}

/// Who is out.
#[derive(Clone, Debug, Default)]
pub struct Maintenance {
    stays: BTreeMap<BackendId, Stay>,
    listed: HashSet<BackendId>,
    oldest: VecDeque<BackendId>,
}

impl Maintenance {
    /// A list has named the backend.
    pub fn listed(&mut self, id: BackendId) {
        if !self.listed.insert(id) {
            return;
        }
        self.oldest.push_back(id);
        if self.oldest.len() > LISTED {
            if let Some(gone) = self.oldest.pop_front() {
                self.listed.remove(&gone);
            }
        }
    }

    /// Takes an order. It may come more than once; one [`Order::Include`] ends however many exclusions.
    pub fn order(&mut self, now: Time, id: BackendId, order: Order) -> Verdict {
        let out = self.is_out(id);
        match order {
            _ if !out && !self.listed.contains(&id) => Verdict::Unknown,
            Order::Exclude if out => Verdict::Already,
            Order::Exclude if self.out().count() >= EXCLUDED => Verdict::Full,
            Order::Exclude => {
                self.stays.insert(id, Stay::Out(now));
                Verdict::Done
            }
            Order::Include => match self.stays.get(&id) {
                Some(&Stay::Out(since)) => {
                    self.stays.insert(id, Stay::Back(since, now));
                    Verdict::Done
                }
                _ => Verdict::Already,
            },
        }
    }

    /// Takes over an exclusion from the process before this one, whether or not a list has named it here yet.
    pub fn take_over(&mut self, now: Time, id: BackendId) -> Verdict {
        self.listed(id);
        self.order(now, id, Order::Exclude)
    }

    /// Whether it is out.
    pub fn is_out(&self, id: BackendId) -> bool {
        matches!(self.stays.get(&id), Some(Stay::Out(_)))
    }

    /// Those that are out.
    pub fn out(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.stays.iter().filter(|(_, s)| matches!(s, Stay::Out(_))).map(|(id, _)| *id)
    }

    /// A line of the list as the module is to see it: an excluded backend drains, whatever the list says; one that
    /// came back is cold unless the list tells of a start since it was taken out.
    pub fn view(&self, entry: &Backend) -> Backend {
        let mut seen = entry.clone();
        match self.stays.get(&entry.id) {
            Some(Stay::Out(_)) if entry.state == BackendState::Ready => seen.state = BackendState::Draining,
            Some(Stay::Back(since, back)) if entry.booted.is_none_or(|b| b < *since) => {
                seen.booted = Some(*back);
            }
            _ => {}
        }
        seen
    }

    /// The list has told this of a backend: a stay that is over is forgotten with its backend, or once the list
    /// knows better. A ban stays, for it holds whatever discovery lists.
    pub fn told(&mut self, entry: &Backend) {
        self.listed(entry.id);
        if let Some(Stay::Back(since, _)) = self.stays.get(&entry.id) {
            if entry.state == BackendState::Gone || entry.booted.is_some_and(|b| b >= *since) {
                self.stays.remove(&entry.id);
            }
        }
    }
}
