//! Loans of a hard quantity under every order of words, by a model checker: three processes lend, borrow and give back
//! while words are lost, doubled and late, one process crashes and returns, one is paused. What all of them use, and what
//! they began to use within a rest, is never more than the whole; and after all of it the whole is usable again.
//!
//! Bound: [`END`] ticks of time, [`FLYING`] words under way; two questions with one of: a word lost, a word doubled, a crash,
//! a pause; or one question with any three of them. Each process uses all that it may at every tick.

use gaugesaddle_allocation::{LeaseMessage, Reservation, ReservationTerms};
use gaugesaddle_balancer::{Micros, Time};
use stateright::{Checker, Model, Property};

const N: usize = 3;
const TICK: u64 = 64;
const TERM: u64 = 3;
const REST: u64 = 1;
const END: u64 = 5;
const FLYING: usize = 2;
const WHOLE: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    running: [Option<Reservation>; N],
    paused: Option<usize>,
    /// What each used at this tick and the one before: a use lasts for a rest.
    used: [[u32; 2]; N],
    flying: Vec<(u16, u16, LeaseMessage)>,
    starts: u32,
    asks: u8,
    lost: bool,
    doubled: bool,
    crashed: bool,
    was_paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Ask(u16, u16),
    Renew(u16, u16),
    GiveBack(u16, u16),
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Crash(usize),
    Start(usize),
    Pause(usize),
    Resume,
}

fn terms() -> ReservationTerms {
    let (term, rest) = (Micros(TERM * TICK), Micros(REST * TICK));
    ReservationTerms {
        total: WHOLE,
        members: N as u16,
        reserved_percent: 0,
        lease_duration: term,
        grace_period: rest,
    }
}

impl World {
    fn time(&self) -> Time {
        Time(self.now * TICK)
    }

    fn usable(&self, i: usize) -> u32 {
        let runs = self.running[i].as_ref().filter(|_| self.paused != Some(i));
        runs.map_or(0, |e| e.usable(self.time()))
    }

