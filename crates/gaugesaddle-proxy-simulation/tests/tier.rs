//! Guards against views of the tier that do not converge or that regress after processes, links and datagrams are lost.
//! Runs thousands of seeded scripts; the message of a failure contains the seed.

use gaugesaddle_membership::wire;
use gaugesaddle_proxy_simulation::tier::{
    play, script_with_starts, Links, LossyPath, MembershipFactory, OutgoingDatagrams, Process,
    ProcessFactory, Report, Step,
};
use gaugesaddle_testbed::random::RandomStream;
use gaugesaddle_testbed::tier::{audit_tier, quantile, TierViolation};

const S: u64 = 1_000_000;
/// Number of random scripts, split over the threads of the test.
const SCRIPT_COUNT: u64 = 2_000;
/// Maximum time after the last fault until all processes agree, in microseconds.
const MAX_CONVERGENCE_US: u64 = 3 * S;
/// Maximum time for which a live, connected process is considered dead, in microseconds, unless all its datagrams are
/// lost.
const MAX_FALSE_DEATH_US: u64 = 3 * S;

fn assert_converged(report: &Report, case: &str) {
    assert!(report.disagreements.is_empty(), "{case}: {:?}", report.disagreements);
    assert!(report.regressions.is_empty(), "{case}: {:?}", report.regressions);
    assert!(
        report.converged_after <= MAX_CONVERGENCE_US,
        "{case}: converged after {} us",
        report.converged_after
    );
}

fn partition_into(members: usize, parts: usize) -> Step {
    Step::Links(Links::partitioned(members, parts))
}

fn heal_network() -> Step {
    Step::Links(Links::default())
}

fn random_time(rng: &mut RandomStream, below: u64) -> u64 {
    rng.below(below as usize) as u64
}

/// Draws a network fault.
fn random_fault(rng: &mut RandomStream, members: usize) -> Links {
    let mut links = Links::default();
    let any_index = |rng: &mut RandomStream| rng.below(members);
    match rng.below(8) {
        0 => {
            let parts = 2 + rng.below(2);
            links.groups = (0..members).map(|_| rng.below(parts) as u8).collect();
        }
        1 => links.one_way = (0..=any_index(rng)).map(|_| (any_index(rng), any_index(rng))).collect(),
        2 => links.unheard = vec![any_index(rng)],
        3 => links.loss = rng.uniform([0.05, 0.5]),
        4 => links.doubled = rng.uniform([0.1, 1.0]),
        5 => links.way_us = [100, 20_000],
        6 => links.poor = LossyPath::between([0, 1], 3, members, rng.uniform([0.1, 0.6]), 30_000),
        _ => (links.loss, links.doubled) = (0.1, 0.2),
    }
    links
}

/// Draws a script of faults of all kinds, followed by a step that ends them all.
fn random_script(seed: u64) -> (usize, Vec<(u64, Step)>) {
    let mut rng = RandomStream::new(seed, "script");
    let members = 3 + rng.below(7);
    let mut steps = Vec::new();
    for index in 0..members {
        // Most processes start within the first second; some join late.
        let late = if rng.bernoulli(0.2) { 8 * S } else { S };
        steps.push((random_time(&mut rng, late), Step::Start(index)));
    }
    for _ in 0..=rng.below(5) {
        let at = 2 * S + random_time(&mut rng, 8 * S);
        let index = rng.below(members);
        match rng.below(6) {
            0 => {
                steps.push((at, Step::Kill(index)));
                if rng.bernoulli(0.7) {
                    steps.push((at + 1 + random_time(&mut rng, 3 * S), Step::Start(index)));
                }
            }
            1 => {
                let max_suspension = if rng.bernoulli(0.5) { 2 * S } else { 12 * S };
                steps.push((at, Step::Suspend(index)));
                steps.push((at + S / 5 + random_time(&mut rng, max_suspension), Step::Resume(index)));
            }
            2 => {
                steps.push((at, Step::Leave(index)));
                if rng.bernoulli(0.5) {
                    steps.push((at + 1 + random_time(&mut rng, 2 * S), Step::Start(index)));
                }
            }
            3 if rng.bernoulli(0.2) => {
                for index in 0..members {
                    steps.push((at + random_time(&mut rng, S / 2), Step::Kill(index)));
                    steps.push((at + S / 2 + random_time(&mut rng, S / 2), Step::Start(index)));
                }
            }
            _ => {
                steps.push((at, Step::Links(random_fault(&mut rng, members))));
                steps.push((at + S / 2 + random_time(&mut rng, 5 * S), heal_network()));
            }
        }
    }
    steps.sort_by_key(|s| s.0);
    let last = steps.last().map_or(0, |s| s.0);
    // Suspended processes resume and the network is restored.
    let end = last + S;
    steps.push((end, heal_network()));
    (0..members).for_each(|p| steps.push((end, Step::Resume(p))));
    (members, steps)
}

