//! A tier of proxies in virtual time loses processes, links and datagrams: what each holds of the others is soon true
//! again, and nothing goes back. Thousands of seeded scripts; a failing one's seed is in the message.

use gaugesaddle_membership::wire;
use gaugesaddle_proxy_simulation::tier::{
    play, started, Kind, Links, LossyPath, MembershipKind, Process, Report, Sent, Step,
};
use gaugesaddle_testbed::random::RandomStream;
use gaugesaddle_testbed::tier::{audit_tier, quantile, TierViolation};

const S: u64 = 1_000_000;
/// Random scripts, split over the threads of the test.
const SCRIPTS: u64 = 2_000;
/// After the last fault all agree within this.
const SETTLED: u64 = 3 * S;
/// A living, connected process is held dead at most so long, where datagrams pass at all.
const FALSE_DEATH: u64 = 3 * S;

fn sound(report: &Report, what: &str) {
    assert!(report.disagreements.is_empty(), "{what}: {:?}", report.disagreements);
    assert!(report.regressions.is_empty(), "{what}: {:?}", report.regressions);
    assert!(report.converged_after <= SETTLED, "{what}: settled after {} us", report.converged_after);
}

fn in_parts(places: usize, parts: usize) -> Step {
    Step::Links(Links::partitioned(places, parts))
}

fn healed() -> Step {
    Step::Links(Links::default())
}

fn moment(dice: &mut RandomStream, below: u64) -> u64 {
    dice.below(below as usize) as u64
}

/// A network fault of any kind.
fn fault(dice: &mut RandomStream, places: usize) -> Links {
    let mut links = Links::default();
    let any = |dice: &mut RandomStream| dice.below(places);
    match dice.below(8) {
        0 => {
            let parts = 2 + dice.below(2);
            links.groups = (0..places).map(|_| dice.below(parts) as u8).collect();
        }
        1 => links.one_way = (0..=any(dice)).map(|_| (any(dice), any(dice))).collect(),
        2 => links.unheard = vec![any(dice)],
        3 => links.loss = dice.uniform([0.05, 0.5]),
        4 => links.doubled = dice.uniform([0.1, 1.0]),
        5 => links.way_us = [100, 20_000],
        6 => links.poor = LossyPath::between([0, 1], 3, places, dice.uniform([0.1, 0.6]), 30_000),
        _ => (links.loss, links.doubled) = (0.1, 0.2),
    }
    links
}

/// Faults of all kinds for twelve seconds, then an end of them.
fn script(seed: u64) -> (usize, Vec<(u64, Step)>) {
    let mut dice = RandomStream::new(seed, "script");
    let places = 3 + dice.below(7);
    let mut steps = Vec::new();
    for place in 0..places {
        // Most start at once; some join late.
        let late = if dice.bernoulli(0.2) { 8 * S } else { S };
        steps.push((moment(&mut dice, late), Step::Start(place)));
    }
    for _ in 0..=dice.below(5) {
        let at = 2 * S + moment(&mut dice, 8 * S);
        let place = dice.below(places);
        match dice.below(6) {
            0 => {
                steps.push((at, Step::Kill(place)));
                if dice.bernoulli(0.7) {
                    steps.push((at + 1 + moment(&mut dice, 3 * S), Step::Start(place)));
                }
            }
            1 => {
                let long = if dice.bernoulli(0.5) { 2 * S } else { 12 * S };
                steps.push((at, Step::Suspend(place)));
                steps.push((at + S / 5 + moment(&mut dice, long), Step::Resume(place)));
            }
            2 => {
                steps.push((at, Step::Leave(place)));
                if dice.bernoulli(0.5) {
                    steps.push((at + 1 + moment(&mut dice, 2 * S), Step::Start(place)));
                }
            }
            3 if dice.bernoulli(0.2) => {
                for place in 0..places {
                    steps.push((at + moment(&mut dice, S / 2), Step::Kill(place)));
                    steps.push((at + S / 2 + moment(&mut dice, S / 2), Step::Start(place)));
                }
            }
            _ => {
                steps.push((at, Step::Links(fault(&mut dice, places))));
                steps.push((at + S / 2 + moment(&mut dice, 5 * S), healed()));
            }
        }
    }
    steps.sort_by_key(|s| s.0);
    let last = steps.last().map_or(0, |s| s.0);
    // Whoever is still stopped goes on, and the network is whole.
    let end = last + S;
    steps.push((end, healed()));
    (0..places).for_each(|p| steps.push((end, Step::Resume(p))));
    (places, steps)
}

#[test]
fn whatever_fails_together_all_agree_soon_after_and_nothing_goes_back() {
    let threads = 2;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (thread..SCRIPTS).step_by(threads as usize) {
                    let (places, steps) = script(seed);
                    let end = steps.last().expect("steps").0 + 2 * SETTLED;
                    let report = play(&MembershipKind::default(), places, &steps, end, seed);
                    sound(&report, &format!("seed {seed}, {places} processes, {steps:?}"));
                    let longest = report.longest_false_death;
                    assert!(longest <= FALSE_DEATH, "seed {seed}: held dead for {longest} us, {steps:?}");
                }
            });
        }
    });
}

