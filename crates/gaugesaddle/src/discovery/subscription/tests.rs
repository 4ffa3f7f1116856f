//! Unresponsive, refusing, resetting and slow agents and changes of the address in any order, in virtual time: the
//! proxy has the agent's list within the stated fraction of the grace period, and sends no needless calls.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

const GRACE: Micros = Micros(500_000);
const MS: u64 = 1_000;

/// The behaviour of the agent from some moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answering,
    /// Loses pending calls and new ones.
    Unresponsive,
    Refusing,
    /// Resets the connections of pending calls; answers again at once.
    Resetting,
    /// Answers with this delay in ms, for lack of processor time.
    Slow(u64),
    /// Another address (SIGHUP), with independent versions.
    AddressChanged,
}

fn any_behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        3 => Just(Behaviour::Answering),
        3 => Just(Behaviour::Unresponsive),
        1 => Just(Behaviour::Refusing),
        1 => Just(Behaviour::Resetting),
        1 => (50u64..900).prop_map(Behaviour::Slow),
        1 => Just(Behaviour::AddressChanged),
    ]
}

/// A call that the agent has not answered yet.
struct PendingAtAgent {
    call: Call,
    received_at: u64,
    lost: bool,
}

/// An agent and a proxy's subscription to it, in steps of a millisecond.
struct Fixture {
    subscription: Subscription,
    behaviour: Behaviour,
    version: u64,
    /// The time from which the agent has the version.
    version_since: u64,
    received_version: u64,
    calls: Vec<PendingAtAgent>,
    call_count: usize,
}

impl Fixture {
    fn new(subscription: Subscription) -> Fixture {
        Fixture {
            subscription,
            behaviour: Behaviour::Answering,
            version: 1,
            version_since: 0,
            received_version: 0,
            calls: Vec::new(),
            call_count: 0,
        }
    }

    fn set_behaviour(&mut self, now: u64, behaviour: Behaviour) {
        match behaviour {
            Behaviour::Unresponsive => self.calls.iter_mut().for_each(|c| c.lost = true),
            Behaviour::Resetting => self.fail_all(now),
            Behaviour::AddressChanged => {
                self.subscription.change_address(Time(now * MS));
                self.calls.clear();
                (self.version, self.received_version) = (self.version / 2 + 1, 0);
            }
            _ => {}
        }
        self.behaviour = if matches!(behaviour, Behaviour::Resetting | Behaviour::AddressChanged) {
            Behaviour::Answering
        } else {
            behaviour
        };
        // The agent has a new version from this moment on, also if it was unresponsive before.
        (self.version, self.version_since) = (self.version + 1, now);
    }

    fn fail_all(&mut self, now: u64) {
        for call in std::mem::take(&mut self.calls) {
            self.subscription.failed(Time(now * MS), call.call.number, Failure::Broken);
        }
    }

    fn advance_1_ms(&mut self, now: u64) {
        let delay = match self.behaviour {
            Behaviour::Unresponsive => None,
            Behaviour::Slow(delay) => Some(delay),
            _ => Some(1),
        };
        if self.behaviour == Behaviour::Refusing {
            self.fail_all(now);
        }
        let version = self.version;
        let due = |c: &PendingAtAgent| {
            let ready = match c.call.after {
                Some(after) if after >= version => c.received_at + c.call.wait.0 / MS,
                _ => c.received_at,
            };
            !c.lost && delay.is_some_and(|delay| now >= ready + delay)
        };
        while let Some(at) = self.calls.iter().position(due) {
            let call = self.calls.remove(at);
            let (is_full, has_changes) = (call.call.after.is_none(), call.call.after != Some(version));
            let status =
                self.subscription.answered(Time(now * MS), call.call.number, version, is_full, has_changes);
            if status == AnswerStatus::Valid {
                self.received_version = version;
            }
        }
        loop {
            match self.subscription.step(Time(now * MS)) {
                Step::Call(call) => {
                    self.call_count += 1;
                    self.calls.push(PendingAtAgent {
                        call,
                        received_at: now,
                        lost: self.behaviour == Behaviour::Unresponsive,
                    });
                }
                Step::Abandon(number) => self.calls.retain(|c| c.call.number != number),
                Step::Wait(until) => {
                    assert!(until > Time(now * MS), "expected a wait that ends after {now} ms");
                    break;
                }
            }
        }
        assert!(self.calls.len() <= MAX_PENDING, "{} pending calls", self.calls.len());
    }
}