#[test]
fn processes_agree_soon_after_any_combination_of_faults() {
    let threads = 2;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for seed in (thread..SCRIPT_COUNT).step_by(threads as usize) {
                    let (members, steps) = random_script(seed);
                    let end = steps.last().expect("steps").0 + 2 * MAX_CONVERGENCE_US;
                    let report = play(&MembershipFactory::default(), members, &steps, end, seed);
                    assert_converged(&report, &format!("seed {seed}, {members} processes, {steps:?}"));
                    let longest = report.longest_false_death;
                    assert!(
                        longest <= MAX_FALSE_DEATH_US,
                        "seed {seed}: considered dead for {longest} us, {steps:?}"
                    );
                }
            });
        }
    });
}

/// A faulty process that considers every process alive that was alive once, and omits deaths from its log.
struct RetainsDead(Box<dyn Process>, Vec<Option<u32>>);

/// A faulty process that considers the sender in the header of any datagram alive.
struct TrustsAll(Box<dyn Process>, Vec<Option<u32>>, Vec<String>);

impl Process for RetainsDead {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut OutgoingDatagrams) {
        self.0.datagram(now, from, bytes, out);
    }
    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        self.0.run_timers(now, out);
        for (index, last) in self.1.iter_mut().enumerate() {
            *last = self.0.live_boot(index).or(*last);
        }
    }
    fn wake_at(&self) -> u64 {
        self.0.wake_at()
    }
    fn leave(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        self.0.leave(now, out);
    }
    fn live_boot(&self, index: usize) -> Option<u32> {
        self.1[index]
    }
    fn log(&mut self) -> Vec<String> {
        self.0.log().into_iter().filter(|l| !l.contains(" is dead ") && !l.contains(" is left ")).collect()
    }
}

impl Process for TrustsAll {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut OutgoingDatagrams) {
        self.0.datagram(now, from, bytes, out);
        let Ok(header) = wire::decode_header(bytes) else { return };
        let boot = header.boot.0;
        if self.1[from].replace(boot) != Some(boot) {
            self.2.push(format!("peers: {from} is alive after x, boot {boot:08x}, incarnation 0: it wrote"));
        }
    }
    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        self.0.run_timers(now, out);
        for (index, seen) in self.1.iter_mut().enumerate() {
            *seen = seen.filter(|_| self.0.live_boot(index).is_some());
        }
    }
    fn wake_at(&self) -> u64 {
        self.0.wake_at()
    }
    fn leave(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        self.0.leave(now, out);
    }
    fn live_boot(&self, index: usize) -> Option<u32> {
        self.1[index].or(self.0.live_boot(index))
    }
    fn log(&mut self) -> Vec<String> {
        let mut lines = std::mem::take(&mut self.2);
        lines.extend(self.0.log());
        lines
    }
}

/// Starts processes of which those at one index are faulty.
enum Faulty {
    RetainsDead,
    TrustsAll,
    OldBoot,
    None,
}

impl ProcessFactory for Faulty {
    fn start(&self, members: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let boot = if matches!(self, Faulty::OldBoot) && index == 1 { 77 } else { boot };
        let inner = MembershipFactory::default().start(members, index, boot, seed, now);
        match self {
            Faulty::RetainsDead if index == 0 => Box::new(RetainsDead(inner, vec![None; members])),
            Faulty::TrustsAll if index == 0 => Box::new(TrustsAll(inner, vec![None; members], Vec::new())),
            _ => inner,
        }
    }
}