/// A process whose log hides every death: it never forgets anybody.
struct NeverForgets(Box<dyn Process>, Vec<Option<u32>>);

/// One that takes whatever a datagram's header says for alive.
struct BelievesAll(Box<dyn Process>, Vec<Option<u32>>, Vec<String>);

impl Process for NeverForgets {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut Sent) {
        self.0.datagram(now, from, bytes, out);
    }
    fn run_timers(&mut self, now: u64, out: &mut Sent) {
        self.0.run_timers(now, out);
        for (place, last) in self.1.iter_mut().enumerate() {
            *last = self.0.live_boot(place).or(*last);
        }
    }
    fn wake_at(&self) -> u64 {
        self.0.wake_at()
    }
    fn leave(&mut self, now: u64, out: &mut Sent) {
        self.0.leave(now, out);
    }
    fn live_boot(&self, place: usize) -> Option<u32> {
        self.1[place]
    }
    fn log(&mut self) -> Vec<String> {
        self.0.log().into_iter().filter(|l| !l.contains(" is dead ") && !l.contains(" is left ")).collect()
    }
}

impl Process for BelievesAll {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut Sent) {
        self.0.datagram(now, from, bytes, out);
        let Ok(header) = wire::decode_header(bytes) else { return };
        let boot = header.boot.0;
        if self.1[from].replace(boot) != Some(boot) {
            self.2.push(format!("peers: {from} is alive after x, boot {boot:08x}, incarnation 0: it wrote"));
        }
    }
    fn run_timers(&mut self, now: u64, out: &mut Sent) {
        self.0.run_timers(now, out);
        for (place, seen) in self.1.iter_mut().enumerate() {
            *seen = seen.filter(|_| self.0.live_boot(place).is_some());
        }
    }
    fn wake_at(&self) -> u64 {
        self.0.wake_at()
    }
    fn leave(&mut self, now: u64, out: &mut Sent) {
        self.0.leave(now, out);
    }
    fn live_boot(&self, place: usize) -> Option<u32> {
        self.1[place].or(self.0.live_boot(place))
    }
    fn log(&mut self) -> Vec<String> {
        let mut lines = std::mem::take(&mut self.2);
        lines.extend(self.0.log());
        lines
    }
}

/// A tier in which one place's processes are at fault.
enum Faulty {
    NeverForgets,
    BelievesAll,
    OldBoot,
    None,
}

impl Kind for Faulty {
    fn start(&self, places: usize, place: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let boot = if matches!(self, Faulty::OldBoot) && place == 1 { 77 } else { boot };
        let good = MembershipKind::default().start(places, place, boot, seed, now);
        match self {
            Faulty::NeverForgets if place == 0 => Box::new(NeverForgets(good, vec![None; places])),
            Faulty::BelievesAll if place == 0 => Box::new(BelievesAll(good, vec![None; places], Vec::new())),
            _ => good,
        }
    }
}

/// The judges find what they are there to find: the one that sees all, and the one that reads logs only.
#[test]
fn both_judges_find_each_planted_fault_and_nothing_in_sound_processes() {
    let late = Links { doubled: 1.0, way_us: [100, 8000], ..Links::default() };
    let mut steps = vec![(2 * S, Step::Links(late))];
    for n in 0..15 {
        steps.push((3 * S + n * 2 * S / 5, Step::Kill(1)));
        steps.push((3 * S + n * 2 * S / 5 + 2_000, Step::Start(1)));
    }
    steps.push((9 * S, healed()));
    steps.push((12 * S, Step::Kill(2)));
    let play = |kind: Faulty| {
        let report = play(&kind, 4, &started(4, &steps), 24 * S, 3);
        let verdict = audit_tier(4, &report.facts, &report.logs, 24 * S);
        (report, verdict)
    };
    let (report, verdict) = play(Faulty::None);
    sound(&report, "sound processes");
    assert!(verdict.is_clean(), "{verdict}");
    assert!(verdict.audited_pair_s > 50.0 && verdict.death_known.len() == 16 * 3, "{verdict}");
    let (report, verdict) = play(Faulty::NeverForgets);
    assert!(!report.disagreements.is_empty() && verdict.count(TierViolation::NotForgotten) > 0, "{verdict}");
    let (report, verdict) = play(Faulty::BelievesAll);
    assert!(!report.regressions.is_empty() && verdict.count(TierViolation::WentBack) > 0, "{verdict}");
    let (_, verdict) = play(Faulty::OldBoot);
    assert!(verdict.count(TierViolation::OldBoot) > 0, "{verdict}");
}

/// What the judge of logs finds clean in random scripts is what the one that sees all does.
#[test]
fn the_judge_of_logs_calls_no_sound_tier_wrong() {
    for seed in 0..300 {
        let (places, steps) = script(seed);
        let end = steps.last().expect("steps").0 + 3 * SETTLED;
        let report = play(&MembershipKind::default(), places, &steps, end, seed);
        let verdict = audit_tier(places, &report.facts, &report.logs, end);
        assert!(verdict.is_clean(), "seed {seed}, {places} processes, {steps:?}:\n{verdict}");
    }
}

