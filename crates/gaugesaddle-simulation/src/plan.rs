//! The faults of a day.

use crate::{Millis, Shape};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Which way a cut machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    /// Neither hears nor is heard.
    Both,
    /// Hears nobody.
    Deaf,
    /// Is not heard.
    Mute,
}

/// Which machine a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The one that leads when it strikes.
    Leader,
    /// The one that acknowledged a change last.
    Acknowledged,
    /// One by its place among those that run.
    Number(u32),
}

/// What follows an acknowledgement at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Strike {
    /// All machines that serve control lose power.
    PowerOffAll,
    /// The machine that gave it loses power.
    PowerOffIt,
    /// The machine that gave it loses power and its disk.
    WipeIt,
    /// The machine that gave it loses its disk, and all others lose power.
    WipeItAndPowerOffAll,
}

/// A fault. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The process is killed; its disk keeps what was written.
    Kill {
        /// Which machine.
        target: Target,
        /// How long until it starts again.
        down: Millis,
    },
    /// The machine loses power; its disk keeps what was synced.
    PowerOff {
        /// Which machine.
        target: Target,
        /// How long until it starts again.
        down: Millis,
    },
    /// The machine loses power and its disk.
    Wipe {
        /// Which machine.
        target: Target,
        /// How long until it starts again.
        down: Millis,
    },
    /// The process ends in order and starts again.
    Restart {
        /// Which machine.
        target: Target,
        /// How long until it starts again.
        down: Millis,
    },
    /// The machine is gone for good; an empty one comes at another address, before the end where that is planned.
    Replace {
        /// Which machine.
        target: Target,
        /// The new machine begins first, and the old one ends in order.
        planned: bool,
    },
    /// All control processes end at once; with `power`, their machines lose it.
    KillAll {
        /// Writes that were not synced may be lost.
        power: bool,
        /// How long until it starts again.
        down: Millis,
    },
    /// The process stands still; what comes meanwhile waits in its sockets.
    Freeze {
        /// Which machine.
        target: Target,
        /// For how long.
        time: Millis,
    },
    /// The machine is cut off from the others that serve control, with `all` from proxies, too.
    Cut {
        /// Which machine.
        target: Target,
        /// Which way.
        way: Way,
        /// From proxies as well.
        all: bool,
        /// For how long.
        time: Millis,
    },
    /// Half of the machines with a disk are cut off from the other half.
    CutHalves {
        /// For how long.
        time: Millis,
    },
    /// The machine's links take so much longer.
    Stall {
        /// Which machine.
        target: Target,
        /// How much longer.
        delay: Millis,
        /// For how long.
        time: Millis,
    },
    /// Its links lose a part of what passes.
    Lose {
        /// Which machine.
        target: Target,
        /// Which part.
        percent: u64,
        /// For how long.
        time: Millis,
    },
    /// Its disk takes so many times as long.
    SlowDisk {
        /// Which machine.
        target: Target,
        /// How many times.
        factor: u64,
        /// For how long.
        time: Millis,
    },
    /// Its disk answers nothing.
    HangingDisk {
        /// Which machine.
        target: Target,
        /// For how long.
        time: Millis,
    },
    /// Its disk refuses writes.
    FullDisk {
        /// Which machine.
        target: Target,
        /// For how long.
        time: Millis,
    },
    /// A proxy stands still.
    FreezeProxy {
        /// Which one.
        number: u32,
        /// For how long.
        time: Millis,
    },
    /// A proxy is killed.
    KillProxy {
        /// Which one.
        number: u32,
        /// How long until it starts again.
        down: Millis,
    },
    /// Operators and backends call this machine first.
    Lure {
        /// Which machine.
        target: Target,
        /// For how long.
        time: Millis,
    },
    /// Waits for the next acknowledgement of a change, or of a backend's end, and strikes right after it.
    AfterAcknowledgement {
        /// Of a backend's end.
        of_end: bool,
        /// So long after it.
        delay: Millis,
        /// What happens then.
        strike: Strike,
    },
    /// A part of the answers to operators is lost.
    LoseAnswers {
        /// Which part.
        percent: u64,
        /// For how long.
        time: Millis,
    },
    /// Operators send a change each so often.
    Storm {
        /// Between two changes.
        every: Millis,
        /// For how long.
        time: Millis,
    },
    /// A backend leaves; it says `draining` first, or deregisters at once.
    Leave {
        /// Which one.
        number: u32,
        /// It says so first.
        draining: bool,
    },
    /// A backend falls silent for good.
    Crash {
        /// Which one.
        number: u32,
    },
}

