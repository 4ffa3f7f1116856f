//! Follows the control plane: renews the proxy's lease and pulls what it lacks.

use super::fleet::Fleet;
use gaugesaddle_protocol::{Lifecycle, Pull, PullReply, Registration, Reply, Request, Subject};
use gaugesaddle_transport::{Caller, LinkError};
use spdlog::{debug, info};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(300);
/// An answer without news is held back for so long, in ms.
const WAIT: u32 = 350;
/// Time for an answer beyond that.
const ANSWER: Duration = Duration::from_millis(900);
/// Time for the answer to the first call, which may bring a large configuration over a slow link.
const FIRST_ANSWER: Duration = Duration::from_millis(2500);
/// Pause before another process is asked.
const PAUSE: Duration = Duration::from_millis(60);
/// Between two calls of a process that is not in touch with a majority.
const STALE_PAUSE: Duration = Duration::from_millis(100);
/// A process that is not in touch with a majority is left after so many answers.
const STALE_ANSWERS: u32 = 4;
/// A control process that nobody named for so long is forgotten, in ms.
const FORGET: u64 = 60_000;
/// Time for the last call.
const FAREWELL: Duration = Duration::from_millis(300);

/// Control processes that are known, with the time they were named last.
struct Members {
    own: u32,
    named: BTreeMap<u32, u64>,
    next: usize,
}

impl Members {
    fn new(fleet: &Fleet) -> Members {
        let now = fleet.now();
        let named = fleet.boot.seeds.iter().map(|s| (u32::from(*s.ip()), now)).collect();
        Members { own: u32::from(fleet.boot.ip), named, next: 0 }
    }

    fn named(&mut self, now: u64, members: &[u32]) {
        for ip in members {
            self.named.insert(*ip, now);
        }
        self.named.retain(|_, at| now < *at + FORGET);
    }

    /// The next to ask: first the one on this machine, then each in turn, from a place of this machine's own.
    fn next(&mut self) -> Option<u32> {
        let mut order: Vec<u32> = self.named.keys().copied().collect();
        order.sort_by_key(|ip| (*ip != self.own, beechworks::mix(u64::from(*ip) ^ u64::from(self.own))));
        let ip = order.get(self.next % order.len().max(1)).copied();
        self.next += 1;
        ip
    }

    fn stay(&mut self) {
        self.next = self.next.saturating_sub(1);
    }
}

/// Runs for as long as the process lives.
pub async fn run(fleet: Rc<Fleet>) {
    let mut members = Members::new(&fleet);
    let mut sequence = 0;
    loop {
        let Some(ip) = members.next() else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match follow(&fleet, &mut members, ip, &mut sequence).await {
            Ok(()) => {}
            Err(e) => debug!("control {}: {e}", Ipv4Addr::from(ip)),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Pulls from one process until it fails or is not in touch with a majority.
async fn follow(
    fleet: &Rc<Fleet>, members: &mut Members, ip: u32, sequence: &mut u64,
) -> Result<(), LinkError> {
    let address = SocketAddrV4::new(Ipv4Addr::from(ip), fleet.boot.ephemeral_ports.0);
    let mut caller = Caller::open(address, CONNECT).await?;
    let (mut stale, mut first) = (0, true);
    loop {
        *sequence += 1;
        let wait = if first { 0 } else { WAIT };
        let request = pull(fleet, *sequence, Lifecycle::Ready, wait);
        let time = if first { FIRST_ANSWER } else { ANSWER + Duration::from_millis(u64::from(WAIT)) };
        let Reply::Pull(reply) = caller.call(&request, time).await? else { return Ok(()) };
        if first {
            info!("follows control {}, fresh {}", address.ip(), reply.fresh);
        }
        first = false;
        let fresh = reply.fresh;
        take(fleet, members, *reply);
        if fresh {
            stale = 0;
            continue;
        }
        stale += 1;
        if stale >= STALE_ANSWERS {
            return Ok(());
        }
        tokio::time::sleep(STALE_PAUSE).await;
    }
}

fn pull(fleet: &Fleet, sequence: u64, lifecycle: Lifecycle, wait_ms: u32) -> Request {
    let (vector, digests) = fleet.catalog_state();
    let proxy = Registration {
        id: fleet.proxy.clone(),
        zone: fleet.boot.zone.clone(),
        subject: Subject::Proxy,
        sequence,
        lifecycle,
    };
    Request::Pull(Box::new(Pull { proxy, vector, stamp: fleet.stamp(), digests, wait_ms }))
}

fn take(fleet: &Fleet, members: &mut Members, reply: PullReply) {
    let now = fleet.now();
    members.named(now, &reply.members);
    fleet.merge(reply.delta);
    fleet.leader.set(reply.leader);
    // A process that has lost its group may hold a version behind the one in force elsewhere.
    if !reply.fresh {
        return;
    }
    if let Some(configuration) = &reply.configuration {
        fleet.configure(configuration);
    }
    fleet.fresh_at.set(Some(now));
    members.stay();
    members.next = members.next.max(1);
}

/// Says that this proxy leaves.
pub async fn farewell(fleet: Rc<Fleet>) {
    let Some(leader) = fleet.leader.get() else { return };
    let address = SocketAddrV4::new(Ipv4Addr::from(leader), fleet.boot.ephemeral_ports.0);
    let Ok(mut caller) = Caller::open(address, FAREWELL).await else { return };
    // Without this call the lease runs out by itself.
    let _ = caller.call(&pull(&fleet, u64::MAX, Lifecycle::Gone, 0), FAREWELL).await;
}
