//! Plans: the faults of a run, drawn from a seed.
//!
//! The order and number of the random draws of a seed must not change, since documents refer to seeds;
//! `tests/golden_outcomes.rs` checks this. Fields of a fault are drawn in the order in which they are written here.

use crate::fault::{CrashAfterAcknowledgement, Fault, PartitionDirection, PlannedFault, Target};
use crate::{Deployment, Millis};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Input of a run: a deployment, its faults, and the seed of all other random choices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of the random choices during the run: delays, the process that is called, torn writes.
    pub seed: u64,
    /// The deployment.
    #[serde(rename = "shape")]
    pub deployment: Deployment,
    /// The faults, in order of time.
    pub faults: Vec<PlannedFault>,
}

/// Time of the first fault: by then the cluster has been bootstrapped.
const FIRST_FAULT_MS: Millis = 5000;
/// Span of time in which faults are injected.
const FAULT_SPAN_MS: Millis = 18_000;
/// Exclusive maximum of the number of independent faults of a run.
const MAX_FAULTS: u64 = 14;
/// Minimum number of independent faults of a run.
const MIN_FAULTS: u64 = 3;
/// Number of backends of a run.
pub const BACKENDS: u32 = 8;
/// Number of proxies for which faults are drawn.
const PROXIES: u64 = 3;
/// XORed with the seed of a plan, so that the random numbers of plan and run, which share the seed, differ.
const PLAN_SEED_MASK: u64 = 0x5eed;

/// A fault, and its delay after the start of its scenario.
type ScenarioStep = (Millis, Fault);

/// Pseudo-random source of a plan.
struct PlanRandom(Pcg64Mcg);

impl PlanRandom {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    /// Returns a random duration from `min` to below `max`.
    fn between(&mut self, min: Millis, max: Millis) -> Millis {
        min + self.below(max - min)
    }

    /// Returns true with a probability of one in `n`.
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn proxy(&mut self) -> u32 {
        self.below(PROXIES) as u32
    }

    fn target(&mut self) -> Target {
        match self.below(5) {
            0 | 1 => Target::Leader,
            2 => Target::Acknowledged,
            _ => Target::Number(self.below(16) as u32),
        }
    }

    fn direction(&mut self) -> PartitionDirection {
        match self.below(4) {
            0 | 1 => PartitionDirection::Both,
            2 => PartitionDirection::Inbound,
            _ => PartitionDirection::Outbound,
        }
    }

    fn fault(&mut self) -> Fault {
        let target = self.target();
        match self.below(24) {
            0 => Fault::Kill { target, down: self.between(100, 3000) },
            1 => Fault::PowerOff { target, down: self.between(300, 5000) },
            2 | 3 => Fault::Wipe { target, down: self.between(300, 2000) },
            4 => Fault::Restart { target, down: self.between(100, 1500) },
            5 | 6 => Fault::Replace { target, planned: self.one_in(2) },
            7 => Fault::KillAll { power_loss: self.one_in(2), down: self.between(200, 1000) },
            8 | 9 => Fault::Freeze { target, time: self.between(200, 6000) },
            10 | 11 => self.partition(),
            12 => Fault::PartitionHalves { time: self.between(1000, 6000) },
            13 => Fault::DelayLinks { target, delay: self.between(100, 2500), time: self.between(500, 4000) },
            14 => Fault::LosePackets { target, percent: self.between(5, 95), time: self.between(500, 6000) },
            15 => Fault::SlowDisk { target, factor: self.between(10, 60), time: self.between(1000, 6000) },
            16 => Fault::HangingDisk { target, time: self.between(500, 4000) },
            17 => Fault::FullDisk { target, time: self.between(500, 4000) },
            18 => Fault::FreezeProxy { number: self.proxy(), time: self.between(200, 6000) },
            19 => Fault::KillProxy { number: self.proxy(), down: self.between(200, 2000) },
            20 => Fault::LoseAnswers { percent: self.between(30, 90), time: self.between(1000, 5000) },
            21 => self.change_burst(),
            _ => self.after_acknowledgement(),
        }
    }

    fn partition(&mut self) -> Fault {
        let target = self.target();
        let direction = self.direction();
        let includes_proxies = self.one_in(3);
        Fault::Partition { target, direction, includes_proxies, time: self.between(500, 10_000) }
    }

    fn change_burst(&mut self) -> Fault {
        Fault::ChangeBurst { interval: self.between(40, 120), time: self.between(1000, 5000) }
    }

    fn after_acknowledgement(&mut self) -> Fault {
        let crash = match self.below(5) {
            0 | 1 => CrashAfterAcknowledgement::PowerOffAll,
            2 => CrashAfterAcknowledgement::PowerOffAcknowledger,
            3 => CrashAfterAcknowledgement::WipeAcknowledger,
            _ => CrashAfterAcknowledgement::WipeAcknowledgerAndPowerOffAll,
        };
        Fault::AfterAcknowledgement { of_departure: self.one_in(3), delay: self.below(6), crash }
    }