/// A fault and when it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Milliseconds from the day's beginning.
    pub at: Millis,
    /// What happens.
    pub fault: Fault,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Draws what the plan does not say: delays, who calls whom, torn writes.
    pub seed: u64,
    /// The deployment.
    pub shape: Shape,
    /// The faults, in the order of their times.
    pub faults: Vec<PlannedFault>,
}

/// The day's first fault comes so late: until then the group is whole.
pub const BEGIN: Millis = 5000;
/// Span in which faults strike.
const SPAN: Millis = 18_000;
/// Faults of a day, at most.
const MAX_FAULTS: u64 = 14;
/// Backends of a day.
pub const BACKENDS: u32 = 8;

/// A pseudo-random source for a day's plan.
struct Draw(Pcg64Mcg);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn between(&mut self, least: Millis, most: Millis) -> Millis {
        least + self.below(most - least)
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }

    fn target(&mut self) -> Target {
        match self.below(5) {
            0 | 1 => Target::Leader,
            2 => Target::Acknowledged,
            _ => Target::Number(self.below(16) as u32),
        }
    }

    fn way(&mut self) -> Way {
        [Way::Both, Way::Both, Way::Deaf, Way::Mute][self.below(4) as usize]
    }

    fn fault(&mut self) -> Fault {
        let target = self.target();
        match self.below(24) {
            0 => Fault::Kill { target, down: self.between(100, 3000) },
            1 => Fault::PowerOff { target, down: self.between(300, 5000) },
            2 | 3 => Fault::Wipe { target, down: self.between(300, 2000) },
            4 => Fault::Restart { target, down: self.between(100, 1500) },
            5 | 6 => Fault::Replace { target, planned: self.chance(2) },
            7 => Fault::KillAll { power: self.chance(2), down: self.between(200, 1000) },
            8 | 9 => Fault::Freeze { target, time: self.between(200, 6000) },
            10 | 11 => self.cut(),
            12 => Fault::CutHalves { time: self.between(1000, 6000) },
            13 => Fault::Stall { target, delay: self.between(100, 2500), time: self.between(500, 4000) },
            14 => Fault::Lose { target, percent: self.between(5, 95), time: self.between(500, 6000) },
            15 => Fault::SlowDisk { target, factor: self.between(10, 60), time: self.between(1000, 6000) },
            16 => Fault::HangingDisk { target, time: self.between(500, 4000) },
            17 => Fault::FullDisk { target, time: self.between(500, 4000) },
            18 => Fault::FreezeProxy { number: self.below(3) as u32, time: self.between(200, 6000) },
            19 => Fault::KillProxy { number: self.below(3) as u32, down: self.between(200, 2000) },
            20 => Fault::LoseAnswers { percent: self.between(30, 90), time: self.between(1000, 5000) },
            21 => self.storm(),
            _ => self.after_acknowledgement(),
        }
    }

    fn cut(&mut self) -> Fault {
        let (target, way) = (self.target(), self.way());
        Fault::Cut { target, way, all: self.chance(3), time: self.between(500, 10_000) }
    }

    fn storm(&mut self) -> Fault {
        Fault::Storm { every: self.between(40, 120), time: self.between(1000, 5000) }
    }

    fn after_acknowledgement(&mut self) -> Fault {
        let strike = match self.below(5) {
            0 | 1 => Strike::PowerOffAll,
            2 => Strike::PowerOffIt,
            3 => Strike::WipeIt,
            _ => Strike::WipeItAndPowerOffAll,
        };
        Fault::AfterAcknowledgement { of_end: self.chance(3), delay: self.below(6), strike }
    }

    /// Faults that make the operators' worst days, with how long after the first of them each comes.
    fn worst(&mut self) -> Vec<(Millis, Fault)> {
        let target = self.target();
        match self.below(5) {
            // A machine is cut off for long while everybody calls it, and it ends before it is joined again.
            0 => {
                let time = self.between(3000, 12_000);
                let end = match self.below(3) {
                    0 => Fault::PowerOff { target, down: self.between(300, 1000) },
                    1 => Fault::KillProxy { number: self.below(3) as u32, down: 200 },
                    _ => self.storm(),
                };
                vec![
                    (0, Fault::Lure { target, time: time + 1000 }),
                    (10, Fault::Cut { target, way: self.way(), all: false, time }),
                    (
                        self.between(20, 900),
                        Fault::Leave {
                            number: self.below(u64::from(BACKENDS)) as u32,
                            draining: self.chance(2),
                        },
                    ),
                    (time / 2, Fault::KillProxy { number: self.below(3) as u32, down: 300 }),
                    (time - 400, end),
                ]
            }
            // Two operators race, their answers are lost, and power fails at the acknowledgement.
            1 => vec![
                (0, self.storm()),
                (0, Fault::LoseAnswers { percent: 80, time: 4000 }),
                (self.between(100, 3000), self.after_acknowledgement()),
                (self.between(100, 3000), Fault::CutHalves { time: self.between(1000, 3000) }),
            ],
            // One loss after the other, each as soon as it may come.
            2 => (0..4)
                .map(|step| {
                    let fault = match self.below(3) {
                        0 => Fault::Wipe { target: self.target(), down: self.between(200, 800) },
                        1 => Fault::Replace { target: self.target(), planned: true },
                        _ => Fault::Replace { target: self.target(), planned: false },
                    };
                    (step * 300, fault)
                })
                .collect(),
            // Changes without end, a member that misses them, and all begin anew.
            3 => vec![
                (0, Fault::Storm { every: 40, time: 6000 }),
                (200, Fault::SlowDisk { target, factor: 50, time: 5000 }),
                (900, Fault::PowerOff { target: self.target(), down: self.between(500, 3000) }),
                (4500, Fault::KillAll { power: true, down: self.between(200, 600) }),
            ],
            // Backends leave while one proxy sleeps, and nobody who was told lives on.
            _ => {
                let time = self.between(1500, 3000);
                vec![
                    (0, Fault::FreezeProxy { number: self.below(3) as u32, time }),
                    (
                        50,
                        Fault::AfterAcknowledgement {
                            of_end: true,
                            delay: self.below(4),
                            strike: Strike::PowerOffAll,
                        },
                    ),
                    (
                        100,
                        Fault::Leave {
                            number: self.below(u64::from(BACKENDS)) as u32,
                            draining: self.chance(2),
                        },
                    ),
                ]
            }
        }
    }
}