/// Guards against a check that detects nothing: both the comparison with the actual state and the audit of the logs
/// must find each injected fault.
#[test]
fn observation_and_log_audit_find_each_injected_fault_and_none_in_correct_processes() {
    let late = Links { doubled: 1.0, way_us: [100, 8000], ..Links::default() };
    let mut steps = vec![(2 * S, Step::Links(late))];
    for n in 0..15 {
        steps.push((3 * S + n * 2 * S / 5, Step::Kill(1)));
        steps.push((3 * S + n * 2 * S / 5 + 2_000, Step::Start(1)));
    }
    steps.push((9 * S, heal_network()));
    steps.push((12 * S, Step::Kill(2)));
    let play = |kind: Faulty| {
        let report = play(&kind, 4, &script_with_starts(4, &steps), 24 * S, 3);
        let verdict = audit_tier(4, &report.tier_events, &report.logs, 24 * S);
        (report, verdict)
    };
    let (report, verdict) = play(Faulty::None);
    assert_converged(&report, "correct processes");
    assert!(verdict.is_clean(), "{verdict}");
    assert!(verdict.audited_pair_s > 50.0 && verdict.death_known.len() == 16 * 3, "{verdict}");
    let (report, verdict) = play(Faulty::RetainsDead);
    assert!(!report.disagreements.is_empty() && verdict.count(TierViolation::NotForgotten) > 0, "{verdict}");
    let (report, verdict) = play(Faulty::TrustsAll);
    assert!(!report.regressions.is_empty() && verdict.count(TierViolation::WentBack) > 0, "{verdict}");
    let (_, verdict) = play(Faulty::OldBoot);
    assert!(verdict.count(TierViolation::OldBoot) > 0, "{verdict}");
}

/// Guards against false findings of the log audit: the same random scripts converge in the comparison with the actual
/// state.
#[test]
fn log_audit_reports_no_violation_by_correct_processes() {
    for seed in 0..300 {
        let (members, steps) = random_script(seed);
        let end = steps.last().expect("steps").0 + 3 * MAX_CONVERGENCE_US;
        let report = play(&MembershipFactory::default(), members, &steps, end, seed);
        let verdict = audit_tier(members, &report.tier_events, &report.logs, end);
        assert!(verdict.is_clean(), "seed {seed}, {members} processes, {steps:?}:\n{verdict}");
    }
}

/// Thirty processes in each fault case: none may declare a live, connected process dead.
#[test]
fn thirty_processes_converge_without_false_deaths_in_each_fault_case() {
    const N: usize = 30;
    let assert_no_false_death = |case: &str, rest: &[(u64, Step)], end: u64| {
        let report = play(&MembershipFactory::default(), N, &script_with_starts(N, rest), end, 5);
        assert_converged(&report, case);
        assert_eq!(report.false_deaths, 0, "{case}: considered dead for {} us", report.longest_false_death);
        report
    };
    let half: Vec<_> = (0..N / 2).map(|p| (5 * S, Step::Kill(p))).collect();
    let report = assert_no_false_death("half killed", &half, 12 * S);
    assert_eq!(report.death_known.len(), N / 2 * N / 2);
    assert!(quantile(&report.death_known, 0.95) <= 3 * S && quantile(&report.death_known, 1.0) <= 6 * S);

    for parts in [2, 3] {
        let report = assert_no_false_death(
            "partitioned",
            &[(5 * S, partition_into(N, parts)), (15 * S, heal_network())],
            20 * S,
        );
        assert!(report.converged_after < S, "{} us to agree after a heal", report.converged_after);
    }
    let one_way = Links { one_way: vec![(0, 1), (2, 1), (3, 4)], ..Links::default() };
    assert_no_false_death("one way", &[(5 * S, Step::Links(one_way)), (15 * S, heal_network())], 20 * S);
    let loss = Links { loss: 0.5, ..Links::default() };
    let report = assert_no_false_death(
        "half of all datagrams lost",
        &[(5 * S, Step::Links(loss)), (12 * S, Step::Kill(3)), (20 * S, heal_network())],
        25 * S,
    );
    assert_eq!(report.death_known.len(), N - 1, "all survivors detect the death despite the loss");
    let unheard = Links { unheard: vec![1], ..Links::default() };
    assert_no_false_death(
        "no datagrams from one process",
        &[(5 * S, Step::Links(unheard)), (20 * S, heal_network())],
        25 * S,
    );
    assert_no_false_death(
        "suspended for 30 s",
        &[(5 * S, Step::Suspend(1)), (35 * S, Step::Resume(1))],
        40 * S,
    );
    assert_no_false_death(
        "suspended for a second",
        &[(5 * S, Step::Suspend(1)), (6 * S, Step::Resume(1))],
        10 * S,
    );

    let kill_and_restart =
        |p: usize| [(5 * S, Step::Kill(p)), (5 * S + 1 + p as u64 * S / 40, Step::Start(p))];
    let mut restart: Vec<_> = (0..N).flat_map(kill_and_restart).collect();
    restart.sort_by_key(|s| s.0);
    assert_no_false_death("all restart within a second", &restart, 12 * S);
}