/// Maximum time after which the proxy has the agent's version, in ms: the wait of a call that the agent lost, the time
/// until it is late, and the minimum interval of calls.
const MAX_INFORMED_DELAY_MS: u64 = 200 + 100 + 10;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn list_of_an_answering_agent_arrives_within_the_bound(
        behaviours in proptest::collection::vec((1u64..2_500, any_behaviour()), 1..30),
    ) {
        let mut fixture = Fixture::new(Subscription::pushed(GRACE, Some(1)));
        let mut now = 0;
        for (duration_ms, behaviour) in behaviours {
            fixture.set_behaviour(now, behaviour);
            for _ in 0..duration_ms {
                fixture.advance_1_ms(now);
                if fixture.behaviour == Behaviour::Answering
                    && now >= fixture.version_since + MAX_INFORMED_DELAY_MS
                {
                    prop_assert_eq!(
                        fixture.received_version, fixture.version,
                        "at {} ms, available since {} ms", now, fixture.version_since
                    );
                }
                now += 1;
            }
        }
        // At most one call per minimum interval (10 ms), and one concurrent call.
        prop_assert!(fixture.call_count as u64 <= now / 10 + 2, "{} calls in {now} ms", fixture.call_count);
    }

    /// An answer that is later than the call's time limit is still used.
    #[test]
    fn answer_of_a_slow_agent_is_accepted(delay_ms in 100u64..4_500) {
        let mut fixture = Fixture::new(Subscription::pushed(GRACE, None));
        fixture.set_behaviour(0, Behaviour::Slow(delay_ms));
        (0..10_000).for_each(|now| fixture.advance_1_ms(now));
        prop_assert_eq!(fixture.received_version, fixture.version, "answers delayed by {} ms", delay_ms);
    }

    /// The waits leave a fifth of any grace period for the balancer's tick.
    #[test]
    fn sum_of_the_waits_stays_below_the_grace_period(grace in 50_000u64..60_000_000) {
        let times = Times::pushed(Micros(grace));
        prop_assert!(times.wait.0 + 2 * times.lateness.0 <= grace * 8 / 10);
        // A lost call is detected, and another one answered, before the proxy counts as informed.
        prop_assert!(times.wait.0 + 2 * times.lateness.0 < 6_000_000 - 500_000);
    }

    /// Where all proxies call one service, one call is pending at a time, and after a lost call the next one
    /// is sent before the proxy counts as informed.
    #[test]
    fn polled_service_has_one_call_at_a_time_and_is_called_again_in_time(
        proxies in 1u32..400, seed in 0u64..1_000, unresponsive_at in 0u64..60_000,
    ) {
        let schedule = CallSchedule::new(proxies, Duration::from_secs(10), seed);
        let mut fixture = Fixture::new(Subscription::polled(schedule, Some(1)));
        fixture.subscription.request_updates(Time(0));
        let (mut wait_ends_at, mut requested_at) = (None, None);
        for now in 0..120_000 {
            if now == unresponsive_at {
                fixture.set_behaviour(now, Behaviour::Unresponsive);
                wait_ends_at = fixture.calls.first().map(|c| c.received_at + c.call.wait.0 / MS);
            }
            let previous_calls = fixture.call_count;
            fixture.advance_1_ms(now);
            prop_assert!(fixture.calls.len() <= 1);
            if fixture.subscription.take_lost() {
                requested_at = Some(now + 150); // the balancer's longest delay after its first lost subscription
            }
            if requested_at == Some(now) {
                fixture.subscription.request_updates(Time(now * MS));
            }
            if let Some(over) = wait_ends_at {
                if fixture.call_count > previous_calls {
                    prop_assert!(now >= over && now <= over + 2_000, "called at {now} ms, the wait ended at {over} ms");
                    break;
                }
                prop_assert!(now < over + 2_000, "no call at {now} ms, the wait ended at {over} ms");
            }
        }
    }
}

/// An agent that answers at once without changes, although the call allows a wait, must not be called in a loop.
#[test]
fn agent_that_answers_early_is_called_at_a_limited_rate() {
    let mut subscription = Subscription::pushed(GRACE, Some(3));
    let mut calls = 0;
    for now in 0..1_000 {
        while let Step::Call(call) = subscription.step(Time(now * MS)) {
            calls += 1;
            subscription.answered(Time(now * MS), call.number, 3, false, false);
        }
    }
    assert_eq!(calls, 10, "calls in 1 s, expected one per fifth of the grace period");
}

/// A version older than the requested one comes from a restarted discovery: its changes do not apply to the proxy's
/// list, and the full list is requested.
#[test]
fn changes_of_an_older_version_are_rejected() {
    let mut subscription = Subscription::pushed(GRACE, Some(41));
    let Step::Call(call) = subscription.step(Time(0)) else { panic!("expected a call") };
    assert_eq!(call.after, Some(41));
    assert_eq!(subscription.answered(Time(1), call.number, 5, false, true), AnswerStatus::OutOfSync);
    let Step::Wait(until) = subscription.step(Time(1)) else { panic!("expected a wait") };
    let Step::Call(call) = subscription.step(until) else { panic!("expected a call") };
    assert_eq!((call.after, call.wait), (None, Micros(0)), "expected a request for the full list");
    assert_eq!(subscription.answered(until, call.number, 5, true, true), AnswerStatus::Valid);
    let Step::Call(call) = subscription.step(until + Micros(MS * 100)) else { panic!("expected a call") };
    assert_eq!(call.after, Some(5));
}

/// The first answer of any pending call applies; answers of the other calls are ignored.
#[test]
fn first_answer_abandons_all_other_calls() {
    let mut subscription = Subscription::pushed(GRACE, Some(1));
    let mut calls = Vec::new();
    let mut now = 0;
    while calls.len() < 3 {
        match subscription.step(Time(now)) {
            Step::Call(call) => calls.push(call),
            Step::Wait(until) => now = until.0,
            Step::Abandon(number) => panic!("call {number} was abandoned before an answer"),
        }
    }
    assert!(subscription.unanswered() > 0);
    assert_eq!(subscription.answered(Time(now), calls[1].number, 9, true, true), AnswerStatus::Valid);
    assert_eq!(subscription.unanswered(), 0);
    let abandoned: Vec<Step> = (0..2).map(|_| subscription.step(Time(now))).collect();
    assert!(
        abandoned.contains(&Step::Abandon(calls[0].number))
            && abandoned.contains(&Step::Abandon(calls[2].number))
    );
    assert_eq!(subscription.answered(Time(now), calls[2].number, 8, true, true), AnswerStatus::Abandoned);
}
