//! Pulls configuration and registrations from the control plane, for this proxy's
//! [`Follower`](gaugesaddle_distribution::Follower).

use crate::state::EdgeState;
use gaugesaddle_config::BootSettings;
use gaugesaddle_protocol::{Lifecycle, Reply, Request};
use gaugesaddle_transport::{Caller, LinkError};
use spdlog::{info, warn};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a control process without changes delays its reply (long polling), in ms.
const LONG_POLL_MS: u32 = 350;
/// Timeout for the reply to begin, in addition to the long-polling delay.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Additional time for the transfer of a large reply, in ms; a reply that is processed later is discarded.
const MAX_TRANSFER_MS: u64 = 4000;
/// Delay before the next control process is called.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of the call that deregisters this proxy.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs until the task is aborted.
pub async fn run(state: Rc<EdgeState>) {
    loop {
        refresh_seeds(&state);
        let chosen = state.follower.borrow().choose(state.now());
        if let Some(ip) = chosen {
            if let Err(e) = follow(&state, ip).await {
                log_malformed(&state, ip, &e);
                log_abandoned(&state, ip, e);
            }
            state.follower.borrow_mut().record_failure(state.now(), ip);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Logs that this proxy abandons a control process, with the configuration in force and the age of its proof.
fn log_abandoned(state: &EdgeState, ip: u32, error: LinkError) {
    let revision = state.routing_table().map_or(0, |table| table.revision);
    let proof = match state.follower.borrow().proof_age_ms(state.now()) {
        Some(age_ms) => format!("proven current {age_ms} ms ago"),
        None => "not proven current".to_owned(),
    };
    let reason = eyre::Report::new(error);
    info!("abandoning control process {}: {reason:#}; revision {revision}, {proof}", Ipv4Addr::from(ip));
}

/// Logs a reply that cannot be decoded, at most once per minute and process: the address is served by an incompatible build
/// or by another protocol.
fn log_malformed(state: &EdgeState, ip: u32, error: &LinkError) {
    if let Some(line) = state.malformed_messages.borrow_mut().log_line(state.now(), ip, error) {
        warn!("{line}");
    }
}

/// Reads the seeds from the boot file again, which may have changed, if no control process in contact with a majority
/// replies.
fn refresh_seeds(state: &EdgeState) {
    let now = state.now();
    if !state.follower.borrow_mut().needs_discovery(now) {
        return;
    }
    // If the file cannot be read now, the next attempt follows when discovery is due again.
    if let Ok(boot) = BootSettings::read() {
        let seeds = boot.seeds.iter().map(|seed| u32::from(*seed.ip()));
        state.follower.borrow_mut().add_seeds(now, seeds);
    }
}

/// Pulls from one control process until a call fails or the process has lost contact with a majority.
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
            info!("pulling configuration from control process {}", address.ip());
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

/// Announces to the leader that this proxy is leaving.
pub async fn deregister(state: Rc<EdgeState>) {
    let Some(leader) = state.follower.borrow().leader() else { return };
    let address = state.boot.control_process_address(leader);
    let Ok(mut caller) = Caller::open(address, DEREGISTER_TIMEOUT).await else { return };
    // If this call fails, the registration ends when its lease expires.
    let _ = caller.call(&pull_request(&state, Lifecycle::Departed, 0), DEREGISTER_TIMEOUT).await;
}