impl Plan {
    /// The day of a seed.
    pub fn draw(seed: u64, shape: Shape) -> Plan {
        let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed ^ 0x5eed));
        let count = 3 + draw.below(MAX_FAULTS - 3);
        let mut faults = Vec::new();
        for _ in 0..count {
            let at = BEGIN + draw.below(SPAN);
            faults.push(PlannedFault { at, fault: draw.fault() });
            // What makes the worst days is what follows at once.
            if draw.chance(3) {
                let at = at + draw.below(2500);
                faults.push(PlannedFault { at, fault: draw.fault() });
            }
        }
        for _ in 0..draw.below(3) {
            let at = BEGIN + draw.below(SPAN);
            faults.extend(
                draw.worst().into_iter().map(|(after, fault)| PlannedFault { at: at + after, fault }),
            );
        }
        for number in 0..BACKENDS / 2 {
            let at = BEGIN + draw.below(SPAN);
            let draining = draw.chance(2);
            let fault =
                if draw.chance(5) { Fault::Crash { number } } else { Fault::Leave { number, draining } };
            faults.push(PlannedFault { at, fault });
        }
        faults.sort_by_key(|planned| planned.at);
        Plan { seed, shape, faults }
    }

    /// When the last fault has struck.
    pub fn end(&self) -> Millis {
        self.faults.iter().map(|planned| planned.at).max().unwrap_or(BEGIN)
    }
}
