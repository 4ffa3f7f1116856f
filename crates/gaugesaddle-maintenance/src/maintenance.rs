//! The backends that the operators excluded, and the list of backends as it is presented to the balancer.

use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Maximum number of backends that are remembered as listed once; the oldest is removed first. A fleet that replaces a
/// thousand backends a day reaches it in two months, with about 2 MB.
pub const MAX_REMEMBERED_BACKENDS: usize = 65_536;
/// Maximum number of backends that are excluded at once, more than any tested fleet has.
pub const MAX_EXCLUDED_BACKENDS: usize = 4_096;

/// A command of an operator for one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// Sends no new requests to the backend.
    Exclude,
    /// Uses the backend again.
    Include,
}

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command changed the state.
    Applied,
    /// The state was as commanded before.
    Unchanged,
    /// The backend is not among those remembered as listed.
    UnknownBackend,
    /// [`MAX_EXCLUDED_BACKENDS`] backends are excluded already.
    LimitReached,
}

/// One backend's exclusion.
#[derive(Clone, Copy, Debug)]
enum Exclusion {
    Active {
        since: Time,
    },
    /// The backend may have been restarted during the exclusion. Until the list shows a start after `since`, the backend
    /// counts as started at `ended`.
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
    /// The remembered backends in the order in which they were first listed.
    oldest_first: VecDeque<BackendId>,
}

impl Maintenance {
    /// Remembers a backend as listed.
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

    /// Applies a command. Commands are idempotent: one [`MaintenanceCommand::Include`] ends any number of exclusions.
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

    /// Takes over an exclusion from the predecessor process, whether or not this process has listed the backend yet.
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

    /// An entry of the list as it is presented to the balancer: an excluded backend that is listed as ready drains, and one
    /// that is included again gets a slow start unless the list shows a start after its exclusion.
    pub fn view(&self, entry: &Backend) -> Backend {
        let mut viewed = entry.clone();
        match self.exclusions.get(&entry.id) {
            Some(Exclusion::Active { .. }) if entry.state == BackendState::Ready => {
                viewed.state = BackendState::Draining;
            }
            Some(Exclusion::Ended { since, ended }) if entry.booted.is_none_or(|booted| booted < *since) => {
                viewed.booted = Some(*ended);
            }
            _ => {}
        }
        viewed
    }

    /// Records an entry of the list. An ended exclusion is removed when its backend departs, or once the list shows a start
    /// after the exclusion. An active exclusion stays, whatever discovery lists.
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