    fn departure(&mut self) -> Fault {
        let number = self.below(u64::from(BACKENDS)) as u32;
        Fault::Depart { number, draining: self.one_in(2) }
    }

    /// Returns one of the known worst-case combinations of faults.
    fn scenario(&mut self) -> Vec<ScenarioStep> {
        let target = self.target();
        match self.below(5) {
            0 => self.partition_with_calls(target),
            1 => self.racing_operators(),
            2 => self.successive_losses(),
            3 => self.lagging_member(target),
            _ => self.departure_during_freeze(),
        }
    }

    /// A machine that attracts most calls is partitioned for a long time; shortly before the partition heals, a machine
    /// loses power, a proxy is killed, or operators start a burst of changes.
    fn partition_with_calls(&mut self, target: Target) -> Vec<ScenarioStep> {
        let time = self.between(3000, 12_000);
        let last_fault = match self.below(3) {
            0 => Fault::PowerOff { target, down: self.between(300, 1000) },
            1 => Fault::KillProxy { number: self.proxy(), down: 200 },
            _ => self.change_burst(),
        };
        let direction = self.direction();
        vec![
            (0, Fault::AttractCalls { target, time: time + 1000 }),
            (10, Fault::Partition { target, direction, includes_proxies: false, time }),
            (self.between(20, 900), self.departure()),
            (time / 2, Fault::KillProxy { number: self.proxy(), down: 300 }),
            (time - 400, last_fault),
        ]
    }

    /// Operators make concurrent changes while most of their answers are lost, machines crash right after an
    /// acknowledgement, and the network is partitioned into halves.
    fn racing_operators(&mut self) -> Vec<ScenarioStep> {
        vec![
            (0, self.change_burst()),
            (0, Fault::LoseAnswers { percent: 80, time: 4000 }),
            (self.between(100, 3000), self.after_acknowledgement()),
            (self.between(100, 3000), Fault::PartitionHalves { time: self.between(1000, 3000) }),
        ]
    }

    /// Disks and machines are lost one after the other, each as soon as the deployment must tolerate it.
    fn successive_losses(&mut self) -> Vec<ScenarioStep> {
        let mut steps = Vec::new();
        for step in 0..4 {
            let fault = match self.below(3) {
                0 => Fault::Wipe { target: self.target(), down: self.between(200, 800) },
                1 => Fault::Replace { target: self.target(), planned: true },
                _ => Fault::Replace { target: self.target(), planned: false },
            };
            steps.push((step * 300, fault));
        }
        steps
    }

    /// A member falls behind during a burst of changes, and then all machines lose power and restart.
    fn lagging_member(&mut self, target: Target) -> Vec<ScenarioStep> {
        vec![
            (0, Fault::ChangeBurst { interval: 40, time: 6000 }),
            (200, Fault::SlowDisk { target, factor: 50, time: 5000 }),
            (900, Fault::PowerOff { target: self.target(), down: self.between(500, 3000) }),
            (4500, Fault::KillAll { power_loss: true, down: self.between(200, 600) }),
        ]
    }

    /// A backend departs while a proxy is frozen, and all control machines lose power right after the acknowledgement.
    fn departure_during_freeze(&mut self) -> Vec<ScenarioStep> {
        let time = self.between(1500, 3000);
        let crash = CrashAfterAcknowledgement::PowerOffAll;
        vec![
            (0, Fault::FreezeProxy { number: self.proxy(), time }),
            (50, Fault::AfterAcknowledgement { of_departure: true, delay: self.below(4), crash }),
            (100, self.departure()),
        ]
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, deployment: Deployment) -> Plan {
        let mut random = PlanRandom(Pcg64Mcg::seed_from_u64(seed ^ PLAN_SEED_MASK));
        let count = MIN_FAULTS + random.below(MAX_FAULTS - MIN_FAULTS);
        let mut faults = Vec::new();
        for _ in 0..count {
            let at = FIRST_FAULT_MS + random.below(FAULT_SPAN_MS);
            faults.push(PlannedFault { at, fault: random.fault() });
            // Faults in quick succession are the hardest to tolerate.
            if random.one_in(3) {
                let at = at + random.below(2500);
                faults.push(PlannedFault { at, fault: random.fault() });
            }
        }
        for _ in 0..random.below(3) {
            let at = FIRST_FAULT_MS + random.below(FAULT_SPAN_MS);
            for (delay, fault) in random.scenario() {
                faults.push(PlannedFault { at: at + delay, fault });
            }
        }
        for number in 0..BACKENDS / 2 {
            let at = FIRST_FAULT_MS + random.below(FAULT_SPAN_MS);
            let draining = random.one_in(2);
            let crashes = random.one_in(5);
            let fault = if crashes { Fault::Crash { number } } else { Fault::Depart { number, draining } };
            faults.push(PlannedFault { at, fault });
        }
        faults.sort_by_key(|planned| planned.at);
        Plan { seed, deployment, faults }
    }

    /// Time of the last fault, in ms.
    pub fn end(&self) -> Millis {
        self.faults.iter().map(|planned| planned.at).max().unwrap_or(FIRST_FAULT_MS)
    }
}
