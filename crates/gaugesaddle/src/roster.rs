//! The list of backends as it came, and as it stands with what the operators took out.

use beechworks::settings;
use beechworks::{Backend, BackendId, BackendState, Time};
use gaugesaddle_service::{Maintenance, Order, Verdict};
use std::collections::HashMap;

#[derive(Default)]
pub struct Roster {
    maintenance: Maintenance,
    /// The list's lines as they came.
    listed: HashMap<BackendId, Backend>,
}

impl Roster {
    /// A whole list follows.
    pub fn restart(&mut self) {
        self.listed.clear();
    }

    /// Takes in a line of the list; returns it as the module is to see it.
    pub fn told(&mut self, line: &Backend) -> Backend {
        self.maintenance.told(line);
        if line.state == BackendState::Gone {
            self.listed.remove(&line.id);
        } else {
            self.listed.insert(line.id, line.clone());
        }
        self.view(line)
    }

    /// A line as the module is to see it.
    pub fn view(&self, line: &Backend) -> Backend {
        self.maintenance.view(line)
    }

    /// The operators take a backend out or put it back; with the line that changes by it.
    pub fn order(&mut self, now: Time, name: &str, order: Order) -> (Verdict, Option<Backend>) {
        let id = BackendId(settings::number(name));
        let verdict = self.maintenance.order(now, id, order);
        let seen = self.listed.get(&id).filter(|_| verdict == Verdict::Done);
        (verdict, seen.map(|line| self.view(line)))
    }

    /// The other process has taken an order: a list has named the backend there. Out before it is listed here, it must be
    /// out when it is.
    pub fn passed_on(&mut self, name: &str, order: Order) {
        if order == Order::Exclude {
            self.maintenance.listed(BackendId(settings::number(name)));
        }
    }

    /// What the process before this one holds out.
    pub fn take_over(&mut self, now: Time, names: &[String]) {
        for name in names {
            self.maintenance.take_over(now, BackendId(settings::number(name)));
        }
    }
}
