//! The library foca as a process of the simulated tier, configured as close to `gaugesaddle-membership` as possible:
//! the same probe interval and number of indirect probes, gossip every 200 ms, and announcements to dead members every
//! 1.5 s. It disseminates no records here.

use ::foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams,
    PostcardCodec, Timer,
};
use gaugesaddle_proxy_simulation::tier::{OutgoingDatagrams, Process, ProcessFactory};
use gaugesaddle_testbed::random::RandomStream;
use rand_pcg_10::rand_core::SeedableRng;
use rand_pcg_10::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Maximum packet size in bytes: a datagram of the platform without its authentication tag.
const MAX_PACKET_BYTES: usize = 240;
/// Number of random members that a starting process announces itself to, until it has discovered one.
const JOIN_PEERS: usize = 3;
/// Interval of these announcements.
const JOIN_INTERVAL_US: u64 = 500_000;

/// Identity of a process: its index and boot number, and the start number by which the library orders processes of the
/// same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessId {
    index: u16,
    boot: u32,
    start: u32,
    renewed: u16,
}

impl Identity for ProcessId {
    type Addr = u16;
    fn renew(&self) -> Option<ProcessId> {
        Some(ProcessId { renewed: self.renewed.wrapping_add(1), ..*self })
    }
    fn addr(&self) -> u16 {
        self.index
    }
    fn win_addr_conflict(&self, other: &ProcessId) -> bool {
        (self.start, self.renewed) > (other.start, other.renewed)
    }
}

/// Starts processes that run the library.
pub struct FocaFactory {
    /// Time from suspicion to the declaration of death.
    pub suspicion: Duration,
    /// Number of starts so far. It is assigned by the simulation, because a real process cannot know it.
    starts: AtomicU32,
}

impl FocaFactory {
    pub fn new(suspicion: Duration) -> FocaFactory {
        FocaFactory { suspicion, starts: AtomicU32::new(0) }
    }
}

struct FocaProcess {
    foca: Foca<ProcessId, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<ProcessId>,
    timers: BTreeMap<(u64, u64), Timer<ProcessId>>,
    next_timer: u64,
    view: Vec<Option<ProcessId>>,
    random: RandomStream,
    join_at: u64,
    own: usize,
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl ProcessFactory for FocaFactory {
    fn start(&self, size: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let id = ProcessId { index: index as u16, boot, start, renewed: 0 };
        let periodic = |ms: u64, members: usize| {
            Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: non_zero(members) })
        };
        let config = Config {
            probe_period: Duration::from_millis(200),
            probe_rtt: Duration::from_millis(100),
            num_indirect_probes: non_zero(3),
            max_transmissions: NonZeroU8::new(15).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion,
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: non_zero(MAX_PACKET_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(1000, 1),
            periodic_announce_to_down_members: periodic(1500, 2),
            periodic_gossip: periodic(200, 3),
        };
        let foca = Foca::new(id, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec);
        Box::new(FocaProcess {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            view: vec![None; size],
            random: RandomStream::new(seed, "join"),
            join_at: now,
            own: index,
        })
    }
}

impl FocaProcess {
    fn drain_runtime(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push((usize::from(to.index), bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next_timer += 1;
            self.timers.insert((now + after.as_micros() as u64, self.next_timer), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            let slot = |id: &ProcessId| usize::from(id.index);
            match notification {
                OwnedNotification::MemberUp(id) => self.view[slot(&id)] = Some(id),
                OwnedNotification::MemberDown(id) => {
                    self.view[slot(&id)] = self.view[slot(&id)].filter(|member| member.boot != id.boot);
                }
                OwnedNotification::Rename(old, new) if self.view[slot(&old)] == Some(old) => {
                    self.view[slot(&new)] = Some(new);
                }
                _ => {}
            }
        }
    }
}

impl Process for FocaProcess {
    fn datagram(&mut self, now: u64, _: usize, bytes: &[u8], out: &mut OutgoingDatagrams) {
        // The error of an unusable datagram is ignored: in the simulation all datagrams come from the library itself.
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.drain_runtime(now, out);
    }

    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        if now >= self.join_at {
            self.join_at = if self.foca.num_members() == 0 { now + JOIN_INTERVAL_US } else { u64::MAX };
            for _ in 0..if self.foca.num_members() == 0 { JOIN_PEERS } else { 0 } {
                let index = self.random.below(self.view.len());
                if index != self.own {
                    let seed = ProcessId { index: index as u16, boot: 0, start: 0, renewed: 0 };
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
            }
            self.drain_runtime(now, out);
        }
        while let Some(((at, n), timer)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, n), timer);
                break;
            }
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now, out);
        }
    }

    fn wake_at(&self) -> u64 {
        self.timers.first_key_value().map_or(u64::MAX, |t| t.0 .0).min(self.join_at)
    }

    fn leave(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now, out);
    }

    fn live_boot(&self, index: usize) -> Option<u32> {
        self.view[index].map(|id| id.boot)
    }
}
