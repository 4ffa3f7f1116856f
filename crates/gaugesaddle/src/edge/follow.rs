//! Follows the control plane: renews the proxy's lease and pulls what it lacks.

use super::fleet::Fleet;
use super::members::Members;
use gaugesaddle_config::BootSettings;
use gaugesaddle_protocol::{Lifecycle, Pull, PullReply, Registration, Reply, Request, Subject};
use gaugesaddle_transport::{Caller, LinkError};
use spdlog::{debug, info};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(300);
/// An answer without news is held back for so long, in ms.
const WAIT: u32 = 350;
/// Time for an answer to begin beyond that.
const ANSWER: Duration = Duration::from_millis(450);
/// Pause before another process is asked.
const PAUSE: Duration = Duration::from_millis(40);
/// Digests of the catalog's ranges go with a call so often, in ms.
const COMPARE: u64 = 3000;
/// Without a process in touch with a majority for so long, the boot file is read for other seeds, in ms.
const LOST: u64 = 2000;
/// Time for the last call.
const FAREWELL: Duration = Duration::from_millis(300);

/// What goes on between this proxy and the control processes.
struct Following {
    members: Members,
    /// When the boot file was read last.
    read: u64,
    sequence: u64,
    /// When digests were sent last.
    compared: u64,
}

/// Runs for as long as the process lives.
pub async fn run(fleet: Rc<Fleet>) {
    let now = fleet.now();
    let own = u32::from(fleet.boot.ip);
    let members = Members::new(own, now, fleet.boot.seeds.iter().map(|s| u32::from(*s.ip())));
    let mut following = Following { members, read: now, sequence: 0, compared: now };
    loop {
        following.read_seeds(&fleet);
        if let Some(ip) = following.members.choose(fleet.now()) {
            if let Err(e) = following.follow(&fleet, ip).await {
                debug!("control {}: {e}", Ipv4Addr::from(ip));
            }
            following.members.failed(fleet.now(), ip);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

impl Following {
    /// Takes the seeds of the boot file, which may have changed, while no process in touch answers.
    fn read_seeds(&mut self, fleet: &Fleet) {
        let now = fleet.now();
        let lost = fleet.fresh_at.get().is_none_or(|at| now >= at + LOST);
        if !lost || now < self.read + LOST {
            return;
        }
        self.read = now;
        // A file that cannot be read now is read again.
        if let Ok(boot) = BootSettings::read() {
            self.members.name(now, boot.seeds.iter().map(|s| u32::from(*s.ip())));
        }
    }

    /// Pulls from one process until it fails or is not in touch with a majority.
    async fn follow(&mut self, fleet: &Rc<Fleet>, ip: u32) -> Result<(), LinkError> {
        let address = fleet.boot.control_process(ip);
        let mut caller = Caller::open(address, CONNECT).await?;
        let mut wait = 0;
        loop {
            let now = fleet.now();
            self.sequence += 1;
            let compares = now >= self.compared + COMPARE;
            if compares {
                self.compared = now;
            }
            let request = pull(fleet, self.sequence, Lifecycle::Ready, wait, compares);
            let time = ANSWER + Duration::from_millis(u64::from(wait));
            let Reply::Pull(reply) = caller.call(&request, time).await? else { return Ok(()) };
            if wait == 0 && reply.fresh {
                info!("follows control {}", address.ip());
            }
            wait = WAIT;
            let fresh = reply.fresh;
            take(fleet, &mut self.members, *reply);
            if !fresh {
                return Ok(());
            }
        }
    }
}

fn pull(fleet: &Fleet, sequence: u64, lifecycle: Lifecycle, wait_ms: u32, compares: bool) -> Request {
    let (vector, mut digests) = fleet.catalog_state();
    if !compares {
        digests.clear();
    }
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
    members.name(now, reply.members.iter().copied());
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
}

/// Says that this proxy leaves.
pub async fn farewell(fleet: Rc<Fleet>) {
    let Some(leader) = fleet.leader.get() else { return };
    let address = fleet.boot.control_process(leader);
    let Ok(mut caller) = Caller::open(address, FAREWELL).await else { return };
    // Without this call the lease runs out by itself.
    let _ = caller.call(&pull(&fleet, u64::MAX, Lifecycle::Gone, 0, false), FAREWELL).await;
}
