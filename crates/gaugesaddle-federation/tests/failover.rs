//! Failover of two and three regions, every order of messages, losses, crashes and outages within a stated bound, by a
//! model checker: no request is in a region twice, each gets one final answer, no keyed one runs twice, and every
//! history ends. The regions use the crate's own hop rule and last words.
//!
//! Bound: one keyed and one free request at the same time, each region's halls lost at any moment and back at any later
//! one or never, up to two messages lost, one gateway killed with what it held.

use gaugesaddle_balancer::{Effect, KeyScope, Micros, Outcome};
use gaugesaddle_federation::{of_refusal, word, Fate, Final, Path};
use stateright::{Checker, Model, Property};

const NAMES: [&str; 3] = ["north", "south", "west"];
const HOPS: u8 = 2;

fn effect(request: usize) -> Effect {
    [Effect::Keyed(KeyScope::Zone, Micros(1_200_000)), Effect::Free][request]
}

/// A message between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { request: usize, to: usize, path: String },
    Answer { request: usize, to: usize, fate: Option<u8> },
}

/// The path that it came with, and whether it waits for another region's answer.
type Here = (Option<String>, bool);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    /// Whose halls are lost, and which gateways were killed.
    lost: Vec<bool>,
    /// Whose halls came back.
    back: Vec<bool>,
    killed: Vec<bool>,
    messages: Vec<Message>,
    /// By region and request: it is here, came with that path, and waits for another region's answer.
    here: Vec<Vec<Option<Here>>>,
    /// By request: regions that had it, runs, and final answers of its first region.
    been: Vec<Vec<usize>>,
    runs: Vec<u8>,
    answers: Vec<Vec<&'static str>>,
    losses: u8,
    kills: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    LoseHalls(usize),
    Return(usize),
    Kill(usize),
    Lose(usize),
    Deliver(usize),
    /// The region serves it, its answer on the way back.
    Serve(usize, usize),
    /// An attempt there may have run and gave no answer.
    Spoil(usize, usize),
    /// The region can't: it goes to the next, or is given up.
    Pass(usize, usize),
    /// Its time is up while it waits.
    Expire(usize, usize),
}

struct Regions(usize);

impl Regions {
    /// A region's last word on a request; to its client, or as a gateway to the sender.
    fn end(&self, w: &mut World, region: usize, request: usize, outcome: Outcome) {
        let Some((path, _)) = w.here[region][request].take() else { return };
        let said = match outcome {
            Outcome::Ok => None,
            outcome => Some(word(effect(request), outcome)),
        };
        match path {
            None => w.answers[request].push(match said {
                None => "served",
                Some(Final::Refuse) => "refused",
                Some(Final::Fail) => "failed",
            }),
            Some(path) => {
                let fate = match said {
                    None => Fate::Ran,
                    Some(Final::Refuse) => of_refusal(effect(request)),
                    Some(Final::Fail) => Fate::MayHaveRun,
                };
                let sender = NAMES.iter().position(|n| path.split(';').next().unwrap().ends_with(n)).unwrap();
                w.messages.push(Message::Answer { request, to: sender, fate: Some(fate as u8) });
                w.messages.sort();
            }
        }
    }
}

fn fate(number: u8) -> Fate {
    [Fate::Ran, Fate::NotRun, Fate::MayHaveRun][number as usize]
}

