//! The list of backends as discovery tells it, and as it stands with the operators' exclusions.

use gaugesaddle_balancer::settings;
use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use gaugesaddle_maintenance::{CommandOutcome, Maintenance, MaintenanceCommand};
use std::collections::HashMap;

/// Which process of this proxy the operators gave a command to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOrigin {
    /// This one.
    ThisProcess,
    /// The other one, during a hot restart: a list has named the backend there.
    OtherProcess,
}

/// The backends of the present list.
#[derive(Default)]
pub struct BackendSet {
    maintenance: Maintenance,
    /// Entries as discovery told them.
    listed: HashMap<BackendId, Backend>,
}

impl BackendSet {
    /// A full list follows.
    pub fn clear(&mut self) {
        self.listed.clear();
    }

    /// Takes an entry of the list; returns it as the balancer is to see it.
    pub fn update(&mut self, entry: &Backend) -> Backend {
        self.maintenance.observe(entry);
        if entry.state == BackendState::Departed {
            self.listed.remove(&entry.id);
        } else {
            self.listed.insert(entry.id, entry.clone());
        }
        self.view(entry)
    }

    /// An entry as the balancer is to see it.
    pub fn view(&self, entry: &Backend) -> Backend {
        self.maintenance.view(entry)
    }

    /// Applies a command of the operators; returns its outcome and the entry that changed by it. An exclusion from the other
    /// process holds here before the backend is listed here.
    pub fn apply(
        &mut self, now: Time, name: &str, command: MaintenanceCommand, origin: CommandOrigin,
    ) -> (CommandOutcome, Option<Backend>) {
        let id = BackendId(settings::stable_id(name));
        let outcome = match (command, origin) {
            (MaintenanceCommand::Exclude, CommandOrigin::OtherProcess) => {
                self.maintenance.inherit_exclusion(now, id)
            }
            _ => self.maintenance.apply(now, id, command),
        };
        let changed = self.listed.get(&id).filter(|_| outcome == CommandOutcome::Applied);
        (outcome, changed.map(|entry| self.view(entry)))
    }
}
