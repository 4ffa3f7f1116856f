//! Silence, refusals, resets, slow answers and moves in any order, in virtual time: what the agent has is known to the
//! proxy within the stated part of the grace, and no call is made without need.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

const GRACE: Micros = Micros(500_000);
const MS: u64 = 1_000;

/// What the agent does from some moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Answering,
    /// Swallows what is out and what comes.
    Unresponsive,
    Refusing,
    /// Breaks what is out; speaks again at once.
    Resetting,
    /// The answers of one that is short of processor time.
    Slow(u64),
    /// SIGHUP: another address, with versions of its own.
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

/// A call that is out at the agent.
struct PendingAtAgent {
    call: Call,
    received_at: u64,
    lost: bool,
}

/// An agent and a proxy's watch on it, millisecond by millisecond.
struct Fixture {
    subscription: Subscription,
    behaviour: Behaviour,
    version: u64,
    /// When the version became available.
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
        // The agent has it at its return, whatever became of it meanwhile.
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
                    assert!(until > Time(now * MS), "a wait that is over");
                    break;
                }
            }
        }
        assert!(self.calls.len() <= MAX_PENDING, "{} calls are out", self.calls.len());
    }
}

/// A silence that begins with a call and ends unseen, and the call after it: what the page of the drains states.
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
                        "at {} ms, told at {}", now, fixture.version_since
                    );
                }
                now += 1;
            }
        }
        // No more than one call in the least time between two, and one beside it.
        prop_assert!(fixture.call_count as u64 <= now / 10 + 2, "{} calls in {now} ms", fixture.call_count);
    }

    /// An agent that is slower than a call's answer may be is heard all the same.
    #[test]
    fn answer_of_a_slow_agent_is_accepted(delay_ms in 100u64..4_500) {
        let mut fixture = Fixture::new(Subscription::pushed(GRACE, None));
        fixture.set_behaviour(0, Behaviour::Slow(delay_ms));
        (0..10_000).for_each(|now| fixture.advance_1_ms(now));
        prop_assert_eq!(fixture.received_version, fixture.version, "answers delayed by {} ms", delay_ms);
    }

    /// Whatever grace is told, its parts leave room for the module's turn.
    #[test]
    fn sum_of_the_waits_stays_below_the_grace_period(grace in 50_000u64..60_000_000) {
        let times = Times::pushed(Micros(grace));
        prop_assert!(times.wait.0 + 2 * times.lateness.0 <= grace * 8 / 10);
        // A silent watch is known to be broken, and another answered, before it counts as told.
        prop_assert!(times.wait.0 + 2 * times.lateness.0 < 6_000_000 - 500_000);
    }

    /// Where all proxies ask one service: one call at a time, and after a silence another before that counts as told.
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
                requested_at = Some(now + 150); // the module's longest wait after its first loss
            }
            if requested_at == Some(now) {
                fixture.subscription.request_updates(Time(now * MS));
            }
            if let Some(over) = wait_ends_at {
                if fixture.call_count > previous_calls {
                    prop_assert!(now >= over && now <= over + 2_000, "called at {now}, the wait was over at {over}");
                    break;
                }
                prop_assert!(now < over + 2_000, "no call, the wait was over at {over}");
            }
        }
    }
}

/// An agent that answers at once though it is to wait, with nothing, is not called without end.
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
    assert_eq!(calls, 10, "one each fifth of the grace");
}

/// A version that is behind the one asked for is of another count: its changes are not for the list held.
#[test]
fn changes_of_an_older_version_are_rejected() {
    let mut subscription = Subscription::pushed(GRACE, Some(41));
    let Step::Call(call) = subscription.step(Time(0)) else { panic!("a call") };
    assert_eq!(call.after, Some(41));
    assert_eq!(subscription.answered(Time(1), call.number, 5, false, true), AnswerStatus::OutOfSync);
    let Step::Wait(until) = subscription.step(Time(1)) else { panic!("a pause") };
    let Step::Call(call) = subscription.step(until) else { panic!("a call") };
    assert_eq!((call.after, call.wait), (None, Micros(0)), "the whole list");
    assert_eq!(subscription.answered(until, call.number, 5, true, true), AnswerStatus::Valid);
    let Step::Call(call) = subscription.step(until + Micros(MS * 100)) else { panic!("a call") };
    assert_eq!(call.after, Some(5));
}

/// The first answer is taken, from whichever call; what the others bring is none.
#[test]
fn first_answer_abandons_all_other_calls() {
    let mut subscription = Subscription::pushed(GRACE, Some(1));
    let mut calls = Vec::new();
    let mut now = 0;
    while calls.len() < 3 {
        match subscription.step(Time(now)) {
            Step::Call(call) => calls.push(call),
            Step::Wait(until) => now = until.0,
            Step::Abandon(number) => panic!("dropped {number}"),
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
