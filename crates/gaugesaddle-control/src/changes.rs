//! The operator's orders: checked where they come in, decided by the leader.

use crate::core::CoreHandle;
use gaugesaddle_config::{Findings, OperatorConfig};
use gaugesaddle_consensus::{ProposalResult, Replica};
use gaugesaddle_protocol::{ChangeBody, ChangeReply, Configuration, ConfigurationChange, Reply, Request};
use gaugesaddle_transport::Caller;
use spdlog::info;
use std::time::Duration;

/// Time to reach the leader.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for the leader's answer: the caller goes elsewhere after a second, longer for a large body.
const ANSWER: Duration = Duration::from_millis(900);
/// A large body has a millisecond more for so many bytes.
const BYTES_FOR_MILLISECOND: u64 = 1000;

/// Decides an order that came to any process. It is read there, so that one that cannot be read never travels.
pub async fn submit(core: &CoreHandle, order: ConfigurationChange) -> ChangeReply {
    if let Err(findings) = check(&order.body) {
        return refused(&findings);
    }
    let time = ANSWER + Duration::from_millis(order.body.size() as u64 / BYTES_FOR_MILLISECOND);
    let deciding = async {
        if core.with(|c| c.is_leading()) {
            return decide(core, order).await;
        }
        match ask_leader(core, Request::Change(Box::new(order)), time).await {
            Some(Reply::Change(reply)) => reply,
            _ => ChangeReply::Indeterminate,
        }
    };
    tokio::time::timeout(time, deciding).await.unwrap_or(ChangeReply::Indeterminate)
}

/// What is wrong with an order in itself.
fn check(body: &ChangeBody) -> Result<(), Findings> {
    match body {
        ChangeBody::Full(document) => check_whole(document),
        ChangeBody::Patch(_) => gaugesaddle_consensus::change::read(body).map(|_| ()),
    }
}

fn check_whole(document: &[u8]) -> Result<(), Findings> {
    OperatorConfig::parse(document).map(|_| ())
}

fn refused(findings: &Findings) -> ChangeReply {
    info!("configuration refused: {findings}");
    ChangeReply::Invalid { findings: findings.0.iter().map(ToString::to_string).collect() }
}

/// Decides an order as the leader. It was read by whoever passes it on.
pub async fn decide(core: &CoreHandle, order: ConfigurationChange) -> ChangeReply {
    if core.with(|c| c.is_being_founded()) {
        return ChangeReply::Indeterminate;
    }
    let proposal = core.with(|c| {
        let committed = c.replica.as_ref().and_then(Replica::committed);
        gaugesaddle_consensus::change::proposal(order, committed, check_whole)
    });
    let proposal = match proposal {
        Ok(proposal) => proposal,
        Err(findings) => return refused(&findings),
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

/// The current configuration: `Ok(None)` before the first, `Err` where nobody can tell.
pub async fn get(core: &CoreHandle) -> Result<Option<Configuration>, ()> {
    let reading = async {
        if core.with(|c| c.is_leading()) {
            return core.read().await.map_err(|_| ());
        }
        match ask_leader(core, Request::Read, ANSWER).await {
            Some(Reply::Read(configuration)) => Ok(configuration),
            _ => Err(()),
        }
    };
    tokio::time::timeout(ANSWER, reading).await.unwrap_or(Err(()))
}

async fn ask_leader(core: &CoreHandle, request: Request, time: Duration) -> Option<Reply> {
    let address = core.with(|c| Some(c.boot.control_process(c.leader()?)))?;
    let mut caller = Caller::open(address, CONNECT).await.ok()?;
    caller.call(&request, time).await.ok()
}
