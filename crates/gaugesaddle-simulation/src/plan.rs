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
const MOST_FAULTS: u64 = 14;
/// Backends of a day.
pub const BACKENDS: u32 = 6;

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
        match self.below(22) {
            0 => Fault::Kill { target, down: self.between(100, 3000) },
            1 => Fault::PowerOff { target, down: self.between(300, 5000) },
            2 | 3 => Fault::Wipe { target, down: self.between(300, 2000) },
            4 => Fault::Restart { target, down: self.between(100, 1500) },
            5 | 6 => Fault::Replace { target, planned: self.chance(2) },
            7 => Fault::KillAll { power: self.chance(2), down: self.between(200, 1000) },
            8 | 9 => Fault::Freeze { target, time: self.between(200, 6000) },
            10 | 11 => {
                Fault::Cut { target, way: self.way(), all: self.chance(3), time: self.between(500, 10_000) }
            }
            12 => Fault::CutHalves { time: self.between(1000, 6000) },
            13 => Fault::Stall { target, delay: self.between(100, 2500), time: self.between(500, 4000) },
            14 => Fault::Lose { target, percent: self.between(5, 60), time: self.between(500, 4000) },
            15 => Fault::SlowDisk { target, factor: self.between(10, 60), time: self.between(1000, 6000) },
            16 => Fault::HangingDisk { target, time: self.between(500, 4000) },
            17 => Fault::FullDisk { target, time: self.between(500, 4000) },
            18 => Fault::FreezeProxy { number: self.below(3) as u32, time: self.between(200, 6000) },
            19 => Fault::KillProxy { number: self.below(3) as u32, down: self.between(200, 2000) },
            20 => Fault::LoseAnswers { percent: self.between(30, 90), time: self.between(1000, 5000) },
            _ => Fault::Storm { every: self.between(40, 120), time: self.between(1000, 5000) },
        }
    }
}

impl Plan {
    /// The day of a seed.
    pub fn draw(seed: u64, shape: Shape) -> Plan {
        let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed ^ 0x5eed));
        let count = 3 + draw.below(MOST_FAULTS - 3);
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
