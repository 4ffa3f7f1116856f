//! The backends that the operators excluded, and the list as the balancer is to see it.

use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Identities that are remembered as listed once; the oldest is forgotten first. A fleet that replaces a thousand backends a
/// day fills it in two months, at some 2 MB.
pub const MAX_REMEMBERED_BACKENDS: usize = 65_536;
/// Backends that may be excluded at once: more than any fleet that was tried has.
pub const MAX_EXCLUDED_BACKENDS: usize = 4_096;

/// A command of the operators about one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// Send it nothing new.
    Exclude,
    /// Use it again.
    Include,
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It holds, and changed something.
    Applied,
    /// It held before.
    Unchanged,
    /// No list has ever named that backend.
    UnknownBackend,
    /// [`MAX_EXCLUDED_BACKENDS`] are excluded already.
    LimitReached,
}

/// One backend's exclusion.
#[derive(Clone, Copy, Debug)]
enum Exclusion {
    Active {
        since: Time,
    },
    /// Until the list shows a start after `since`, the backend may have been restarted meanwhile, and counts as started at
    /// `ended`.
    Ended {
        since: Time,
        ended: Time,
    },
}

/// The exclusions of a proxy.
#[derive(Clone, Debug, Default)]
pub struct Maintenance {
    exclusions: BTreeMap<BackendId, Exclusion>,
    remembered: HashSet<BackendId>,
    /// In the order in which they were first listed.
    oldest_first: VecDeque<BackendId>,
}

impl Maintenance {
    /// A list has named the backend.
    pub fn remember(&mut self, id: BackendId) {
        if !self.remembered.insert(id) {
            return;
        }
        self.oldest_first.push_back(id);
        if self.oldest_first.len() > MAX_REMEMBERED_BACKENDS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.remembered.remove(&oldest);
            }
        }
    }

    /// Applies a command. It may come more than once; one [`MaintenanceCommand::Include`] ends any number of exclusions.
    pub fn apply(&mut self, now: Time, id: BackendId, command: MaintenanceCommand) -> CommandOutcome {
        if !self.is_excluded(id) && !self.remembered.contains(&id) {
            return CommandOutcome::UnknownBackend;
        }
        match command {
            MaintenanceCommand::Exclude => self.exclude(now, id),
            MaintenanceCommand::Include => self.include(now, id),
        }
    }

    fn exclude(&mut self, now: Time, id: BackendId) -> CommandOutcome {
        if self.is_excluded(id) {
            return CommandOutcome::Unchanged;
        }
        if self.excluded().count() >= MAX_EXCLUDED_BACKENDS {
            return CommandOutcome::LimitReached;
        }
        self.exclusions.insert(id, Exclusion::Active { since: now });
        CommandOutcome::Applied
    }

    fn include(&mut self, now: Time, id: BackendId) -> CommandOutcome {
        let Some(&Exclusion::Active { since }) = self.exclusions.get(&id) else {
            return CommandOutcome::Unchanged;
        };
        self.exclusions.insert(id, Exclusion::Ended { since, ended: now });
        CommandOutcome::Applied
    }

    /// Takes an exclusion over from the process before this one, whether or not a list has named the backend here yet.
    pub fn inherit_exclusion(&mut self, now: Time, id: BackendId) -> CommandOutcome {
        self.remember(id);
        self.apply(now, id, MaintenanceCommand::Exclude)
    }

    /// Whether a backend is excluded.
    pub fn is_excluded(&self, id: BackendId) -> bool {
        matches!(self.exclusions.get(&id), Some(Exclusion::Active { .. }))
    }

    /// The excluded backends.
    pub fn excluded(&self) -> impl Iterator<Item = BackendId> + '_ {
        let is_active = |exclusion: &Exclusion| matches!(exclusion, Exclusion::Active { .. });
        self.exclusions.iter().filter(move |(_, exclusion)| is_active(exclusion)).map(|(id, _)| *id)
    }

    /// An entry of the list as the balancer is to see it: an excluded backend drains, whatever the list says; one that is
    /// included again starts slowly unless the list shows a start after it was excluded.
    pub fn view(&self, entry: &Backend) -> Backend {
        let mut seen = entry.clone();
        match self.exclusions.get(&entry.id) {
            Some(Exclusion::Active { .. }) if entry.state == BackendState::Ready => {
                seen.state = BackendState::Draining;
            }
            Some(Exclusion::Ended { since, ended }) if entry.booted.is_none_or(|booted| booted < *since) => {
                seen.booted = Some(*ended);
            }
            _ => {}
        }
        seen
    }

    /// The list has shown an entry. An ended exclusion is forgotten with its backend, or once the list shows a later start. An
    /// active one stays, since it holds whatever discovery lists.
    pub fn observe(&mut self, entry: &Backend) {
        self.remember(entry.id);
        if let Some(Exclusion::Ended { since, .. }) = self.exclusions.get(&entry.id) {
            let started_since = entry.booted.is_some_and(|booted| booted >= *since);
            if entry.state == BackendState::Departed || started_since {
                self.exclusions.remove(&entry.id);
            }
        }
    }
}
