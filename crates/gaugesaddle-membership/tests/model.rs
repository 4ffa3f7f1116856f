//! The core of the membership under every order of messages, by a model checker: three processes, messages lost and
//! doubled, wrong suspicions, one crash and return, one partition and its heal. Nobody who lives is dead for good, and
//! no boot goes back.
//!
//! Bound: up to [`ASKS`] questions and [`TELLS`] rumours at any moment, [`FLYING`] messages under way, one lost, one
//! doubled, one wrong suspicion and burial, one crash with a return, one partition of one place from the others.
//! "For good" is judged from each state reached: the network heals, all under way arrives, each asks each thrice; then
//! all must hold one another alive with their present processes.

use gaugesaddle_membership::{Boot, Claim, Heard, Held, Own, Standing};
use stateright::{Checker, Model, Property};

const N: usize = 3;
const ASKS: u8 = 2;
const TELLS: u8 = 1;
const FLYING: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Body {
    Ping(u8, Option<(u32, u32, u8)>),
    Ack(u8),
    Rumor(u8, (u32, u32, u8)),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: u8,
    to: u8,
    boot: u32,
    incarnation: u32,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    own: Own,
    held: [Held; N],
    open: [Option<u8>; N],
    /// The latest process that it met at each place.
    met: [u32; N],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    running: [Option<Process>; N],
    starts: u32,
    flying: Vec<Message>,
    nonces: u8,
    asks: u8,
    tells: u8,
    lost: bool,
    doubled: bool,
    suspected: bool,
    crashed: bool,
    cut: Option<u8>,
    healed: bool,
    back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Ask(u8, u8),
    Tell(u8, u8, u8),
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Suspect(u8, u8),
    Bury(u8, u8),
    Crash(u8),
    Start(u8),
    Cut(u8),
    Heal,
}

fn pack(claim: Claim) -> (u32, u32, u8) {
    (claim.boot.0, claim.incarnation, claim.standing as u8)
}

fn unpack((boot, incarnation, standing): (u32, u32, u8)) -> Claim {
    let all = [Standing::Unseen, Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left];
    Claim { boot: Boot(boot), incarnation, standing: all[usize::from(standing)] }
}

impl World {
    fn start(&mut self, place: u8) {
        self.starts += 1;
        // In the order of starts, for the judge alone: the core does not compare boots.
        let own = Own::new(Boot(self.starts));
        let process = Process { own, held: Default::default(), open: [None; N], met: [0; N] };
        self.running[usize::from(place)] = Some(process);
    }

    fn send(&mut self, from: u8, to: u8, body: Body) {
        let own = self.running[usize::from(from)].as_ref().expect("runs").own;
        let cut = self.cut.is_some_and(|c| (c == from) != (c == to));
        if !cut {
            self.flying.push(Message { from, to, boot: own.boot.0, incarnation: own.incarnation, body });
            self.flying.sort();
        }
    }

    fn ask(&mut self, from: u8, to: u8) {
        self.nonces += 1;
        let nonce = self.nonces;
        let process = self.running[usize::from(from)].as_mut().expect("runs");
        process.open[usize::from(to)] = Some(nonce);
        let claim = process.held[usize::from(to)].claim().map(pack);
        self.send(from, to, Body::Ping(nonce, claim));
    }

    /// As `hearing.rs` does it.
    fn deliver(&mut self, m: Message) {
        let (to, from) = (usize::from(m.to), usize::from(m.from));
        let mut reply = None;
        {
            let Some(process) = self.running[to].as_mut() else { return };
            let boot = Boot(m.boot);
            if let Body::Ack(nonce) = m.body {
                if process.open[from] == Some(nonce) {
                    process.open[from] = None;
                    if process.held[from].prove(boot, m.incarnation) == Heard::News {
                        self.back |= m.boot < process.met[from];
                        process.met[from] = process.met[from].max(m.boot);
                    }
                }
            }
            if let Body::Ping(nonce, claim) = m.body {
                if let Some(claim) = claim {
                    process.own.accused(unpack(claim));
                }
                reply = Some(Body::Ack(nonce));
            }
            if process.held[from].boot() == Some(boot) {
                let (incarnation, standing) = (m.incarnation, Standing::Alive);
                process.held[from].hear(Claim { boot, incarnation, standing });
                if let Body::Rumor(subject, claim) = m.body {
                    if subject == m.to {
                        process.own.accused(unpack(claim));
                    } else {
                        process.held[usize::from(subject)].hear(unpack(claim));
                    }
                }
            }
        }
        if let Some(body) = reply {
            self.send(m.to, m.from, body);
        }
    }

    fn settle(&self) -> World {
        let mut w = self.clone();
        w.cut = None;
        let arrive = |w: &mut World| {
            while !w.flying.is_empty() {
                let m = w.flying.remove(0);
                w.deliver(m);
            }
        };
        arrive(&mut w);
        for _ in 0..3 {
            for i in 0..N as u8 {
                for j in 0..N as u8 {
                    if i != j && w.running[usize::from(i)].is_some() {
                        w.ask(i, j);
                        arrive(&mut w);
                    }
                }
            }
        }
        w
    }

