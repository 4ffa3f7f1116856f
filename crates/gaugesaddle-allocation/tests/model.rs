//! Model checks the leases of a hard quantity under every order of messages: three processes grant, borrow and release
//! units while messages are lost, duplicated and delayed, one process crashes and restarts, and one is paused. The units in
//! use, including uses that began within the last grace period, never exceed the total; and once all leases have ended the
//! total is usable again.
//!
//! Bounds: [`MAX_TICKS`] ticks of time and [`MAX_IN_FLIGHT`] messages in flight; two requests with one fault out of a lost
//! message, a duplicated message, a crash and a pause; or one request with any three of these faults. Each process uses all
//! units that it may at every tick.

use gaugesaddle_allocation::{LeaseMessage, Reservation, ReservationTerms};
use gaugesaddle_balancer::{Micros, Time};
use stateright::{Checker, Model, Property};

/// Number of members.
const N: usize = 3;
const TICK_US: u64 = 64;
const LEASE_TICKS: u64 = 3;
const GRACE_TICKS: u64 = 1;
const MAX_TICKS: u64 = 5;
const MAX_IN_FLIGHT: usize = 2;
const TOTAL: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    running: [Option<Reservation>; N],
    paused: Option<usize>,
    /// Units that each process used at this tick and the one before: a use lasts for a grace period.
    used: [[u32; 2]; N],
    in_flight: Vec<(u16, u16, LeaseMessage)>,
    boots: u32,
    requests: u8,
    lost: bool,
    duplicated: bool,
    crashed: bool,
    was_paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Request(u16, u16),
    Renew(u16, u16),
    Release(u16, u16),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume,
}

fn terms() -> ReservationTerms {
    let (lease_duration, grace_period) = (Micros(LEASE_TICKS * TICK_US), Micros(GRACE_TICKS * TICK_US));
    ReservationTerms { total: TOTAL, members: N as u16, reserved_percent: 0, lease_duration, grace_period }
}

impl State {
    fn time(&self) -> Time {
        Time(self.now * TICK_US)
    }

    fn usable(&self, i: usize) -> u32 {
        let running_process = self.running[i].as_ref().filter(|_| self.paused != Some(i));
        running_process.map_or(0, |reservation| reservation.usable(self.time()))
    }