#[test]
fn thirty_of_three_hundred_configured_members_converge_with_little_traffic() {
    let start: Vec<_> = (0..30).map(|p| (p as u64 * S / 30, Step::Start(p * 10))).collect();
    let report = play(&MembershipFactory::default(), 300, &start, 12 * S, 5);
    assert_converged(&report, "30 of 300 configured members");
    assert_eq!(
        report.start_known.len(),
        30 * 29 / 2,
        "each process is detected by those that started before it"
    );
    assert!(report.sent.iter().all(|s| s.1 < 12 * 16_000), "{:?}", report.sent);
}

#[test]
fn tier_grows_from_three_to_thirty_while_one_process_is_partitioned() {
    let isolated = Links { groups: (0..30).map(|p| u8::from(p == 2)).collect(), ..Links::default() };
    let mut steps: Vec<_> = (0..3).map(|p| (0, Step::Start(p))).collect();
    steps.push((3 * S, Step::Links(isolated)));
    steps.extend((3..30).map(|p| (4 * S + p as u64 * S / 10, Step::Start(p))));
    steps.push((12 * S, heal_network()));
    assert_converged(&play(&MembershipFactory::default(), 30, &steps, 18 * S, 5), "3 grow to 30");
}

/// Detection of deaths among 300 processes, and each one's traffic without faults: the difference of two runs of 6 and
/// 10 s.
#[test]
fn three_hundred_processes_detect_deaths_in_time_and_send_less_than_16_kb_a_second() {
    const N: usize = 300;
    let end = |s: u64| play(&MembershipFactory::default(), N, &script_with_starts(N, &[]), s * S, 5);
    let (early, late) = std::thread::scope(|scope| {
        let early = scope.spawn(|| end(6));
        (early.join().expect("the run does not panic"), end(10))
    });
    assert_converged(&late, "300 without faults");
    for (index, (before, after)) in early.sent.iter().zip(&late.sent).enumerate() {
        let (datagrams, bytes) = ((after.0 - before.0) / 4, (after.1 - before.1) / 4);
        assert!(
            bytes < 16_000 && datagrams < 250,
            "process {index} sends {datagrams} datagrams, {bytes} bytes a second"
        );
    }
    let kills: Vec<_> = (0..20).map(|p| (6 * S + p * S / 20, Step::Kill(p as usize * 15))).collect();
    let report = play(&MembershipFactory::default(), N, &script_with_starts(N, &kills), 11 * S, 5);
    assert_converged(&report, "300, twenty killed");
    assert_eq!(report.false_deaths, 0);
    let (p95, worst) = (quantile(&report.death_known, 0.95), quantile(&report.death_known, 1.0));
    assert!(p95 <= 3 * S && worst <= 6 * S, "detected after {p95} us (95%), {worst} us (all)");
}
