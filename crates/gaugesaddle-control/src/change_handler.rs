//! Handles operators' configuration changes: validated by the process that receives them, decided by the leader.

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
/// Time-out for the leader's answer: the caller tries another process after a second, later for a large body.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The time-out is longer by a millisecond for each so many bytes of a body.
const BODY_BYTES_PER_MS: u64 = 1000;

/// No leader has answered a read in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("reading the configuration: no leader answered")]
pub struct LeaderUnavailable;

/// Decides a change that any process received. It is validated here, so that an invalid one is never forwarded.
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

/// Checks a change by itself, without the configuration that it builds on.
fn validate(body: &ChangeBody) -> Result<(), Findings> {
    match body {
        ChangeBody::Full(document) => validate_document(document),
        ChangeBody::Patch(_) => gaugesaddle_consensus::change::parse_revision(body).map(|_| ()),
    }
}

fn validate_document(document: &[u8]) -> Result<(), Findings> {
    let config = OperatorConfig::parse(document)?;
    for warning in config.warnings() {
        warn!("configuration, revision {}: {warning}", config.revision);
    }
    Ok(())
}

fn reject(findings: &Findings) -> ChangeReply {
    info!("configuration rejected: {findings}");
    ChangeReply::Invalid { findings: findings.0.iter().map(ToString::to_string).collect() }
}

/// Decides a change as the leader; the process that forwarded it has validated it.
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

/// The committed configuration, `None` before the first one.
///
/// # Errors
///
/// No leader is known, or it did not answer within [`ANSWER_TIMEOUT`].
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

/// Calls the leader; `None` where there is none or the call fails.
async fn call_leader(core: &CoreHandle, request: Request, timeout: Duration) -> Option<Reply> {
    let address = core.with(|c| Some(c.boot.control_process_address(c.leader()?)))?;
    let mut caller = Caller::open(address, CONNECT_TIMEOUT).await.ok()?;
    caller.call(&request, timeout).await.ok()
}