    fn agrees(&self) -> bool {
        (0..N).all(|i| {
            let Some(process) = &self.running[i] else { return true };
            (0..N).filter(|j| *j != i).all(|j| match &self.running[j] {
                Some(other) => {
                    let held = process.held[j];
                    held.boot() == Some(other.own.boot) && held.standing() == Standing::Alive
                }
                None => true,
            })
        })
    }
}

struct Tier;

impl Model for Tier {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut w = World {
            running: [None, None, None],
            starts: 0,
            flying: Vec::new(),
            nonces: 0,
            asks: 0,
            tells: 0,
            lost: false,
            doubled: false,
            suspected: false,
            crashed: false,
            cut: None,
            healed: false,
            back: false,
        };
        (0..N as u8).for_each(|p| w.start(p));
        let fresh = w.clone();
        // Those that know one another already, and those that have just started.
        let mut settled = w.settle();
        (settled.nonces, settled.cut) = (0, None);
        vec![settled, fresh]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        let runs = |p: u8| w.running[usize::from(p)].is_some();
        let room = w.flying.len() < FLYING;
        for i in 0..N as u8 {
            if !runs(i) {
                actions.push(Step::Start(i));
                continue;
            }
            if !w.crashed {
                actions.push(Step::Crash(i));
            }
            let process = w.running[usize::from(i)].as_ref().expect("runs");
            for j in (0..N as u8).filter(|j| *j != i) {
                let standing = process.held[usize::from(j)].standing();
                if room && w.asks < ASKS {
                    actions.push(Step::Ask(i, j));
                }
                if standing == Standing::Alive && !w.suspected {
                    actions.push(Step::Suspect(i, j));
                }
                if standing == Standing::Suspect {
                    actions.push(Step::Bury(i, j));
                }
                let third = 3 - i - j;
                let worth = process.held[usize::from(third)]
                    .claim()
                    .is_some_and(|c| c.standing != Standing::Alive || c.incarnation > 0);
                if room && w.tells < TELLS && worth {
                    actions.push(Step::Tell(i, j, third));
                }
            }
        }
        for m in 0..w.flying.len() {
            actions.push(Step::Deliver(m));
            if !w.lost {
                actions.push(Step::Lose(m));
            }
            if !w.doubled && room {
                actions.push(Step::Double(m));
            }
        }
        if w.cut.is_some() {
            actions.push(Step::Heal);
        } else if !w.healed {
            (0..N as u8).for_each(|p| actions.push(Step::Cut(p)));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Ask(i, j) => {
                w.asks += 1;
                w.ask(i, j);
            }
            Step::Tell(i, j, k) => {
                w.tells += 1;
                let claim = w.running[usize::from(i)].as_ref()?.held[usize::from(k)].claim()?;
                w.send(i, j, Body::Rumor(k, pack(claim)));
            }
            Step::Deliver(m) => {
                let m = w.flying.remove(m);
                w.deliver(m);
            }
            Step::Double(m) => {
                w.doubled = true;
                let m = w.flying[m].clone();
                w.deliver(m);
            }
            Step::Lose(m) => {
                w.lost = true;
                w.flying.remove(m);
            }
            Step::Suspect(i, j) => {
                w.suspected = true;
                w.running[usize::from(i)].as_mut()?.held[usize::from(j)].judge(Standing::Suspect)?;
            }
            Step::Bury(i, j) => {
                w.running[usize::from(i)].as_mut()?.held[usize::from(j)].judge(Standing::Dead)?;
            }
            Step::Crash(i) => {
                w.crashed = true;
                w.running[usize::from(i)] = None;
            }
            Step::Start(i) => w.start(i),
            Step::Cut(i) => {
                w.cut = Some(i);
                // What is under way across the cut is lost.
                w.flying.retain(|m| (m.from == i) == (m.to == i));
            }
            Step::Heal => {
                w.cut = None;
                w.healed = true;
            }
        }
        (w.flying.len() <= FLYING + 1).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no boot goes back", |_, w: &World| !w.back),
            Property::<Self>::always("nobody dead for good that lives", |_, w: &World| w.settle().agrees()),
            Property::<Self>::sometimes("a wrong burial", |_, w: &World| {
                w.running
                    .iter()
                    .flatten()
                    .any(|p| (0..N).any(|j| p.held[j].standing() == Standing::Dead && w.running[j].is_some()))
            }),
            Property::<Self>::sometimes("a return is met", |_, w: &World| {
                w.running.iter().flatten().any(|p| p.met.iter().any(|b| *b > N as u32))
            }),
        ]
    }
}

#[test]
fn nobody_who_lives_is_dead_for_good_and_no_boot_goes_back() {
    let checker = Tier.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} unlike", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1_000_000,
        "the bound left too little: {}",
        checker.unique_state_count()
    );
}
