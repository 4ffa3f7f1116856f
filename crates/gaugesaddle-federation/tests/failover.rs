//! Failover of two and three regions, every order of messages, losses, crashes and outages within a stated bound, by a
//! model checker: no request is in a region twice, each gets one final answer, no keyed one runs twice, and every
//! history ends. The regions use the crate's own loop rule and answers to clients.
//!
//! Bound: one keyed and one free request at the same time, the backends of each region lost at any moment and back at any
//! later one or never, up to two messages lost, one gateway killed with its requests.

use gaugesaddle_balancer::{Effect, KeyScope, Micros, Outcome};
use gaugesaddle_federation::{
    client_answer, outcome_of_rejection, ClientAnswer, RemoteOutcome, Transmission, Via,
};
use stateright::{Checker, Model, Property};

const NAMES: [&str; 3] = ["north", "south", "west"];
const MAX_HOPS: u8 = 2;
const KEYED: usize = 0;
const REQUESTS: usize = 2;
const MAX_LOSSES: u8 = 2;

fn effect(request: usize) -> Effect {
    [Effect::Keyed(KeyScope::Zone, Micros(1_200_000)), Effect::Free][request]
}

/// The region that wrote a header: the last name in it.
fn sender_of(via: &str) -> usize {
    let regions = via.split(';').next().unwrap();
    NAMES.iter().position(|name| regions.ends_with(name)).unwrap()
}

/// A message between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { request: usize, to: usize, via: String },
    Response { request: usize, to: usize, outcome: u8 },
}

/// A request in a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    /// The header that it came with; `None` from a client.
    via: Option<String>,
    /// It was forwarded and waits for the other region's response.
    is_forwarded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    /// By region: its backends are lost.
    lost: Vec<bool>,
    /// By region: its backends have recovered.
    recovered: Vec<bool>,
    /// By region: its gateway was killed.
    killed: Vec<bool>,
    messages: Vec<Message>,
    /// By region and request.
    pending: Vec<Vec<Option<Pending>>>,
    /// By request: the regions that had it, in order.
    visited: Vec<Vec<usize>>,
    /// By request: executions.
    executions: Vec<u8>,
    /// By request: final answers of its first region.
    answers: Vec<Vec<&'static str>>,
    losses: u8,
    kills: u8,
}

impl World {
    /// Messages are a set: their order makes no difference to the state.
    fn send(&mut self, message: Message) {
        self.messages.push(message);
        self.messages.sort();
    }

    fn respond(&mut self, request: usize, to: usize, outcome: RemoteOutcome) {
        self.send(Message::Response { request, to, outcome: outcome as u8 });
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    LoseBackends(usize),
    RecoverBackends(usize),
    KillGateway(usize),
    LoseMessage(usize),
    DeliverMessage(usize),
    /// The region executes the request and responds.
    Serve(usize, usize),
    /// An attempt there may have been executed and gave no response.
    FailAttempt(usize, usize),
    /// The region cannot serve it: it is forwarded, or given up.
    Forward(usize, usize),
    /// Its deadline passes while it waits.
    Expire(usize, usize),
}

struct Regions(usize);

fn outcome(number: u8) -> RemoteOutcome {
    [RemoteOutcome::Executed, RemoteOutcome::NotExecuted, RemoteOutcome::Indeterminate][number as usize]
}

impl Regions {
    /// A region ends a request: answers its client, or as a gateway its sender.
    fn end(&self, w: &mut World, region: usize, request: usize, outcome: Outcome) {
        let Some(Pending { via, .. }) = w.pending[region][request].take() else { return };
        let unserved = match outcome {
            Outcome::Ok => None,
            outcome => Some(client_answer(effect(request), outcome)),
        };
        match via {
            None => w.answers[request].push(match unserved {
                None => "served",
                Some(ClientAnswer::Rejected) => "rejected",
                Some(ClientAnswer::Failed) => "failed",
            }),
            Some(via) => {
                let outcome = match unserved {
                    None => RemoteOutcome::Executed,
                    Some(ClientAnswer::Rejected) => outcome_of_rejection(effect(request)),
                    Some(ClientAnswer::Failed) => RemoteOutcome::Indeterminate,
                };
                w.respond(request, sender_of(&via), outcome);
            }
        }
    }

    fn kill_gateway(&self, w: &mut World, region: usize) {
        w.killed[region] = true;
        w.kills = 1;
        for request in 0..REQUESTS {
            match w.pending[region][request].take() {
                None => {}
                // Its own clients may send the request again.
                Some(Pending { via: None, .. }) => w.answers[request].push("killed"),
                // The sender sees the connection break.
                Some(Pending { via: Some(via), .. }) => {
                    let outcome = RemoteOutcome::of_connection_failure(Transmission::Started);
                    w.respond(request, sender_of(&via), outcome);
                }
            }
        }
    }

    fn deliver(&self, w: &mut World, message: Message) {
        match message {
            Message::Request { request, to, via } => {
                let from = sender_of(&via);
                let received = Via::parse(&via, NAMES[from]).expect("a gateway's own header");
                if w.killed[to] {
                    // The connection is refused: nothing was sent.
                    let outcome = RemoteOutcome::of_connection_failure(Transmission::NotStarted);
                    w.respond(request, from, outcome);
                } else if received.check_entry(NAMES[to]).is_err() || w.pending[to][request].is_some() {
                    w.respond(request, from, RemoteOutcome::NotExecuted);
                } else {
                    w.visited[request].push(to);
                    w.pending[to][request] = Some(Pending { via: Some(via), is_forwarded: false });
                }
            }
            Message::Response { request, to, outcome: number } => {
                if matches!(w.pending[to][request], Some(Pending { is_forwarded: true, .. })) {
                    self.end(w, to, request, outcome(number).attempt_outcome());
                }
            }
        }
    }

