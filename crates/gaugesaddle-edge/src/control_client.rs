//! Pulls configuration and registrations from the control plane, for this proxy's
//! [`Follower`](gaugesaddle_distribution::Follower).
//!
//! The proxy follows one control process. While that one is silent, others are called beside it
//! ([`CallSet`](gaugesaddle_distribution::CallSet)); the first one with a fresh reply is followed from then on.

mod connection;

use crate::state::EdgeState;
use connection::{AddressesWithoutCompression, Connection};
use gaugesaddle_config::BootSettings;
use gaugesaddle_distribution::CallSet;
use gaugesaddle_protocol::{Lifecycle, Reply, Request};
use gaugesaddle_transport::{Caller, LinkError};
use spdlog::{info, warn};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time for which a control process without changes delays its reply (long polling), in ms.
const LONG_POLL_MS: u32 = 350;
/// Timeout for the reply to begin, in addition to the long-polling delay.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Additional time for the transfer of a large reply, in ms; a reply that is processed later is discarded.
const MAX_TRANSFER_MS: u64 = 4000;
/// Delay before the next control process is called where none has replied.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Timeout of the call that deregisters this proxy.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// The calls of one round, which ends with the first fresh reply.
struct Round {
    state: Rc<EdgeState>,
    calls: Rc<RefCell<CallSet>>,
    tasks: JoinSet<CallOutcome>,
    without_compression: Rc<RefCell<AddressesWithoutCompression>>,
}

/// A call to make beside those in flight, at a time in milliseconds of the monotonic clock.
#[derive(Clone, Copy)]
struct NextCall {
    ip: u32,
    at_ms: u64,
}

/// The outcome of one call to the control process `ip`.
struct CallOutcome {
    ip: u32,
    /// It was the first call on its connection.
    is_first: bool,
    /// The connection if the process gave a fresh reply, which has been applied; `None` if it is not in contact with a
    /// majority.
    result: Result<Option<Connection>, LinkError>,
}

/// Runs until the task is aborted.
pub async fn run(state: Rc<EdgeState>) {
    let without_compression = Rc::new(RefCell::default());
    let mut followed = None;
    loop {
        refresh_seeds(&state);
        let round = Round {
            state: state.clone(),
            calls: Rc::default(),
            tasks: JoinSet::new(),
            without_compression: Rc::clone(&without_compression),
        };
        followed = round.run(followed).await;
        if followed.is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

impl Round {
    /// Calls the `followed` process, and others while it is silent. Returns the connection to the first one with a fresh
    /// reply; `None` if each call has failed.
    async fn run(mut self, followed: Option<Connection>) -> Option<Connection> {
        match followed {
            Some(connection) => self.call(connection.ip(), Some(connection)),
            None => {
                let ip = self.candidate()?;
                self.call(ip, None);
            }
        }
        while !self.tasks.is_empty() {
            let next_call = self.next_call();
            tokio::select! {
                Some(outcome) = self.tasks.join_next() => {
                    // A task fails only if it panics.
                    let Ok(outcome) = outcome else { continue };
                    if let Some(connection) = self.end_call(outcome) {
                        return Some(connection);
                    }
                }
                ip = due(&self.state, next_call) => self.call(ip, None),
            }
        }
        None
    }

    /// The best process that is not being called yet.
    fn candidate(&self) -> Option<u32> {
        let called: Vec<u32> = self.calls.borrow().called().collect();
        self.state.follower.borrow().choose_except(self.state.now(), &called)
    }

    /// The process to call next beside those that are being called; `None` if there is no other, or none is to be called.
    fn next_call(&self) -> Option<NextCall> {
        let at_ms = self.calls.borrow().next_call_ms()?;
        Some(NextCall { ip: self.candidate()?, at_ms })
    }

    fn call(&mut self, ip: u32, connection: Option<Connection>) {
        let is_first = connection.is_none();
        let wait_ms = if is_first { 0 } else { LONG_POLL_MS };
        self.calls.borrow_mut().begin(self.state.now(), ip, u64::from(wait_ms));
        let (state, calls) = (self.state.clone(), self.calls.clone());
        let without_compression = self.without_compression.clone();
        self.tasks.spawn_local(async move {
            let result = async {
                let mut connection = match connection {
                    Some(connection) => connection,
                    None => Connection::open(&state, ip, &without_compression).await?,
                };
                let is_fresh = pull(&state, &mut connection, wait_ms, &calls).await?;
                Ok(is_fresh.then_some(connection))
            };
            CallOutcome { ip, is_first, result: result.await }
        });
    }

    /// Records the outcome of a call. Returns the connection to follow after a fresh reply.
    fn end_call(&mut self, outcome: CallOutcome) -> Option<Connection> {
        let CallOutcome { ip, is_first, result } = outcome;
        let now = self.state.now();
        self.calls.borrow_mut().end(ip);
        match result {
            Ok(Some(connection)) => {
                let mut follower = self.state.follower.borrow_mut();
                if follower.source() != Some(ip) {
                    info!("pulling configuration from control process {}", Ipv4Addr::from(ip));
                }
                for silent in self.calls.borrow_mut().abandon_all(now) {
                    info!("abandoning control process {}: no reply has begun", Ipv4Addr::from(silent));
                    follower.record_failure(now, silent);
                }
                follower.record_source(ip);
                return Some(connection);
            }
            Ok(None) => {}
            Err(e) => {
                if is_first && e.is_closed_by_peer() {
                    self.without_compression.borrow_mut().record_closed(now, ip);
                }
                log_malformed(&self.state, ip, &e);
                log_abandoned(&self.state, ip, e);
            }
        }
        self.state.follower.borrow_mut().record_failure(now, ip);
        None
    }
}

/// Returns the process to call once the call is due; never without one.
async fn due(state: &EdgeState, next_call: Option<NextCall>) -> u32 {
    match next_call {
        Some(NextCall { ip, at_ms }) => {
            tokio::time::sleep_until(state.clock.instant(at_ms)).await;
            ip
        }
        None => std::future::pending().await,
    }
}

/// Pulls once and applies the reply. Returns whether the process is in contact with a majority.
async fn pull(
    state: &EdgeState, connection: &mut Connection, wait_ms: u32, calls: &RefCell<CallSet>,
) -> Result<bool, LinkError> {
    let called_at = state.now();
    let timeout = ANSWER_TIMEOUT + Duration::from_millis(u64::from(wait_ms));
    let request = pull_request(state, Lifecycle::Ready, wait_ms);
    let ip = connection.ip();
    let record_begun = || calls.borrow_mut().record_begun(ip);
    let reply = connection.caller().call_and_notify(&request, timeout, record_begun).await?;
    let Reply::Pull(reply) = reply else { return Ok(false) };
    let valid_ms = timeout.as_millis() as u64 + MAX_TRANSFER_MS;
    Ok(state.apply_pull_reply(called_at, valid_ms, *reply))
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
