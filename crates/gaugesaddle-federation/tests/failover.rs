//! Model checking of failover between two and three regions. The checker explores every order of messages, message losses,
//! crashes and outages within the bound below and verifies that no request visits a region twice, each request gets exactly
//! one final answer, no request with an idempotency key is executed twice, and every execution terminates. The modelled
//! regions use the crate's loop prevention and client answers.
//!
//! Bound: one request with an idempotency key and one that may be repeated freely, concurrently; the backends of each
//! region fail at any time and recover at any later time or never; up to two messages are lost; one gateway is killed
//! together with its requests.

use gaugesaddle_balancer::{Effect, KeyScope, Micros, Outcome};
use gaugesaddle_federation::{
    client_answer, outcome_of_rejection, ClientAnswer, RemoteOutcome, Transmission, Via,
};
use stateright::{Checker, Model, Property};

const REGION_NAMES: [&str; 3] = ["north", "south", "west"];
const MAX_HOPS: u8 = 2;
const KEYED_REQUEST: usize = 0;
const REQUEST_COUNT: usize = 2;
const MAX_LOSSES: u8 = 2;

fn effect(request: usize) -> Effect {
    [Effect::Keyed(KeyScope::Zone, Micros(1_200_000)), Effect::Free][request]
}

/// Index of the region that wrote a header: the last region in it.
fn sender_of(via: &str) -> usize {
    let regions = via.split(';').next().unwrap();
    REGION_NAMES.iter().position(|name| regions.ends_with(name)).unwrap()
}

/// A message between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { request: usize, to: usize, via: String },
    Response { request: usize, to: usize, outcome: u8 },
}

/// A request that a region has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    /// The header that the request was received with; `None` for a request of a client.
    via: Option<String>,
    /// Whether the request was forwarded and the response of the other region is outstanding.
    is_forwarded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct ModelState {
    /// By region: whether its backends have failed.
    lost: Vec<bool>,
    /// By region: whether its backends have recovered from a failure.
    recovered: Vec<bool>,
    /// By region: whether its gateway was killed.
    killed: Vec<bool>,
    messages: Vec<Message>,
    /// By region and request.
    pending: Vec<Vec<Option<Pending>>>,
    /// By request: the regions that it has visited, in order.
    visited: Vec<Vec<usize>>,
    /// By request: number of executions, and of attempts that may have been executed.
    executions: Vec<u8>,
    /// By request: final answers of its first region to the client.
    answers: Vec<Vec<&'static str>>,
    losses: u8,
    kills: u8,
}

impl ModelState {
    /// Keeps the messages sorted, because states that differ only in the order of messages are equivalent.
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
    /// An attempt in the region may have been executed and returned no response.
    FailAttempt(usize, usize),
    /// The region cannot serve the request, and forwards it, or rejects it if no other region is eligible.
    Forward(usize, usize),
    /// The deadline of a forwarded request passes.
    Expire(usize, usize),
}

/// The model, with the number of regions.
struct FailoverModel(usize);

fn outcome_from_number(number: u8) -> RemoteOutcome {
    [RemoteOutcome::Executed, RemoteOutcome::NotExecuted, RemoteOutcome::Indeterminate][number as usize]
}

