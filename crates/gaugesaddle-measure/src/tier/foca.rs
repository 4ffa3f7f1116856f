//! The library foca as a process of the tier in virtual time, set up as close to ours as it goes: same rate of questions,
//! same helpers, rumours each 200 ms, the dead tried again each 1.5 s. It carries no records here.

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

/// What a datagram of the platform holds, less the room for a tag.
const PACKET: usize = 240;
/// Proxies that a newcomer asks to join, until one answers.
const SEEDS: usize = 3;
const AGAIN_US: u64 = 500_000;

/// Where it stands, its process, and which of two processes there is newer: the library wants an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    index: u16,
    boot: u32,
    start: u32,
    renewed: u16,
}

impl Identity for Id {
    type Addr = u16;
    fn renew(&self) -> Option<Id> {
        Some(Id { renewed: self.renewed.wrapping_add(1), ..*self })
    }
    fn addr(&self) -> u16 {
        self.index
    }
    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.start, self.renewed) > (other.start, other.renewed)
    }
}

/// The library's processes.
pub struct Library {
    /// A suspect's time.
    pub suspect: Duration,
    /// Given to each process in the order of starts: told from outside, no process could know it.
    starts: AtomicU32,
}

impl Library {
    pub fn new(suspect: Duration) -> Library {
        Library { suspect, starts: AtomicU32::new(0) }
    }
}

struct Member {
    foca: Foca<Id, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    timers: BTreeMap<(u64, u64), Timer<Id>>,
    next: u64,
    sees: Vec<Option<Id>>,
    random: RandomStream,
    join: u64,
    own: usize,
}

fn some(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl ProcessFactory for Library {
    fn start(&self, size: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let id = Id { index: index as u16, boot, start, renewed: 0 };
        let often = |ms: u64, members: usize| {
            Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: some(members) })
        };
        let config = Config {
            probe_period: Duration::from_millis(200),
            probe_rtt: Duration::from_millis(100),
            num_indirect_probes: some(3),
            max_transmissions: NonZeroU8::new(15).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspect,
            remove_down_after: Some(Duration::from_secs(600)),
            max_packet_size: some(PACKET),
            notify_down_members: true,
            periodic_announce: often(1000, 1),
            periodic_announce_to_down_members: often(1500, 2),
            periodic_gossip: often(200, 3),
        };
        let foca = Foca::new(id, config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec);
        Box::new(Member {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            next: 0,
            sees: vec![None; size],
            random: RandomStream::new(seed, "join"),
            join: now,
            own: index,
        })
    }
}

impl Member {
    fn carry(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push((usize::from(to.index), bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next += 1;
            self.timers.insert((now + after.as_micros() as u64, self.next), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            let slot = |id: &Id| usize::from(id.index);
            match told {
                OwnedNotification::MemberUp(id) => self.sees[slot(&id)] = Some(id),
                OwnedNotification::MemberDown(id) => {
                    self.sees[slot(&id)] = self.sees[slot(&id)].filter(|held| held.boot != id.boot);
                }
                OwnedNotification::Rename(old, new) if self.sees[slot(&old)] == Some(old) => {
                    self.sees[slot(&new)] = Some(new);
                }
                _ => {}
            }
        }
    }
}

impl Process for Member {
    fn datagram(&mut self, now: u64, _: usize, bytes: &[u8], out: &mut OutgoingDatagrams) {
        // What it can't use it says so of; here everything comes from others of its kind.
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.carry(now, out);
    }

    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        if now >= self.join {
            self.join = if self.foca.num_members() == 0 { now + AGAIN_US } else { u64::MAX };
            for _ in 0..if self.foca.num_members() == 0 { SEEDS } else { 0 } {
                let index = self.random.below(self.sees.len());
                if index != self.own {
                    let seed = Id { index: index as u16, boot: 0, start: 0, renewed: 0 };
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
            }
            self.carry(now, out);
        }
        while let Some(((at, n), timer)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, n), timer);
                break;
            }
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.carry(now, out);
        }
    }

    fn wake_at(&self) -> u64 {
        self.timers.first_key_value().map_or(u64::MAX, |t| t.0 .0).min(self.join)
    }

    fn leave(&mut self, now: u64, out: &mut OutgoingDatagrams) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.carry(now, out);
    }

    fn live_boot(&self, index: usize) -> Option<u32> {
        self.sees[index].map(|id| id.boot)
    }
}
