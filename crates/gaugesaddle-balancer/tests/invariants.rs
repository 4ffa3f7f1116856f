//! Invariants over generated sequences of events; `common::Host` checks each action.

mod common;
use common::{backend, class, Host};
use gaugesaddle_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64, Option<usize>),
    End(usize, Outcome),
    Stream(usize),
    Disconnect(usize),
    Advance(u64),
    ChangeBackend(u32, BackendState, bool),
    ReplaceList(u32, ListUpdate),
    UnknownIds(u64, u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NeverSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Departed)
    ];
    let update = prop_oneof![Just(ListUpdate::Full), Just(ListUpdate::Cached), Just(ListUpdate::Lost)];
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64, proptest::option::of(0..2usize)).prop_map(|(c, l, t)| Step::Arrive(c, l, t)),
        8 => (0..64usize, outcome()).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..64usize).prop_map(Step::Stream),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::Advance),
        2 => (0..8u32, state, any::<bool>()).prop_map(|(b, s, r)| Step::ChangeBackend(b, s, r)),
        1 => (0..256u32, update).prop_map(|(m, u)| Step::ReplaceList(m, u)),
        1 => (0..200u64, 0..9u32, any::<u64>()).prop_map(|(r, a, t)| Step::UnknownIds(r, a, t)),
    ]
}

fn config(bits: u32) -> Config {
    let window = Micros(300_000);
    let mut cfg = Config::example();
    cfg.classes = vec![
        class(Effect::Free),
        Class { late_weight_fraction: 0.3, priority_weight: 5.0, ..class(Effect::Unsafe) },
        class(Effect::Keyed(KeyScope::Zone, window)),
        class(Effect::Keyed(KeyScope::Cell, window)),
        class(Effect::Keyed(KeyScope::All, window)),
        Class { latency_objective: Micros(100_000), ..class(Effect::Free) },
    ];
    cfg.tenants = vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 5.0 }];
    cfg.goal_worst_class = 0.3;
    cfg.hedging = bits & 1 == 0;
    cfg.live_weights = bits & 2 == 0;
    cfg.proxies = if bits & 1 == 0 { 3 } else { 400 };
    cfg.cancel = bits & 4 == 0;
    cfg.zones = 1 + (bits >> 5) % 3;
    cfg.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 8 == 0 {
        cfg.discovery = Discovery::Subscribe(Micros(2_000_000));
    }
    cfg
}

/// Runs the steps and returns the actions of each as text, for the test of determinism.
fn run_steps(bits: u32, seed: u64, steps: &[Step]) -> Vec<String> {
    let mut host = Host::new(config(bits), seed);
    let mut trace = Vec::new();
    let fleet = |mask: u32| (0..8).filter(|i| mask >> i & 1 == 1).map(|i| backend(i, i % 3, i % 2)).collect();
    host.members(ListUpdate::Cached, fleet(0b0111_1011));
    for step in steps {
        match *step {
            Step::Arrive(c, remaining, t) => {
                host.arrive_for(c, remaining, t.map(TenantId));
            }
            Step::End(n, o) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.end(id, no, o);
                }
            }
            Step::Stream(n) => {
                if let Some((id, no)) = nth(&host.in_flight(), n) {
                    host.start_stream(id, no);
                }
            }
            Step::Disconnect(n) => {
                let unanswered: Vec<RequestId> =
                    host.requests.iter().filter(|(_, r)| r.answer.is_none()).map(|(id, _)| *id).collect();
                if let Some(id) = nth(&unanswered, n) {
                    host.requests.get_mut(&id).unwrap().answer = Some("disconnected");
                    host.event(Event::ClientDisconnected { request: id });
                }
            }
            Step::Advance(span) => host.advance(span),
            Step::ChangeBackend(b, state, restarted) => {
                let booted = restarted.then_some(host.now);
                host.members(
                    ListUpdate::Changes,
                    vec![Backend { state, booted, ..backend(b, b % 3, b % 2) }],
                );
            }
            Step::ReplaceList(_, ListUpdate::Lost) => host.members(ListUpdate::Lost, Vec::new()),
            Step::ReplaceList(mask, update) => host.members(update, fleet(mask)),
            Step::UnknownIds(r, a, t) => {
                host.send_unknown_ids(RequestId(1_000_000 + r), AttemptNo(a), TimerToken(t));
            }
        }
        trace.push(format!("{:?}", host.last_actions));
    }
    host.advance(3_000_000);
    let answered = |r: &common::TrackedRequest| r.answer.is_some() || r.streaming;
    assert!(host.requests.values().all(answered), "a request has no final answer");
    trace
}

/// Item `n` modulo the length of the list, if the list is not empty.
fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    list.get(n % list.len().max(1)).copied()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn invariants_hold_over_generated_events() {
    let inputs = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner(300).run(&inputs, |(bits, seed, steps)| {
        run_steps(bits, seed, &steps);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn same_events_give_same_actions() {
    let inputs = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..120));
    let run = runner(40).run(&inputs, |(bits, seed, steps)| {
        prop_assert_eq!(run_steps(bits, seed, &steps), run_steps(bits, seed, &steps));
        Ok(())
    });
    run.unwrap();
}
