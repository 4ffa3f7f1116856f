//! Silence, refusals, resets, slow answers and moves in any order, in virtual time: what the agent has is known to the
//! proxy within the stated part of the grace, and no call is made without need.

use super::*;
use proptest::prelude::*;
use std::time::Duration;

const GRACE: Micros = Micros(500_000);
const MS: u64 = 1_000;

/// What the agent does from some moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Speaks,
    /// Swallows what is out and what comes.
    Silent,
    Refuses,
    /// Breaks what is out; speaks again at once.
    Resets,
    /// The answers of one that is short of processor time.
    Slow(u64),
    /// SIGHUP: another address, with versions of its own.
    Moved,
}

fn mood() -> impl Strategy<Value = Mood> {
    prop_oneof![
        3 => Just(Mood::Speaks),
        3 => Just(Mood::Silent),
        1 => Just(Mood::Refuses),
        1 => Just(Mood::Resets),
        1 => (50u64..900).prop_map(Mood::Slow),
        1 => Just(Mood::Moved),
    ]
}

/// A call that is out at the agent.
struct Held {
    ask: Call,
    came: u64,
    swallowed: bool,
}

/// An agent and a proxy's watch on it, millisecond by millisecond.
struct World {
    renewal: Subscription,
    mood: Mood,
    version: u64,
    /// When the version came to be told.
    told: u64,
    heard: u64,
    calls: Vec<Held>,
    made: usize,
}

impl World {
    fn new(renewal: Subscription) -> World {
        World { renewal, mood: Mood::Speaks, version: 1, told: 0, heard: 0, calls: Vec::new(), made: 0 }
    }

    fn turn(&mut self, now: u64, mood: Mood) {
        match mood {
            Mood::Silent => self.calls.iter_mut().for_each(|c| c.swallowed = true),
            Mood::Resets => self.fail_all(now),
            Mood::Moved => {
                self.renewal.change_address(Time(now * MS));
                self.calls.clear();
                (self.version, self.heard) = (self.version / 2 + 1, 0);
            }
            _ => {}
        }
        self.mood = if matches!(mood, Mood::Resets | Mood::Moved) { Mood::Speaks } else { mood };
        // The agent has it at its return, whatever became of it meanwhile.
        (self.version, self.told) = (self.version + 1, now);
    }

    fn fail_all(&mut self, now: u64) {
        for call in std::mem::take(&mut self.calls) {
            self.renewal.failed(Time(now * MS), call.ask.number, Failure::Broken);
        }
    }