    fn use_all(&mut self) {
        for i in 0..N {
            self.used[i][0] = self.used[i][0].max(self.usable(i));
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        self.used.iter_mut().for_each(|u| *u = [0, u[0]]);
        self.use_all();
    }

    fn deliver(&mut self, (from, to, word): (u16, u16, LeaseMessage)) {
        let now = self.time();
        // What comes to a paused process waits, as in a socket; here it is as good as lost, or late by a copy.
        if self.paused == Some(usize::from(to)) {
            return;
        }
        if let Some(process) = &mut self.running[usize::from(to)] {
            if let Some(answer) = process.handle(now, from, word, WHOLE) {
                self.flying.push((to, from, answer));
                self.flying.sort();
            }
        }
        self.use_all();
    }

    /// At each moment: what is used now, and what was begun within a rest.
    fn in_use(&self) -> u32 {
        self.used.iter().map(|u| u[0].max(u[1])).sum()
    }

    /// Everybody runs, nothing is lent any more.
    fn settled(&self) -> u32 {
        let mut w = self.clone();
        (w.paused, w.flying) = (None, Vec::new());
        for i in 0..N {
            if w.running[i].is_none() {
                w.start(i);
            }
        }
        w.now += TERM + 2 * REST + 4;
        (0..N).map(|i| w.usable(i)).sum()
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        self.running[i] = Some(Reservation::new(terms(), i as u16, self.starts, self.time()).expect("sound"));
    }
}

struct LeaseModel {
    asks: u8,
    faults: usize,
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut w = World {
            now: 0,
            running: [None, None, None],
            paused: None,
            used: [[0; 2]; N],
            flying: Vec::new(),
            starts: 0,
            asks: 0,
            lost: false,
            doubled: false,
            crashed: false,
            was_paused: false,
        };
        (0..N).for_each(|i| w.start(i));
        // What matters begins when everybody has its own.
        w.now = TERM + REST + 2;
        w.use_all();
        vec![w]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        if w.now < TERM + REST + 2 + END {
            actions.push(Step::Tick);
        }
        let room = w.flying.len() < FLYING;
        let faults = [w.lost, w.doubled, w.crashed, w.was_paused].into_iter().filter(|f| *f).count();
        let more = faults < self.faults;
        for i in 0..N {
            if w.running[i].is_none() {
                actions.push(Step::Start(i));
                continue;
            }
            if w.paused == Some(i) {
                actions.push(Step::Resume);
                continue;
            }
            if !w.crashed && more {
                actions.push(Step::Crash(i));
            }
            if !w.was_paused && more {
                actions.push(Step::Pause(i));
            }
            for j in (0..N).filter(|j| *j != i && room) {
                if w.asks < self.asks {
                    actions.push(Step::Ask(i as u16, j as u16));
                    actions.push(Step::Renew(i as u16, j as u16));
                }
                actions.push(Step::GiveBack(i as u16, j as u16));
            }
        }
        for m in 0..w.flying.len() {
            actions.push(Step::Deliver(m));
            if !w.lost && more {
                actions.push(Step::Lose(m));
            }
            if !w.doubled && more {
                actions.push(Step::Double(m));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let now = w.time();
        match step {
            Step::Tick => w.tick(),
            Step::Ask(i, j) => {
                w.asks += 1;
                let word = w.running[usize::from(i)].as_mut()?.request(now, j, 1)?;
                w.flying.push((i, j, word));
                w.flying.sort();
            }
            Step::Renew(i, j) => {
                w.asks += 1;
                let word = w.running[usize::from(i)].as_mut()?.renew(now, j)?;
                w.flying.push((i, j, word));
                w.flying.sort();
            }
            Step::GiveBack(i, j) => {
                let word = w.running[usize::from(i)].as_mut()?.release(now, j)?;
                w.flying.push((i, j, word));
                w.flying.sort();
            }
            Step::Deliver(m) => {
                let word = w.flying.remove(m);
                w.deliver(word);
            }
            Step::Double(m) => {
                w.doubled = true;
                let word = w.flying[m];
                w.deliver(word);
            }
            Step::Lose(m) => {
                w.lost = true;
                w.flying.remove(m);
            }
            Step::Crash(i) => {
                w.crashed = true;
                w.running[i] = None;
            }
            Step::Start(i) => w.start(i),
            Step::Pause(i) => {
                w.was_paused = true;
                w.paused = Some(i);
            }
            Step::Resume => {
                w.paused = None;
                w.use_all();
            }
        }
        (w.flying.len() <= FLYING).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("never more than the whole", |_, w: &World| w.in_use() <= WHOLE),
            Property::<Self>::always("all of it usable again", |_, w: &World| w.settled() == WHOLE),
            // Alone its first term ends three ticks after it was asked for.
            Property::<Self>::sometimes("a renewed loan is used", |m: &LeaseModel, w: &World| {
                let mut loans = w.running.iter().flatten().flat_map(|e| e.leases(w.time()));
                m.asks < 2 || loans.any(|l| l.renewals > 0 && l.until > Time((TERM + REST + 6) * TICK))
            }),
            Property::<Self>::sometimes("a loan is used", |_, w: &World| (0..N).any(|i| w.usable(i) > 1)),
        ]
    }
}

#[test]
fn the_parts_in_use_never_sum_to_more_than_the_whole() {
    for (asks, faults) in [(2, 1), (1, 3)] {
        // Depth first: the states that are still to be looked at need the memory, not those that were.
        let checker = LeaseModel { asks, faults }.checker().threads(2).spawn_dfs().join();
        println!("{} states, {} unlike", checker.state_count(), checker.unique_state_count());
        checker.assert_properties();
        assert!(checker.unique_state_count() > 100_000, "the bound left too little");
    }
}