impl FailoverModel {
    /// A region ends a request: it answers the client, or reports the outcome to the region that sent the request.
    fn finish(&self, state: &mut ModelState, region: usize, request: usize, outcome: Outcome) {
        let Some(Pending { via, .. }) = state.pending[region][request].take() else { return };
        let unserved = match outcome {
            Outcome::Ok => None,
            outcome => Some(client_answer(effect(request), outcome)),
        };
        match via {
            None => state.answers[request].push(match unserved {
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
                state.respond(request, sender_of(&via), outcome);
            }
        }
    }

    fn kill_gateway(&self, state: &mut ModelState, region: usize) {
        state.killed[region] = true;
        state.kills = 1;
        for request in 0..REQUEST_COUNT {
            match state.pending[region][request].take() {
                None => {}
                // The connection to the client breaks; the client may retry.
                Some(Pending { via: None, .. }) => state.answers[request].push("killed"),
                // The sending region detects the connection failure.
                Some(Pending { via: Some(via), .. }) => {
                    let outcome = RemoteOutcome::of_connection_failure(Transmission::Started);
                    state.respond(request, sender_of(&via), outcome);
                }
            }
        }
    }

    fn deliver(&self, state: &mut ModelState, message: Message) {
        match message {
            Message::Request { request, to, via } => {
                let from = sender_of(&via);
                let received =
                    Via::parse(&via, REGION_NAMES[from]).expect("a header written by a gateway must parse");
                if state.killed[to] {
                    // The connection is refused before any part of the request is sent.
                    let outcome = RemoteOutcome::of_connection_failure(Transmission::NotStarted);
                    state.respond(request, from, outcome);
                } else if received.check_entry(REGION_NAMES[to]).is_err()
                    || state.pending[to][request].is_some()
                {
                    state.respond(request, from, RemoteOutcome::NotExecuted);
                } else {
                    state.visited[request].push(to);
                    state.pending[to][request] = Some(Pending { via: Some(via), is_forwarded: false });
                }
            }
            Message::Response { request, to, outcome: number } => {
                if matches!(state.pending[to][request], Some(Pending { is_forwarded: true, .. })) {
                    self.finish(state, to, request, outcome_from_number(number).attempt_outcome());
                }
            }
        }
    }

    fn forward(&self, state: &mut ModelState, region: usize, request: usize) {
        let Some(pending) = &mut state.pending[region][request] else { return };
        let incoming = pending
            .via
            .as_ref()
            .map(|via| Via::parse(via, REGION_NAMES[sender_of(via)]).expect("a received header must parse"));
        let next_hop = (0..self.0).filter(|to| *to != region).find_map(|to| {
            let via =
                Via::next_hop(incoming.as_ref(), REGION_NAMES[region], REGION_NAMES[to], MAX_HOPS).ok()?;
            Some(Message::Request { request, to, via: via.header_value() })
        });
        match next_hop {
            Some(message) => {
                pending.is_forwarded = true;
                state.send(message);
            }
            None => self.finish(state, region, request, Outcome::NeverSent),
        }
    }
}

impl Model for FailoverModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let from_client = Some(Pending { via: None, is_forwarded: false });
        let mut pending = vec![vec![None; REQUEST_COUNT]; self.0];
        // Each of the first two regions has a request of a client, so both may fail over to each other.
        pending[0][0] = from_client.clone();
        pending[1][1] = from_client;
        vec![ModelState {
            lost: vec![false; self.0],
            recovered: vec![false; self.0],
            killed: vec![false; self.0],
            pending,
            visited: vec![vec![0], vec![1]],
            executions: vec![0, 0],
            answers: vec![vec![], vec![]],
            ..ModelState::default()
        }]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        for region in 0..self.0 {
            if !state.lost[region] && !state.recovered[region] {
                steps.push(Step::LoseBackends(region));
            }
            if state.lost[region] {
                steps.push(Step::RecoverBackends(region));
            }
            if state.kills == 0 && !state.killed[region] {
                steps.push(Step::KillGateway(region));
            }
            for request in 0..REQUEST_COUNT {
                match &state.pending[region][request] {
                    Some(Pending { is_forwarded: false, .. }) if !state.lost[region] => {
                        steps.extend([Step::Serve(region, request), Step::FailAttempt(region, request)]);
                    }
                    Some(Pending { is_forwarded: false, .. }) => steps.push(Step::Forward(region, request)),
                    Some(Pending { is_forwarded: true, .. }) => steps.push(Step::Expire(region, request)),
                    None => {}
                }
            }
        }
        for message in 0..state.messages.len() {
            steps.push(Step::DeliverMessage(message));
            if state.losses < MAX_LOSSES {
                steps.push(Step::LoseMessage(message));
            }
        }
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = before.clone();
        match step {
            Step::LoseBackends(region) => state.lost[region] = true,
            Step::RecoverBackends(region) => {
                state.lost[region] = false;
                state.recovered[region] = true;
            }
            Step::KillGateway(region) => self.kill_gateway(&mut state, region),
            Step::LoseMessage(message) => {
                state.losses += 1;
                state.messages.remove(message);
            }
            Step::DeliverMessage(message) => {
                let message = state.messages.remove(message);
                self.deliver(&mut state, message);
            }
            Step::Serve(region, request) => {
                state.executions[request] += 1;
                self.finish(&mut state, region, request, Outcome::Ok);
            }
            Step::FailAttempt(region, request) => {
                state.executions[request] += 1;
                self.finish(&mut state, region, request, Outcome::Reset);
            }
            Step::Forward(region, request) => self.forward(&mut state, region, request),
            Step::Expire(region, request) => self.finish(&mut state, region, request, Outcome::TimedOut),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<FailoverModel>> {
        vec![
            Property::always("no request visits a region twice", |_, state: &ModelState| {
                state
                    .visited
                    .iter()
                    .all(|visited| (0..visited.len()).all(|i| !visited[i + 1..].contains(&visited[i])))
            }),
            Property::always("each request has at most one final answer", |_, state: &ModelState| {
                state.answers.iter().all(|answers| answers.len() <= 1)
            }),
            Property::always("a keyed request is executed at most once", |_, state: &ModelState| {
                state.executions[KEYED_REQUEST] <= 1
            }),
            Property::always("a rejected keyed request was not executed", |_, state: &ModelState| {
                state.answers[KEYED_REQUEST] != ["rejected"] || state.executions[KEYED_REQUEST] == 0
            }),
            Property::eventually("every request has exactly one final answer", |_, state: &ModelState| {
                state.answers.iter().all(|answers| answers.len() == 1)
            }),
            // The `sometimes` properties must be reachable: they show that the model covers these executions.
            Property::sometimes("another region serves a request", |_, state: &ModelState| {
                state.visited[0].len() == 2 && state.answers[0] == ["served"]
            }),
            Property::sometimes(
                "a request is served by its own region after a recovery",
                |_, state: &ModelState| {
                    state.recovered[0] && state.visited[0] == [0] && state.answers[0] == ["served"]
                },
            ),
            Property::sometimes(
                "both requests fail over to the other region and are rejected",
                |_, state: &ModelState| {
                    let both_forwarded = state.visited.iter().all(|visited| visited.len() > 1);
                    both_forwarded && state.answers.iter().all(|answers| answers == &["rejected"])
                },
            ),
        ]
    }
}

#[test]
fn two_regions_fail_over_to_each_other() {
    let checker = FailoverModel(2).checker().spawn_bfs().join();
    checker.assert_properties();
    eprintln!("two regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000, "{} states", checker.unique_state_count());
}

#[test]
fn three_regions_fail_over_in_a_ring() {
    let checker = FailoverModel(3).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    eprintln!("three regions: {} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}
