//! Requests tenants' tokens from the leader.

use crate::state::EdgeState;
use gaugesaddle_protocol::{Reply, Request};
use gaugesaddle_transport::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Time to open a connection to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two calls while no request waits for tokens.
const CALL_INTERVAL: Duration = Duration::from_millis(300);
/// Between two calls while requests wait for tokens.
const DEFICIT_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs for as long as the process lives.
pub async fn run(state: Rc<EdgeState>) {
    let mut caller: Option<Caller> = None;
    loop {
        let requests = state.allowance.borrow_mut().requests(state.now());
        if !requests.is_empty() {
            let called_at = state.now();
            let request = Request::Quota { machine: state.boot.node_name.clone(), requests };
            caller = call_leader(&state, caller.take(), &request, called_at).await;
            state.tokens_granted.notify_waiters();
        }
        if state.allowance.borrow().has_deficit() {
            tokio::time::sleep(DEFICIT_CALL_INTERVAL).await;
        } else {
            let _ = tokio::time::timeout(CALL_INTERVAL, state.tokens_needed.notified()).await;
        }
    }
}

/// Makes one call; returns the connection if it can be used again.
async fn call_leader(
    state: &EdgeState, caller: Option<Caller>, request: &Request, called_at: u64,
) -> Option<Caller> {
    let leader = state.follower.borrow().leader()?;
    let address = state.boot.control_process_address(leader);
    let mut caller = Caller::reuse_or_open(caller, address, CONNECT_TIMEOUT).await.ok()?;
    match caller.call(request, ANSWER_TIMEOUT).await.ok()? {
        Reply::Quota { grants } => {
            state.allowance.borrow_mut().record_grants(called_at, &grants);
            Some(caller)
        }
        _ => None,
    }
}