/// The hard cases at 30, each by its name; none of these takes anybody who lives and is connected for dead.
#[test]
fn thirty_hold_true_through_each_hard_case() {
    const N: usize = 30;
    let calm = |what: &str, rest: &[(u64, Step)], end: u64| {
        let report = play(&MembershipKind::default(), N, &started(N, rest), end, 5);
        sound(&report, what);
        assert_eq!(report.false_deaths, 0, "{what}: held dead for {} us", report.longest_false_death);
        report
    };
    let half: Vec<_> = (0..N / 2).map(|p| (5 * S, Step::Kill(p))).collect();
    let report = calm("half killed", &half, 12 * S);
    assert_eq!(report.death_known.len(), N / 2 * N / 2);
    assert!(quantile(&report.death_known, 0.95) <= 3 * S && quantile(&report.death_known, 1.0) <= 6 * S);

    for parts in [2, 3] {
        let report = calm("parts", &[(5 * S, in_parts(N, parts)), (15 * S, healed())], 20 * S);
        assert!(report.converged_after < S, "{} us to agree after a heal", report.converged_after);
    }
    let one_way = Links { one_way: vec![(0, 1), (2, 1), (3, 4)], ..Links::default() };
    calm("one way", &[(5 * S, Step::Links(one_way)), (15 * S, healed())], 20 * S);
    let loss = Links { loss: 0.5, ..Links::default() };
    let report = calm(
        "half of all lost",
        &[(5 * S, Step::Links(loss)), (12 * S, Step::Kill(3)), (20 * S, healed())],
        25 * S,
    );
    assert_eq!(report.death_known.len(), N - 1, "a death is known through the loss");
    let unheard = Links { unheard: vec![1], ..Links::default() };
    calm("heard by none", &[(5 * S, Step::Links(unheard)), (20 * S, healed())], 25 * S);
    calm("stopped for 30 s", &[(5 * S, Step::Suspend(1)), (35 * S, Step::Resume(1))], 40 * S);
    calm("starved for a second", &[(5 * S, Step::Suspend(1)), (6 * S, Step::Resume(1))], 10 * S);

    let again = |p: usize| [(5 * S, Step::Kill(p)), (5 * S + 1 + p as u64 * S / 40, Step::Start(p))];
    let mut restart: Vec<_> = (0..N).flat_map(again).collect();
    restart.sort_by_key(|s| s.0);
    calm("all restart within a second", &restart, 12 * S);
}

#[test]
fn thirty_of_three_hundred_told_know_one_another_and_the_rest_costs_little() {
    let start: Vec<_> = (0..30).map(|p| (p as u64 * S / 30, Step::Start(p * 10))).collect();
    let report = play(&MembershipKind::default(), 300, &start, 12 * S, 5);
    sound(&report, "30 of 300 told");
    assert_eq!(report.start_known.len(), 30 * 29 / 2, "each is met by those before it");
    assert!(report.sent.iter().all(|s| s.1 < 12 * 16_000), "{:?}", report.sent);
}

#[test]
fn three_grow_to_thirty_while_one_is_cut_off() {
    let lone = Links { groups: (0..30).map(|p| u8::from(p == 2)).collect(), ..Links::default() };
    let mut steps: Vec<_> = (0..3).map(|p| (0, Step::Start(p))).collect();
    steps.push((3 * S, Step::Links(lone)));
    steps.extend((3..30).map(|p| (4 * S + p as u64 * S / 10, Step::Start(p))));
    steps.push((12 * S, healed()));
    sound(&play(&MembershipKind::default(), 30, &steps, 18 * S, 5), "3 grow to 30");
}

/// Deaths at 300, and what each proxy sends when nothing happens: the difference of two plays.
#[test]
fn three_hundred_learn_of_deaths_in_time_and_send_less_than_16_kb_a_second() {
    const N: usize = 300;
    let end = |s: u64| play(&MembershipKind::default(), N, &started(N, &[]), s * S, 5);
    let (early, late) = std::thread::scope(|scope| {
        let early = scope.spawn(|| end(6));
        (early.join().expect("plays"), end(10))
    });
    sound(&late, "300 at peace");
    for (place, (before, after)) in early.sent.iter().zip(&late.sent).enumerate() {
        let (datagrams, bytes) = ((after.0 - before.0) / 4, (after.1 - before.1) / 4);
        assert!(
            bytes < 16_000 && datagrams < 250,
            "{place} sends {datagrams} datagrams, {bytes} bytes a second"
        );
    }
    let kills: Vec<_> = (0..20).map(|p| (6 * S + p * S / 20, Step::Kill(p as usize * 15))).collect();
    let report = play(&MembershipKind::default(), N, &started(N, &kills), 11 * S, 5);
    sound(&report, "300, twenty of them killed");
    assert_eq!(report.false_deaths, 0);
    let (most, worst) = (quantile(&report.death_known, 0.95), quantile(&report.death_known, 1.0));
    assert!(most <= 3 * S && worst <= 6 * S, "known after {most} us (95%), {worst} us (all)");
}