    fn millisecond(&mut self, now: u64) {
        let late = match self.mood {
            Mood::Silent => None,
            Mood::Slow(late) => Some(late),
            _ => Some(1),
        };
        if self.mood == Mood::Refuses {
            self.fail_all(now);
        }
        let version = self.version;
        let due = |c: &Held| {
            let ready = match c.ask.after {
                Some(after) if after >= version => c.came + c.ask.wait.0 / MS,
                _ => c.came,
            };
            !c.swallowed && late.is_some_and(|late| now >= ready + late)
        };
        while let Some(at) = self.calls.iter().position(due) {
            let call = self.calls.remove(at);
            let (whole, news) = (call.ask.after.is_none(), call.ask.after != Some(version));
            let heard = self.renewal.answered(Time(now * MS), call.ask.number, version, whole, news);
            if heard == AnswerStatus::Valid {
                self.heard = version;
            }
        }
        loop {
            match self.renewal.step(Time(now * MS)) {
                Step::Call(ask) => {
                    self.made += 1;
                    self.calls.push(Held { ask, came: now, swallowed: self.mood == Mood::Silent });
                }
                Step::Abandon(number) => self.calls.retain(|c| c.ask.number != number),
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
const BOUND: u64 = 200 + 100 + 10;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn what_a_speaking_agent_has_is_known_in_time(
        moods in proptest::collection::vec((1u64..2_500, mood()), 1..30),
    ) {
        let mut world = World::new(Subscription::pushed(GRACE, Some(1)));
        let mut now = 0;
        for (lasts, mood) in moods {
            world.turn(now, mood);
            for _ in 0..lasts {
                world.millisecond(now);
                if world.mood == Mood::Speaks && now >= world.told + BOUND {
                    prop_assert_eq!(world.heard, world.version, "at {} ms, told at {}", now, world.told);
                }
                now += 1;
            }
        }
        // No more than one call in the least time between two, and one beside it.
        prop_assert!(world.made as u64 <= now / 10 + 2, "{} calls in {now} ms", world.made);
    }

    /// An agent that is slower than a call's answer may be is heard all the same.
    #[test]
    fn a_slow_agent_is_heard(late in 100u64..4_500) {
        let mut world = World::new(Subscription::pushed(GRACE, None));
        world.turn(0, Mood::Slow(late));
        (0..10_000).for_each(|now| world.millisecond(now));
        prop_assert_eq!(world.heard, world.version, "{} ms late", late);
    }

    /// Whatever grace is told, its parts leave room for the module's turn.
    #[test]
    fn all_waits_together_stay_below_the_grace(grace in 50_000u64..60_000_000) {
        let times = Times::pushed(Micros(grace));
        prop_assert!(times.wait.0 + 2 * times.answer.0 <= grace * 8 / 10);
        // A silent watch is known to be broken, and another answered, before it counts as told.
        prop_assert!(times.wait.0 + 2 * times.answer.0 < 6_000_000 - 500_000);
    }

    /// Where all proxies ask one service: one call at a time, and after a silence another before that counts as told.
    #[test]
    fn an_asked_service_is_called_again_in_time_and_one_call_at_a_time(
        proxies in 1u32..400, seed in 0u64..1_000, silent_at in 0u64..60_000,
    ) {
        let pacing = CallSchedule::new(proxies, Duration::from_secs(10), seed);
        let mut world = World::new(Subscription::polled(pacing, Some(1)));
        world.renewal.request_updates(Time(0));
        let (mut wait_over, mut ordered) = (None, None);
        for now in 0..120_000 {
            if now == silent_at {
                world.turn(now, Mood::Silent);
                wait_over = world.calls.first().map(|c| c.came + c.ask.wait.0 / MS);
            }
            let made = world.made;
            world.millisecond(now);
            prop_assert!(world.calls.len() <= 1);
            if world.renewal.take_lost() {
                ordered = Some(now + 150); // the module's longest wait after its first loss
            }
            if ordered == Some(now) {
                world.renewal.request_updates(Time(now * MS));
            }
            if let Some(over) = wait_over {
                if world.made > made {
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
fn an_agent_that_never_waits_is_called_in_measure() {
    let mut renewal = Subscription::pushed(GRACE, Some(3));
    let mut calls = 0;
    for now in 0..1_000 {
        while let Step::Call(ask) = renewal.step(Time(now * MS)) {
            calls += 1;
            renewal.answered(Time(now * MS), ask.number, 3, false, false);
        }
    }
    assert_eq!(calls, 10, "one each fifth of the grace");
}

/// A version that is behind the one asked for is of another count: its changes are not for the list held.
#[test]
fn changes_of_another_count_are_not_taken_up() {
    let mut renewal = Subscription::pushed(GRACE, Some(41));
    let Step::Call(ask) = renewal.step(Time(0)) else { panic!("a call") };
    assert_eq!(ask.after, Some(41));
    assert_eq!(renewal.answered(Time(1), ask.number, 5, false, true), AnswerStatus::OutOfSync);
    let Step::Wait(until) = renewal.step(Time(1)) else { panic!("a pause") };
    let Step::Call(ask) = renewal.step(until) else { panic!("a call") };
    assert_eq!((ask.after, ask.wait), (None, Micros(0)), "the whole list");
    assert_eq!(renewal.answered(until, ask.number, 5, true, true), AnswerStatus::Valid);
    let Step::Call(ask) = renewal.step(until + Micros(MS * 100)) else { panic!("a call") };
    assert_eq!(ask.after, Some(5));
}

/// The first answer is taken, from whichever call; what the others bring is none.
#[test]
fn one_answer_ends_all_calls() {
    let mut renewal = Subscription::pushed(GRACE, Some(1));
    let mut out = Vec::new();
    let mut now = 0;
    while out.len() < 3 {
        match renewal.step(Time(now)) {
            Step::Call(ask) => out.push(ask),
            Step::Wait(until) => now = until.0,
            Step::Abandon(number) => panic!("dropped {number}"),
        }
    }
    assert!(renewal.unanswered() > 0);
    assert_eq!(renewal.answered(Time(now), out[1].number, 9, true, true), AnswerStatus::Valid);
    assert_eq!(renewal.unanswered(), 0);
    let dropped: Vec<Step> = (0..2).map(|_| renewal.step(Time(now))).collect();
    assert!(
        dropped.contains(&Step::Abandon(out[0].number)) && dropped.contains(&Step::Abandon(out[2].number))
    );
    assert_eq!(renewal.answered(Time(now), out[2].number, 8, true, true), AnswerStatus::Abandoned);
}
