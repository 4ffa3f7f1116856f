//! SWIM gossip membership with Lifeguard's extensions, without I/O, clock or threads. It determines which proxies of a
//! tier are live, stores the record that each of them publishes, and reports how reliable this information is. The host
//! passes in datagrams and the current time, and executes each [`Output`].
//!
//! Sources: Das, Gupta, Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*
//! (2002); Dadgar, Phillips, Currey, *Lifeguard: Local Health Awareness for More Accurate Failure Detection* (2018).
//!
//! # Types
//!
//! - [`Membership`] is one process's view of the tier. It owns the table of members, their records, the queue of
//!   updates and all schedules. It is created from a [`TierConfig`], [`Settings`] and an [`Authenticator`].
//! - [`KnownMember`] and [`LocalMember`] are the core rules: how updates and acknowledgements change the
//!   [`MemberState`] of another member, and how this process refutes a wrong one. `tests/model.rs` checks them with a
//!   model checker.
//! - [`View`] summarizes the membership; [`PartitionStatus`] distinguishes a small tier from a
//!   partitioned one.
//! - [`Record`] is the payload that a member publishes; the protocol does not interpret it. [`Signals`] is its content,
//!   and [`Totals`] the sum over the live members, with the age of the summed records.
//! - [`wire`] is the datagram format.
//!
//! # Example
//!
//! Two processes exchange datagrams until each has verified the other:
//!
//! ```rust
//! use gaugesaddle_balancer::{Micros, Time};
//! use gaugesaddle_membership::{Authenticator, Boot, Membership, Output, Settings, TierConfig};
//!
//! let addresses: Vec<std::net::SocketAddr> =
//!     vec!["127.0.0.1:7000".parse().unwrap(), "127.0.0.1:7001".parse().unwrap()];
//! let start = |own_index: u16| {
//!     let config = TierConfig {
//!         addresses: addresses.clone(),
//!         own_index,
//!         broadcast_address: None,
//!         name: format!("proxy-{own_index}"),
//!         zone: "a".into(),
//!     };
//!     let boot = Boot(100 + u32::from(own_index));
//!     Membership::new(Settings::default(), Authenticator::disabled(), config, boot, 1, Time(0)).unwrap()
//! };
//! let mut processes = [start(0), start(1)];
//!
//! let mut now = Time(0);
//! while processes.iter().any(|process| process.live_members() != [0, 1]) {
//!     now = now + Micros(10_000);
//!     assert!(now < Time(10_000_000), "both processes must be live within ten seconds");
//!     for sender in 0..2 {
//!         let mut outputs = Vec::new();
//!         processes[sender].run_due_timers(now, &mut outputs);
//!         while let Some(output) = outputs.pop() {
//!             let Output::Send { bytes, .. } = output else { continue };
//!             let mut replies = Vec::new();
//!             processes[1 - sender].handle_datagram(now, addresses[sender], &bytes, &mut replies);
//!             for reply in replies {
//!                 let Output::Send { bytes, .. } = reply else { continue };
//!                 processes[sender].handle_datagram(now, addresses[1 - sender], &bytes, &mut outputs);
//!             }
//!         }
//!     }
//! }
//! ```
//!
//! # Guarantees
//!
//! - No received datagram causes a panic.
//! - A former process never becomes live again, even if datagrams are delayed, duplicated or replayed: another process
//!   at an index is accepted only after it has acknowledged a new probe.
//! - A record is never replaced by an older one.
//!
//! **During a partition** each side declares the other dead and continues; [`View::partition_status`] reports that
//! this process may be on the smaller side. After the partition has healed, every process refutes wrong updates about
//! itself, and both sides converge to the same statuses. No operation waits for agreement. If only some links are
//! broken, a member is probed through another member that reaches it.
//!
//! **After a stall** of this process, its time-outs are extended by the duration of the stall, so that the stall does
//! not lead it to declare other members dead. Datagrams that arrived during the stall are treated as being as old as
//! the stall. [`View::since_stall`] is the time since its end. If other members declared this process dead, it refutes
//! that.
//!
//! # Bounds
//!
//! One table entry for each configured member, at most [`MAX_MEMBERS`]: one status, one record of at most
//! [`MAX_RECORD_BYTES`], one pending update and three open probes. Datagrams have at most [`MAX_DATAGRAM_BYTES`].
//! Probes and acknowledgements of live members are sent at a constant rate, everything else within
//! [`Settings::bytes_per_s`], and replies within a token bucket.
//!
//! Times are those of the host's monotonic clock; clocks of two machines are never compared.
//!
//! Not covered: tiers whose members have the addresses in a different order, records that exceed one datagram,
//! encryption (the tag only rejects senders without the key), and a choice between two live processes at one index
//! (they are reported by [`Output::IndexConflict`]).

mod auth;
mod config;
mod counters;
mod dissemination;
mod health;
mod member;
mod member_state;
mod membership;
mod output;
mod rate_limit;
mod records;
mod replay;
mod schedule;
mod settings;
mod signals;
mod suspicion;
mod view;
pub mod wire;

pub use auth::{Authenticator, KeyTooShort, MIN_KEY_BYTES};
pub use config::{TierConfig, TierConfigError};
pub use counters::Counters;
pub use member::MemberView;
pub use member_state::{
    Boot, KnownMember, LocalMember, MemberState, MemberStatus, UpdateResult, MAX_INCARNATION,
};
pub use membership::Membership;
pub use output::{Cause, Output, Transition};
pub use records::Record;
pub use settings::{Settings, MAX_MEMBERS};
pub use signals::{Signals, Totals, ZoneSignal, MAX_CLASSES, MAX_ZONES};
pub use view::{PartitionStatus, View};
pub use wire::{MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, MAX_RECORD_BYTES};
