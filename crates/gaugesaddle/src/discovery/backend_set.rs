//! The list of backends as received from discovery, and with the operators' exclusions applied.

use gaugesaddle_balancer::settings;
use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use gaugesaddle_maintenance::{CommandOutcome, Maintenance, MaintenanceCommand};
use std::collections::HashMap;

/// The process of this proxy that received an operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOrigin {
    /// This process.
    ThisProcess,
    /// The other process of a hot restart, whose list has contained the backend.
    OtherProcess,
}

/// The backends of the current list.
#[derive(Default)]
pub struct BackendSet {
    maintenance: Maintenance,
    /// Entries as received from discovery.
    listed: HashMap<BackendId, Backend>,
}

impl BackendSet {
    /// Removes all entries, before a full list is applied.
    pub fn clear(&mut self) {
        self.listed.clear();
    }

    /// Applies an entry of the list; returns it with exclusions applied, for the balancer.
    pub fn update(&mut self, entry: &Backend) -> Backend {
        self.maintenance.observe(entry);
        if entry.state == BackendState::Departed {
            self.listed.remove(&entry.id);
        } else {
            self.listed.insert(entry.id, entry.clone());
        }
        self.view(entry)
    }

    /// Returns an entry with exclusions applied, for the balancer.
    pub fn view(&self, entry: &Backend) -> Backend {
        self.maintenance.view(entry)
    }

    /// Applies an operator's command; returns its outcome and the entry that it changed. An exclusion from the other
    /// process takes effect even before this process has the backend in its list.
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
