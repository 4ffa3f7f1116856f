//! The operator's orders: checked where they come in, decided by the leader.

use crate::core::CoreHandle;
use gaugesaddle_config::operator::OperatorConfig;
use gaugesaddle_consensus::{Proposal, ProposalResult};
use gaugesaddle_protocol::{Configuration, Order, OrderReply, Reply, Request};
use gaugesaddle_transport::Caller;
use spdlog::info;
use std::time::Duration;

/// Time to reach the leader.
const CONNECT: Duration = Duration::from_millis(400);
/// Time for the leader's answer: the caller goes elsewhere after a second, longer for a large body.
const ANSWER: Duration = Duration::from_millis(900);
/// A large body has a millisecond more for so many bytes.
const BYTES_FOR_MILLISECOND: u64 = 1000;

/// Decides an order that came to any process.
pub async fn put(core: &CoreHandle, base: u64, document: Vec<u8>) -> OrderReply {
    if let Err(findings) = OperatorConfig::parse(&document) {
        info!("configuration refused: {findings}");
        return OrderReply::Invalid { findings: findings.0.iter().map(ToString::to_string).collect() };
    }
    let time = ANSWER + Duration::from_millis(document.len() as u64 / BYTES_FOR_MILLISECOND);
    let order = Order { base, document };
    let deciding = async {
        if core.with(|c| c.is_leading()) {
            return decide(core, order).await;
        }
        match ask_leader(core, Request::Order(Box::new(order)), time).await {
            Some(Reply::Order(reply)) => reply,
            _ => OrderReply::Unclear,
        }
    };
    tokio::time::timeout(time, deciding).await.unwrap_or(OrderReply::Unclear)
}

/// Decides an order as the leader. The document was checked by whoever passes it on.
pub async fn decide(core: &CoreHandle, order: Order) -> OrderReply {
    let Some(revision) = revision_of(&order.document) else {
        return OrderReply::Invalid { findings: vec!["revision: expected a whole number".to_owned()] };
    };
    if core.with(|c| c.is_being_founded()) {
        return OrderReply::Unclear;
    }
    match core.propose(Proposal::new(order.base, revision, order.document)).await {
        ProposalResult::Taken => OrderReply::Taken,
        ProposalResult::Conflict { current } => OrderReply::Conflict { current },
        ProposalResult::NotAbove { current } => {
            OrderReply::Invalid { findings: vec![format!("revision: expected more than {current}")] }
        }
        ProposalResult::Unclear => OrderReply::Unclear,
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

fn revision_of(document: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Revision {
        revision: u64,
    }
    serde_json::from_slice::<Revision>(document).ok().map(|r| r.revision)
}
