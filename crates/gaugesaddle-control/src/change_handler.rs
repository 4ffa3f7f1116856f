//! Handles operators' configuration changes: the receiving process validates them, the leader decides them.

use crate::core::CoreHandle;
use gaugesaddle_config::{Findings, OperatorConfig};
use gaugesaddle_consensus::{ProposalResult, Replica};
use gaugesaddle_protocol::{ChangeBody, ChangeReply, Configuration, ConfigurationChange, Reply, Request};
use gaugesaddle_transport::Caller;
use spdlog::{info, warn};
use std::time::Duration;
use thiserror::Error;

/// Time-out for connecting to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time-out for the leader's response. Callers try another process after one second, later for a large body.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of bytes of a body that extend the time-out by one millisecond.
const BODY_BYTES_PER_MS: u64 = 1000;

/// No leader responded to a read within the time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("cannot read the configuration: no leader responded in time")]
pub struct LeaderUnavailable;

/// Handles a change received from an operator: decides it as the leader, or forwards it to the leader. The change is
/// validated first, so that an invalid one is never forwarded.
pub async fn submit(core: &CoreHandle, change: ConfigurationChange) -> ChangeReply {
    if let Err(findings) = validate(&change.body) {
        return reject(&findings);
    }
    let timeout = ANSWER_TIMEOUT + Duration::from_millis(change.body.size() as u64 / BODY_BYTES_PER_MS);
    let deciding = async {
        if core.with(|c| c.is_leading()) {
            return decide(core, change).await;
        }
        match call_leader(core, Request::Change(Box::new(change)), timeout).await {
            Some(Reply::Change(reply)) => reply,
            _ => ChangeReply::Indeterminate,
        }
    };
    tokio::time::timeout(timeout, deciding).await.unwrap_or(ChangeReply::Indeterminate)
}

/// Validates a change by itself, without the configuration that it is based on.
fn validate(body: &ChangeBody) -> Result<(), Findings> {
    match body {
        ChangeBody::Full(document) => validate_document(document),
        ChangeBody::Patch(_) => gaugesaddle_consensus::change::parse_revision(body).map(|_| ()),
    }
}

fn validate_document(document: &[u8]) -> Result<(), Findings> {
    let config = OperatorConfig::parse(document)?;
    for warning in config.warnings() {
        warn!("configuration revision {}: {warning}", config.revision);
    }
    Ok(())
}

fn reject(findings: &Findings) -> ChangeReply {
    info!("configuration change rejected: {findings}");
    ChangeReply::Invalid { findings: findings.0.iter().map(ToString::to_string).collect() }
}

/// Decides a change as the leader; the process that received it has validated it.
pub async fn decide(core: &CoreHandle, change: ConfigurationChange) -> ChangeReply {
    if core.with(|c| c.is_bootstrapping()) {
        return ChangeReply::Indeterminate;
    }
    let proposal = core.with(|c| {
        let committed = c.replica.as_ref().and_then(Replica::committed);
        gaugesaddle_consensus::change::proposal(change, committed, validate_document)
    });
    let proposal = match proposal {
        Ok(proposal) => proposal,
        Err(findings) => return reject(&findings),
    };
    match core.propose(proposal).await {
        ProposalResult::Committed => ChangeReply::Applied,
        ProposalResult::Conflict { current } => ChangeReply::Conflict { current },
        ProposalResult::StaleRevision { current } => {
            ChangeReply::Invalid { findings: vec![format!("revision: expected more than {current}")] }
        }
        ProposalResult::Indeterminate => ChangeReply::Indeterminate,
    }
}

/// Reads the committed configuration; `None` before the first one.
///
/// # Errors
///
/// No leader is known, or it did not respond within [`ANSWER_TIMEOUT`].
pub async fn read(core: &CoreHandle) -> Result<Option<Configuration>, LeaderUnavailable> {
    let reading = async {
        if core.with(|c| c.is_leading()) {
            return core.read().await.map_err(|_| LeaderUnavailable);
        }
        match call_leader(core, Request::Read, ANSWER_TIMEOUT).await {
            Some(Reply::Read(configuration)) => Ok(configuration),
            _ => Err(LeaderUnavailable),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, reading).await.unwrap_or(Err(LeaderUnavailable))
}

/// Calls the leader; `None` if no leader is known or the call fails.
async fn call_leader(core: &CoreHandle, request: Request, timeout: Duration) -> Option<Reply> {
    let address = core.with(|c| Some(c.boot.control_process_address(c.leader()?)))?;
    let compression = core.with(|c| c.peers.compression_of(u32::from(*address.ip())));
    let mut caller = Caller::open_with(address, compression, CONNECT_TIMEOUT).await.ok()?;
    caller.call(&request, timeout).await.ok()
}
