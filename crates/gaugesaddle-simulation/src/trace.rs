//! Trace of a run: the injected faults, and what became of machines, processes and the group of voters.
//!
//! The trace distinguishes causes that look alike in the violations, such as a group without a majority and a majority
//! that elects no leader.

use crate::fault::Fault;
use crate::Millis;
use gaugesaddle_protocol::ReplicaId;
use std::fmt;

/// One entry of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceEntry {
    /// Time since the start of the run, in ms.
    pub at: Millis,
    /// What happened.
    pub event: TraceEvent,
}

/// An event of a trace. Machines are named by their address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceEvent {
    /// A fault was injected.
    Injected(Fault),
    /// A control process started.
    Started {
        /// Its machine.
        ip: u32,
    },
    /// A control process received SIGTERM.
    ShutdownBegun {
        /// Its machine.
        ip: u32,
    },
    /// A control process ended.
    Ended {
        /// Its machine.
        ip: u32,
    },
    /// A machine was removed permanently.
    Removed {
        /// The machine.
        ip: u32,
    },
    /// A machine lost its disk.
    DiskLost {
        /// The machine.
        ip: u32,
    },
    /// The state of the leader has other voters, or there is another leader.
    Voters {
        /// The leader, its term and the voters in its newest state.
        group: VoterGroup,
    },
    /// No replica has led with a lease since the last check.
    NoLeader,
}

/// The voters as the leader knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterGroup {
    /// The leading replica.
    pub leader: ReplicaId,
    /// Its term.
    pub term: u64,
    /// The voters in its newest state, committed or not.
    pub voters: Vec<ReplicaId>,
    /// Whether that state is committed and no membership change is in progress.
    pub is_committed: bool,
}

impl fmt::Display for TraceEntry {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>6} ms  ", self.at)?;
        match &self.event {
            TraceEvent::Injected(fault) => write!(f, "fault {fault:?}"),
            TraceEvent::Started { ip } => write!(f, "process {ip} started"),
            TraceEvent::ShutdownBegun { ip } => write!(f, "process {ip} shuts down"),
            TraceEvent::Ended { ip } => write!(f, "process {ip} ended"),
            TraceEvent::Removed { ip } => write!(f, "machine {ip} removed"),
            TraceEvent::DiskLost { ip } => write!(f, "machine {ip} lost its disk"),
            TraceEvent::NoLeader => write!(f, "no leader"),
            TraceEvent::Voters { group } => write!(f, "{group}"),
        }
    }
}

impl fmt::Display for VoterGroup {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = |id: &ReplicaId| format!("{}#{:x}", id.ip, id.incarnation & 0xfff);
        let voters: Vec<String> = self.voters.iter().map(name).collect();
        let suffix = if self.is_committed { "" } else { ", not committed" };
        let leader = name(&self.leader);
        write!(f, "leader {leader} in term {}, voters {}{suffix}", self.term, voters.join(" "))
    }
}