impl Model for Regions {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut here = vec![vec![None, None]; self.0];
        here[0][0] = Some((None, false));
        here[1][1] = Some((None, false)); // both regions have clients: both may fail over to each other
        vec![World {
            lost: vec![false; self.0],
            back: vec![false; self.0],
            killed: vec![false; self.0],
            here,
            been: vec![vec![0], vec![1]],
            runs: vec![0, 0],
            answers: vec![vec![], vec![]],
            ..World::default()
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        for region in 0..self.0 {
            if !w.lost[region] && !w.back[region] {
                steps.push(Step::LoseHalls(region));
            }
            if w.lost[region] {
                steps.push(Step::Return(region));
            }
            if w.kills == 0 && !w.killed[region] {
                steps.push(Step::Kill(region));
            }
            for request in 0..2 {
                match &w.here[region][request] {
                    Some((_, false)) if !w.lost[region] => {
                        steps.extend([Step::Serve(region, request), Step::Spoil(region, request)])
                    }
                    Some((_, false)) => steps.push(Step::Pass(region, request)),
                    Some((_, true)) => steps.push(Step::Expire(region, request)),
                    None => {}
                }
            }
        }
        for message in 0..w.messages.len() {
            steps.push(Step::Deliver(message));
            if w.losses < 2 {
                steps.push(Step::Lose(message));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut w = before.clone();
        match step {
            Step::LoseHalls(region) => w.lost[region] = true,
            Step::Return(region) => (w.lost[region], w.back[region]) = (false, true),
            Step::Kill(region) => {
                (w.killed[region], w.kills) = (true, 1);
                for request in 0..2 {
                    if let Some((path, _)) = w.here[region][request].take() {
                        // Its senders see the connection break; its own clients are for themselves to ask again.
                        match path {
                            None => w.answers[request].push("killed"),
                            Some(path) => {
                                let name = path.split(';').next().unwrap();
                                let to = NAMES.iter().position(|n| name.ends_with(n)).unwrap();
                                let fate = Some(Fate::of_lost(true) as u8);
                                w.messages.push(Message::Answer { request, to, fate });
                            }
                        }
                    }
                }
                w.messages.sort();
            }
            Step::Lose(at) => {
                w.losses += 1;
                w.messages.remove(at);
            }
            Step::Deliver(at) => match w.messages.remove(at) {
                Message::Ask { request, to, path } => {
                    let sender = path.split(';').next().unwrap();
                    let from = NAMES.iter().position(|n| sender.ends_with(n)).unwrap();
                    let read = Path::parse(&path, NAMES[from]).expect("a gateway's own word");
                    if w.killed[to] {
                        // Nobody listens: it was never handed over.
                        let fate = Some(Fate::of_lost(false) as u8);
                        w.messages.push(Message::Answer { request, to: from, fate });
                    } else if read.enters(NAMES[to]).is_err() || w.here[to][request].is_some() {
                        w.messages.push(Message::Answer {
                            request,
                            to: from,
                            fate: Some(Fate::NotRun as u8),
                        });
                    } else {
                        w.been[request].push(to);
                        w.here[to][request] = Some((Some(path), false));
                    }
                    w.messages.sort();
                }
                Message::Answer { request, to, fate: told } => {
                    if matches!(w.here[to][request], Some((_, true))) {
                        let outcome = told.map_or(Outcome::Reset, |n| fate(n).outcome());
                        self.end(&mut w, to, request, outcome);
                    }
                }
            },
            Step::Serve(region, request) => {
                w.runs[request] += 1;
                self.end(&mut w, region, request, Outcome::Ok);
            }
            Step::Spoil(region, request) => {
                w.runs[request] += 1;
                self.end(&mut w, region, request, Outcome::Reset);
            }
            Step::Pass(region, request) => {
                let came = w.here[region][request].clone().and_then(|(path, _)| path);
                let came = came.map(|path| {
                    let sender =
                        NAMES.iter().find(|n| path.split(';').next().unwrap().ends_with(**n)).unwrap();
                    Path::parse(&path, sender).expect("as it came")
                });
                let onward = (0..self.0).filter(|to| *to != region).find_map(|to| {
                    Some((to, Path::onward(came.as_ref(), NAMES[region], NAMES[to], HOPS).ok()?))
                });
                match onward {
                    Some((to, path)) => {
                        w.here[region][request].as_mut()?.1 = true;
                        w.messages.push(Message::Ask { request, to, path: path.text() });
                        w.messages.sort();
                    }
                    None => self.end(&mut w, region, request, Outcome::NeverSent),
                }
            }
            Step::Expire(region, request) => self.end(&mut w, region, request, Outcome::TimedOut),
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Regions>> {
        vec![
            Property::always("no request is in a region twice", |_, w: &World| {
                w.been.iter().all(|been| (0..been.len()).all(|i| !been[i + 1..].contains(&been[i])))
            }),
            Property::always("one final answer at most", |_, w: &World| {
                w.answers.iter().all(|a| a.len() <= 1)
            }),
            Property::always("a keyed request runs once at most", |_, w: &World| w.runs[0] <= 1),
            Property::always("a refused vote has not run", |_, w: &World| {
                w.answers[0] != ["refused"] || w.runs[0] == 0
            }),
            Property::eventually("every request has its answer", |_, w: &World| {
                w.answers.iter().all(|a| a.len() == 1)
            }),
            // Reached at least once: the checker would notice a model in which nothing ever leaves.
            Property::sometimes("another region serves", |_, w: &World| {
                w.been[0].len() == 2 && w.answers[0] == ["served"]
            }),
            Property::sometimes(
                "one that could not be served is served at home after the return",
                |_, w: &World| w.back[0] && w.been[0] == [0] && w.answers[0] == ["served"],
            ),
            Property::sometimes("both failed over to each other and gave up", |_, w: &World| {
                w.been[0].len() > 1 && w.been[1].len() > 1 && w.answers.iter().all(|a| a == &["refused"])
            }),
        ]
    }
}

#[test]
fn two_regions_failing_over_to_each_other() {
    let checker = Regions(2).checker().spawn_bfs().join();
    checker.assert_properties();
    eprintln!("two regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{} states", checker.unique_state_count());
}

#[test]
fn three_regions_in_a_ring() {
    let checker = Regions(3).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("three regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}