    fn forward(&self, w: &mut World, region: usize, request: usize) {
        let Some(pending) = &mut w.pending[region][request] else { return };
        let incoming =
            pending.via.as_ref().map(|via| Via::parse(via, NAMES[sender_of(via)]).expect("as it came"));
        let next_hop = (0..self.0).filter(|to| *to != region).find_map(|to| {
            let via = Via::next_hop(incoming.as_ref(), NAMES[region], NAMES[to], MAX_HOPS).ok()?;
            Some(Message::Request { request, to, via: via.header_value() })
        });
        match next_hop {
            Some(message) => {
                pending.is_forwarded = true;
                w.send(message);
            }
            None => self.end(w, region, request, Outcome::NeverSent),
        }
    }
}

impl Model for Regions {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let from_client = Some(Pending { via: None, is_forwarded: false });
        let mut pending = vec![vec![None; REQUESTS]; self.0];
        // Both regions have clients: both may fail over to each other.
        pending[0][0] = from_client.clone();
        pending[1][1] = from_client;
        vec![World {
            lost: vec![false; self.0],
            recovered: vec![false; self.0],
            killed: vec![false; self.0],
            pending,
            visited: vec![vec![0], vec![1]],
            executions: vec![0, 0],
            answers: vec![vec![], vec![]],
            ..World::default()
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        for region in 0..self.0 {
            if !w.lost[region] && !w.recovered[region] {
                steps.push(Step::LoseBackends(region));
            }
            if w.lost[region] {
                steps.push(Step::RecoverBackends(region));
            }
            if w.kills == 0 && !w.killed[region] {
                steps.push(Step::KillGateway(region));
            }
            for request in 0..REQUESTS {
                match &w.pending[region][request] {
                    Some(Pending { is_forwarded: false, .. }) if !w.lost[region] => {
                        steps.extend([Step::Serve(region, request), Step::FailAttempt(region, request)]);
                    }
                    Some(Pending { is_forwarded: false, .. }) => steps.push(Step::Forward(region, request)),
                    Some(Pending { is_forwarded: true, .. }) => steps.push(Step::Expire(region, request)),
                    None => {}
                }
            }
        }
        for message in 0..w.messages.len() {
            steps.push(Step::DeliverMessage(message));
            if w.losses < MAX_LOSSES {
                steps.push(Step::LoseMessage(message));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut w = before.clone();
        match step {
            Step::LoseBackends(region) => w.lost[region] = true,
            Step::RecoverBackends(region) => {
                w.lost[region] = false;
                w.recovered[region] = true;
            }
            Step::KillGateway(region) => self.kill_gateway(&mut w, region),
            Step::LoseMessage(message) => {
                w.losses += 1;
                w.messages.remove(message);
            }
            Step::DeliverMessage(message) => {
                let message = w.messages.remove(message);
                self.deliver(&mut w, message);
            }
            Step::Serve(region, request) => {
                w.executions[request] += 1;
                self.end(&mut w, region, request, Outcome::Ok);
            }
            Step::FailAttempt(region, request) => {
                w.executions[request] += 1;
                self.end(&mut w, region, request, Outcome::Reset);
            }
            Step::Forward(region, request) => self.forward(&mut w, region, request),
            Step::Expire(region, request) => self.end(&mut w, region, request, Outcome::TimedOut),
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Regions>> {
        vec![
            Property::always("no request is in a region twice", |_, w: &World| {
                w.visited
                    .iter()
                    .all(|visited| (0..visited.len()).all(|i| !visited[i + 1..].contains(&visited[i])))
            }),
            Property::always("one final answer at most", |_, w: &World| {
                w.answers.iter().all(|answers| answers.len() <= 1)
            }),
            Property::always("a keyed request is executed once at most", |_, w: &World| {
                w.executions[KEYED] <= 1
            }),
            Property::always("a rejected keyed request was not executed", |_, w: &World| {
                w.answers[KEYED] != ["rejected"] || w.executions[KEYED] == 0
            }),
            Property::eventually("every request has its answer", |_, w: &World| {
                w.answers.iter().all(|answers| answers.len() == 1)
            }),
            // Reached at least once: shows that requests are forwarded in the model.
            Property::sometimes("another region serves", |_, w: &World| {
                w.visited[0].len() == 2 && w.answers[0] == ["served"]
            }),
            Property::sometimes("a request waits for its own region to recover", |_, w: &World| {
                w.recovered[0] && w.visited[0] == [0] && w.answers[0] == ["served"]
            }),
            Property::sometimes("both failed over to each other and gave up", |_, w: &World| {
                let both_forwarded = w.visited.iter().all(|visited| visited.len() > 1);
                both_forwarded && w.answers.iter().all(|answers| answers == &["rejected"])
            }),
        ]
    }
}

#[test]
fn two_regions_fail_over_to_each_other() {
    let checker = Regions(2).checker().spawn_bfs().join();
    checker.assert_properties();
    eprintln!("two regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{} states", checker.unique_state_count());
}

#[test]
fn three_regions_fail_over_in_a_ring() {
    let checker = Regions(3).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("three regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}