    fn use_all(&mut self) {
        for i in 0..N {
            self.used[i][0] = self.used[i][0].max(self.usable(i));
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        self.used.iter_mut().for_each(|units| *units = [0, units[0]]);
        self.use_all();
    }

    fn deliver(&mut self, (from, to, message): (u16, u16, LeaseMessage)) {
        let now = self.time();
        // A message to a paused process is lost here. Its delivery after the pause is covered by a duplicated message, whose
        // second copy is delivered later.
        if self.paused == Some(usize::from(to)) {
            return;
        }
        if let Some(process) = &mut self.running[usize::from(to)] {
            if let Some(answer) = process.handle(now, from, message, TOTAL) {
                self.in_flight.push((to, from, answer));
                self.in_flight.sort();
            }
        }
        self.use_all();
    }

    /// Units that are used now or whose use began within a grace period.
    fn in_use(&self) -> u32 {
        self.used.iter().map(|units| units[0].max(units[1])).sum()
    }

    /// Units usable once all processes run and all leases have ended.
    fn settled_units(&self) -> u32 {
        let mut state = self.clone();
        (state.paused, state.in_flight) = (None, Vec::new());
        for i in 0..N {
            if state.running[i].is_none() {
                state.start(i);
            }
        }
        state.now += LEASE_TICKS + 2 * GRACE_TICKS + 4;
        (0..N).map(|i| state.usable(i)).sum()
    }

    fn start(&mut self, i: usize) {
        self.boots += 1;
        self.running[i] =
            Some(Reservation::new(terms(), i as u16, self.boots, self.time()).expect("valid terms"));
    }
}

struct LeaseModel {
    requests: u8,
    faults: usize,
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            now: 0,
            running: [None, None, None],
            paused: None,
            used: [[0; 2]; N],
            in_flight: Vec::new(),
            boots: 0,
            requests: 0,
            lost: false,
            duplicated: false,
            crashed: false,
            was_paused: false,
        };
        (0..N).for_each(|i| state.start(i));
        // The model starts once all processes may use their entitlement.
        state.now = LEASE_TICKS + GRACE_TICKS + 2;
        state.use_all();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.now < LEASE_TICKS + GRACE_TICKS + 2 + MAX_TICKS {
            actions.push(Step::Tick);
        }
        let has_capacity = state.in_flight.len() < MAX_IN_FLIGHT;
        let faults = [state.lost, state.duplicated, state.crashed, state.was_paused]
            .into_iter()
            .filter(|f| *f)
            .count();
        let may_fail = faults < self.faults;
        for i in 0..N {
            if state.running[i].is_none() {
                actions.push(Step::Start(i));
                continue;
            }
            if state.paused == Some(i) {
                actions.push(Step::Resume);
                continue;
            }
            if !state.crashed && may_fail {
                actions.push(Step::Crash(i));
            }
            if !state.was_paused && may_fail {
                actions.push(Step::Pause(i));
            }
            for j in (0..N).filter(|j| *j != i && has_capacity) {
                if state.requests < self.requests {
                    actions.push(Step::Request(i as u16, j as u16));
                    actions.push(Step::Renew(i as u16, j as u16));
                }
                actions.push(Step::Release(i as u16, j as u16));
            }
        }
        for m in 0..state.in_flight.len() {
            actions.push(Step::Deliver(m));
            if !state.lost && may_fail {
                actions.push(Step::Lose(m));
            }
            if !state.duplicated && may_fail {
                actions.push(Step::Duplicate(m));
            }
        }
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        let now = state.time();
        match step {
            Step::Tick => state.tick(),
            Step::Request(i, j) => {
                state.requests += 1;
                let message = state.running[usize::from(i)].as_mut()?.request(now, j, 1)?;
                state.in_flight.push((i, j, message));
                state.in_flight.sort();
            }
            Step::Renew(i, j) => {
                state.requests += 1;
                let message = state.running[usize::from(i)].as_mut()?.renew(now, j)?;
                state.in_flight.push((i, j, message));
                state.in_flight.sort();
            }
            Step::Release(i, j) => {
                let message = state.running[usize::from(i)].as_mut()?.release(now, j)?;
                state.in_flight.push((i, j, message));
                state.in_flight.sort();
            }
            Step::Deliver(m) => {
                let message = state.in_flight.remove(m);
                state.deliver(message);
            }
            Step::Duplicate(m) => {
                state.duplicated = true;
                let message = state.in_flight[m];
                state.deliver(message);
            }
            Step::Lose(m) => {
                state.lost = true;
                state.in_flight.remove(m);
            }
            Step::Crash(i) => {
                state.crashed = true;
                state.running[i] = None;
            }
            Step::Start(i) => state.start(i),
            Step::Pause(i) => {
                state.was_paused = true;
                state.paused = Some(i);
            }
            Step::Resume => {
                state.paused = None;
                state.use_all();
            }
        }
        (state.in_flight.len() <= MAX_IN_FLIGHT).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the use never exceeds the total", |_, s: &State| s.in_use() <= TOTAL),
            Property::<Self>::always("all units are usable again", |_, s: &State| s.settled_units() == TOTAL),
            // Without a renewal a lease ends three ticks after its request.
            Property::<Self>::sometimes("a renewed lease is used", |m: &LeaseModel, s: &State| {
                let mut leases = s.running.iter().flatten().flat_map(|r| r.leases(s.time()));
                m.requests < 2
                    || leases
                        .any(|l| l.renewals > 0 && l.until > Time((LEASE_TICKS + GRACE_TICKS + 6) * TICK_US))
            }),
            Property::<Self>::sometimes("a lease is used", |_, s: &State| (0..N).any(|i| s.usable(i) > 1)),
        ]
    }
}

#[test]
fn units_in_use_never_exceed_the_total() {
    for (requests, faults) in [(2, 1), (1, 3)] {
        // Depth-first search, since the pending states take most of the memory, and it has fewer of them.
        let checker = LeaseModel { requests, faults }.checker().threads(2).spawn_dfs().join();
        println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
        checker.assert_properties();
        assert!(checker.unique_state_count() > 100_000, "the bounds leave too few states");
    }
}
