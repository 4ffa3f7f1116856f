//! Applies lists of backends and operators' commands.

use super::Driver;
use crate::discovery::backend_set::CommandOrigin;
use crate::serving::exchange::{ListedBackend, Upstream};
use gaugesaddle_balancer::{Backend, BackendState, Event, ListUpdate};
use gaugesaddle_maintenance::{CommandOutcome, MaintenanceCommand};
use std::collections::HashMap;
use std::rc::Rc;

/// Whether an upstream belongs to the process that the list has now.
fn is_same_process(upstream: &Rc<dyn Upstream>, listed: &ListedBackend) -> bool {
    let known = upstream.target();
    known.address == listed.address && known.backend.booted == listed.backend.booted
}

/// Allows new requests to an upstream only if its backend is ready.
fn set_open(upstream: &Rc<dyn Upstream>, state: BackendState) {
    if state == BackendState::Ready {
        upstream.open();
    } else {
        upstream.close();
    }
}

impl Driver {
    /// Applies an update of the list.
    pub(super) fn apply_list(&mut self, update: ListUpdate, index: Option<u64>, targets: Vec<ListedBackend>) {
        let is_full = matches!(update, ListUpdate::Full | ListUpdate::Cached);
        if update != ListUpdate::Lost {
            self.registry.record_list(self.clock.now(), index, is_full, &targets);
        }
        let mut previous = HashMap::new();
        if is_full {
            previous = std::mem::take(&mut self.backends);
            self.backend_set.clear();
        }
        let mut entries = Vec::with_capacity(targets.len());
        let mut excess = 0;
        for target in targets {
            let id = target.backend.id;
            // Updates that keep adding backends must not exhaust the memory.
            if self.backends.len() >= self.max_backends && !self.backends.contains_key(&id) {
                excess += 1;
                continue;
            }
            let known = previous.remove(&id).or_else(|| self.backends.remove(&id));
            entries.push(self.apply_entry(target, known));
        }
        if excess > 0 {
            let max = self.max_backends;
            tracing::error!("ignored {excess} backends of the list: expected at most {max}");
        }
        previous.values().for_each(|upstream| upstream.close());
        self.update_serving();
        let now = self.clock.now();
        self.extensions.iter_mut().for_each(|extension| extension.on_list(now, update));
        self.events.push(Event::Members { update, backends: entries });
    }

    /// Applies one entry of the list; `known` is the upstream that the backend had so far. Returns the entry with
    /// exclusions applied, for the balancer.
    fn apply_entry(&mut self, target: ListedBackend, known: Option<Rc<dyn Upstream>>) -> Backend {
        let entry = self.backend_set.update(&target.backend);
        tracing::debug!(server = %target.name, state = ?entry.state, "listed");
        let upstream = match known {
            Some(upstream) if is_same_process(&upstream, &target) => upstream,
            Some(upstream) => {
                // A restarted process shares no connection with its predecessor.
                upstream.close();
                self.upstreams.create(target.clone())
            }
            None => self.upstreams.create(target.clone()),
        };
        set_open(&upstream, entry.state);
        if target.backend.state != BackendState::Departed {
            self.backends.insert(target.backend.id, upstream);
        }
        entry
    }

    /// Applies an operator's command; no new request is sent to an excluded backend from now on. See
    /// [`BackendSet::apply`](crate::discovery::backend_set::BackendSet::apply).
    pub(super) fn maintain(
        &mut self, name: &str, command: MaintenanceCommand, origin: CommandOrigin,
    ) -> CommandOutcome {
        let (outcome, changed) = self.backend_set.apply(self.clock.now(), name, command, origin);
        if let Some(entry) = changed {
            if let Some(upstream) = self.backends.get(&entry.id) {
                set_open(upstream, entry.state);
            }
            self.update_serving();
            self.events.push(Event::Members { update: ListUpdate::Changes, backends: vec![entry] });
        }
        outcome
    }

    fn update_serving(&self) {
        self.registry.serving.set(self.backends.values().any(|upstream| upstream.is_open()));
    }
}
