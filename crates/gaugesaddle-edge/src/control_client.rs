//! Follows the control plane: makes the calls of this proxy's [`Follower`](gaugesaddle_distribution::Follower).

use crate::state::EdgeState;
use gaugesaddle_config::BootSettings;
use gaugesaddle_protocol::{Lifecycle, Reply, Request};
use gaugesaddle_transport::{Caller, LinkError};
use spdlog::{debug, info, warn};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A control process without changes delays its answer for this long, in ms.
const LONG_POLL_MS: u32 = 350;
/// Time for an answer to begin beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// A large answer may take this much longer to arrive; one that is read later still is discarded, in ms.
const MAX_TRANSFER_MS: u64 = 4000;
/// Time before another process is called.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time for the call that announces the end of this proxy.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs until the task is aborted.
pub async fn run(state: Rc<EdgeState>) {
    loop {
        refresh_seeds(&state);
        let chosen = state.follower.borrow().choose(state.now());
        if let Some(ip) = chosen {
            if let Err(e) = follow(&state, ip).await {
                log_malformed(&state, ip, &e);
                debug!("control process {}: {:#}", Ipv4Addr::from(ip), eyre::Report::new(e));
            }
            state.follower.borrow_mut().record_failure(state.now(), ip);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Logs an answer that could not be read, once a process and minute: another build serves there, or another protocol.
fn log_malformed(state: &EdgeState, ip: u32, error: &LinkError) {
    if let Some(line) = state.malformed_messages.borrow_mut().log_line(state.now(), ip, error) {
        warn!("{line}");
    }
}

/// Reads the seeds of the boot file again, which may have changed, while no process in contact with a majority answers.
fn refresh_seeds(state: &EdgeState) {
    let now = state.now();
    if !state.follower.borrow_mut().needs_discovery(now) {
        return;
    }
    // A file that cannot be read now is read again later.
    if let Ok(boot) = BootSettings::read() {
        let seeds = boot.seeds.iter().map(|seed| u32::from(*seed.ip()));
        state.follower.borrow_mut().add_seeds(now, seeds);
    }
}

/// Pulls from one process until it fails or has lost contact with a majority.
async fn follow(state: &Rc<EdgeState>, ip: u32) -> Result<(), LinkError> {
    let address = state.boot.control_process_address(ip);
    let mut caller = Caller::open(address, CONNECT_TIMEOUT).await?;
    let mut wait_ms = 0;
    loop {
        let called_at = state.now();
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(u64::from(wait_ms));
        let request = pull_request(state, Lifecycle::Ready, wait_ms);
        let Reply::Pull(reply) = caller.call(&request, timeout).await? else { return Ok(()) };
        if wait_ms == 0 && reply.fresh {
            info!("follows control process {}", address.ip());
        }
        let valid_ms = timeout.as_millis() as u64 + MAX_TRANSFER_MS;
        if !state.apply_pull_reply(called_at, valid_ms, *reply) {
            return Ok(());
        }
        wait_ms = LONG_POLL_MS;
    }
}

fn pull_request(state: &EdgeState, lifecycle: Lifecycle, wait_ms: u32) -> Request {
    Request::Pull(Box::new(state.follower.borrow_mut().pull(state.now(), lifecycle, wait_ms)))
}

/// Announces to the leader that this proxy leaves.
pub async fn deregister(state: Rc<EdgeState>) {
    let Some(leader) = state.follower.borrow().leader() else { return };
    let address = state.boot.control_process_address(leader);
    let Ok(mut caller) = Caller::open(address, DEREGISTER_TIMEOUT).await else { return };
    // If this call fails the lease runs out.
    let _ = caller.call(&pull_request(&state, Lifecycle::Departed, 0), DEREGISTER_TIMEOUT).await;
}
