//! Faults and when they are injected.
//!
//! Plans are stored as JSON by `hunt`; `rename` attributes preserve the names in stored plans.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Direction of a machine's links that a partition affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionDirection {
    /// Both directions.
    Both,
    /// Messages to the machine.
    #[serde(rename = "Deaf")]
    Inbound,
    /// Messages from the machine.
    #[serde(rename = "Mute")]
    Outbound,
}

/// The machine at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The leader at the time of the fault.
    Leader,
    /// The machine that acknowledged the newest change.
    Acknowledged,
    /// A running machine by its index, modulo their number.
    Number(u32),
}

/// Which machines crash right after an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashAfterAcknowledgement {
    /// All control machines lose power.
    PowerOffAll,
    /// The machine that acknowledged loses power.
    #[serde(rename = "PowerOffIt")]
    PowerOffAcknowledger,
    /// The machine that acknowledged loses power and its disk.
    #[serde(rename = "WipeIt")]
    WipeAcknowledger,
    /// The machine that acknowledged loses its disk, and all control machines lose power.
    #[serde(rename = "WipeItAndPowerOffAll")]
    WipeAcknowledgerAndPowerOffAll,
}

/// A fault. Times are in ms; `down` is the time until a process starts again, `time` the duration of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A control process is killed; its disk retains all completed writes.
    Kill {
        /// Which machine.
        target: Target,
        /// Time until it starts again.
        down: Millis,
    },
    /// A machine loses power; its disk retains the synced writes.
    PowerOff {
        /// Which machine.
        target: Target,
        /// Time until it starts again.
        down: Millis,
    },
    /// A machine loses power and its disk.
    Wipe {
        /// Which machine.
        target: Target,
        /// Time until it starts again.
        down: Millis,
    },
    /// A control process shuts down gracefully and starts again.
    Restart {
        /// Which machine.
        target: Target,
        /// Time until it starts again.
        down: Millis,
    },
    /// A machine is removed permanently, and an empty one is added at another address.
    Replace {
        /// Which machine.
        target: Target,
        /// The new machine starts before the old one is removed; otherwise the old one is removed first.
        planned: bool,
    },
    /// All control processes end simultaneously.
    KillAll {
        /// Their machines lose power: unsynced writes may be lost.
        #[serde(rename = "power")]
        power_loss: bool,
        /// Time until they start again.
        down: Millis,
    },
    /// A control process is suspended; packets that arrive meanwhile are queued in its sockets.
    Freeze {
        /// Which machine.
        target: Target,
        /// Time until it continues.
        time: Millis,
    },
    /// A machine is partitioned from the other control machines.
    #[serde(rename = "Cut")]
    Partition {
        /// Which machine.
        target: Target,
        /// Affected direction of its links.
        #[serde(rename = "way")]
        direction: PartitionDirection,
        /// The machine is also partitioned from the proxies.
        #[serde(rename = "all")]
        includes_proxies: bool,
        /// Duration.
        time: Millis,
    },
    /// The control machines are partitioned into two random groups.
    #[serde(rename = "CutHalves")]
    PartitionHalves {
        /// Duration.
        time: Millis,
    },
    /// A machine's links have an additional delay.
    #[serde(rename = "Stall")]
    DelayLinks {
        /// Which machine.
        target: Target,
        /// The additional delay.
        delay: Millis,
        /// Duration.
        time: Millis,
    },
    /// A machine's links lose messages.
    #[serde(rename = "Lose")]
    LosePackets {
        /// Which machine.
        target: Target,
        /// Percentage of the messages.
        percent: u64,
        /// Duration.
        time: Millis,
    },
    /// A machine's disk is slow.
    SlowDisk {
        /// Which machine.
        target: Target,
        /// Factor by which the duration of writes is multiplied.
        factor: u64,
        /// Duration.
        time: Millis,
    },
    /// A machine's disk completes no writes.
    HangingDisk {
        /// Which machine.
        target: Target,
        /// Duration.
        time: Millis,
    },
    /// A machine's disk fails all writes.
    FullDisk {
        /// Which machine.
        target: Target,
        /// Duration.
        time: Millis,
    },
    /// A proxy is suspended.
    FreezeProxy {
        /// Which one.
        number: u32,
        /// Time until it continues.
        time: Millis,
    },
    /// A proxy is killed.
    KillProxy {
        /// Which one.
        number: u32,
        /// Time until it starts again.
        down: Millis,
    },
    /// Operators and backends send most of their calls to this machine.
    #[serde(rename = "Lure")]
    AttractCalls {
        /// Which machine.
        target: Target,
        /// Duration.
        time: Millis,
    },
    /// Machines crash right after the next acknowledgement.
    AfterAcknowledgement {
        /// The acknowledgement is that of a backend's departure; otherwise that of a change.
        #[serde(rename = "of_end")]
        of_departure: bool,
        /// Delay after the acknowledgement.
        delay: Millis,
        /// Which machines crash.
        #[serde(rename = "strike")]
        crash: CrashAfterAcknowledgement,
    },
    /// Answers to operators are lost.
    LoseAnswers {
        /// Percentage of the answers.
        percent: u64,
        /// Duration.
        time: Millis,
    },
    /// Operators make changes in quick succession.
    #[serde(rename = "Storm")]
    ChangeBurst {
        /// Interval between two changes.
        #[serde(rename = "every")]
        interval: Millis,
        /// Duration.
        time: Millis,
    },
    /// A backend departs.
    #[serde(rename = "Leave")]
    Depart {
        /// Which one.
        number: u32,
        /// The backend drains; otherwise it deregisters at once.
        draining: bool,
    },
    /// A backend stops without announcing it.
    Crash {
        /// Which one.
        number: u32,
    },
    /// Control processes on machines without a disk are suspended. The group of voters is not disturbed, so all deadlines
    /// of the proxies apply.
    FreezeDiskless {
        /// How many of them, the first ones by address.
        count: u32,
        /// Time until they continue.
        time: Millis,
    },
}

/// A fault and when it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Time since the start of the run, in ms.
    pub at: Millis,
    /// The fault.
    pub fault: Fault,
}
