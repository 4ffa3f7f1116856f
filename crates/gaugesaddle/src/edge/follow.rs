//! Follows the control plane: the calls of this proxy's [`Follower`](gaugesaddle_distribution::Follower).

use super::fleet::Fleet;
use gaugesaddle_config::BootSettings;
use gaugesaddle_protocol::{Lifecycle, Reply, Request};
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
/// A large answer may take so much longer to come; one that is read later still is void, in ms.
const TRANSFER: u64 = 4000;
/// Pause before another process is asked.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for the last call.
const FAREWELL: Duration = Duration::from_millis(300);

/// Runs for as long as the process lives.
pub async fn run(fleet: Rc<Fleet>) {
    loop {
        read_seeds(&fleet);
        let chosen = fleet.follower.borrow().choose(fleet.now());
        if let Some(ip) = chosen {
            if let Err(e) = follow(&fleet, ip).await {
                debug!("control {}: {:#}", Ipv4Addr::from(ip), eyre::Report::new(e));
            }
            fleet.follower.borrow_mut().record_failure(fleet.now(), ip);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Takes the seeds of the boot file, which may have changed, while no process in touch answers.
fn read_seeds(fleet: &Fleet) {
    let now = fleet.now();
    if !fleet.follower.borrow_mut().needs_discovery(now) {
        return;
    }
    // A file that cannot be read now is read again.
    if let Ok(boot) = BootSettings::read() {
        let seeds = boot.seeds.iter().map(|s| u32::from(*s.ip()));
        fleet.follower.borrow_mut().add_seeds(now, seeds);
    }
}

/// Pulls from one process until it fails or is not in touch with a majority.
async fn follow(fleet: &Rc<Fleet>, ip: u32) -> Result<(), LinkError> {
    let address = fleet.boot.control_process(ip);
    let mut caller = Caller::open(address, CONNECT).await?;
    let mut wait = 0;
    loop {
        let asked = fleet.now();
        let time = ANSWER + Duration::from_millis(u64::from(wait));
        let Reply::Pull(reply) = caller.call(&pull(fleet, Lifecycle::Ready, wait), time).await? else {
            return Ok(());
        };
        if wait == 0 && reply.fresh {
            info!("follows control {}", address.ip());
        }
        if !fleet.take(asked, time.as_millis() as u64 + TRANSFER, *reply) {
            return Ok(());
        }
        wait = WAIT;
    }
}

fn pull(fleet: &Fleet, lifecycle: Lifecycle, wait_ms: u32) -> Request {
    Request::Pull(Box::new(fleet.follower.borrow_mut().pull(fleet.now(), lifecycle, wait_ms)))
}

/// Says that this proxy leaves.
pub async fn farewell(fleet: Rc<Fleet>) {
    let Some(leader) = fleet.follower.borrow().leader() else { return };
    let address = fleet.boot.control_process(leader);
    let Ok(mut caller) = Caller::open(address, FAREWELL).await else { return };
    // Without this call the lease runs out by itself.
    let _ = caller.call(&pull(&fleet, Lifecycle::Departed, 0), FAREWELL).await;
}
