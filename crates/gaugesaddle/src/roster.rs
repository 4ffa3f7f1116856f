//! The list of backends as it came, and as it stands with what the operators took out.

use gaugesaddle_balancer::settings;
use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use gaugesaddle_maintenance::{Maintenance, Order, Verdict};
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

    /// The operators take a backend out or put it back; with the line that changes by it. `passed_on`: the other process
    /// of this proxy took the order, so a list has named the backend there; it is out here before it is listed.
    pub fn order(
        &mut self, now: Time, name: &str, order: Order, passed_on: bool,
    ) -> (Verdict, Option<Backend>) {
        let id = BackendId(settings::number(name));
        let verdict = match order {
            Order::Exclude if passed_on => self.maintenance.take_over(now, id),
            _ => self.maintenance.order(now, id, order),
        };
        let seen = self.listed.get(&id).filter(|_| verdict == Verdict::Done);
        (verdict, seen.map(|line| self.view(line)))
    }
}
