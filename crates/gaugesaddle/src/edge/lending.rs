//! Borrows tenants' tokens from the leader.

use super::fleet::Fleet;
use gaugesaddle_protocol::{Reply, Request};
use gaugesaddle_transport::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Time to open a connection to the leader.
const CONNECT: Duration = Duration::from_millis(300);
/// Time for an answer.
const ANSWER: Duration = Duration::from_millis(500);
/// Between two calls while nobody waits.
const PERIOD: Duration = Duration::from_millis(300);
/// Between two calls while requests wait.
const SHORT_PERIOD: Duration = Duration::from_millis(20);

/// Runs for as long as the process lives.
pub async fn run(fleet: Rc<Fleet>) {
    let mut caller: Option<Caller> = None;
    loop {
        let requests = fleet.allowance.borrow_mut().requests(fleet.now());
        if !requests.is_empty() {
            let asked = fleet.now();
            let request = Request::Quota { machine: fleet.boot.node_name.clone(), requests };
            caller = call(&fleet, caller.take(), &request, asked).await;
            fleet.granted.notify_waiters();
        }
        if fleet.allowance.borrow().has_deficit() {
            tokio::time::sleep(SHORT_PERIOD).await;
        } else {
            let _ = tokio::time::timeout(PERIOD, fleet.short.notified()).await;
        }
    }
}

/// One call; the connection, if it can be used again.
async fn call(fleet: &Fleet, caller: Option<Caller>, request: &Request, asked: u64) -> Option<Caller> {
    let address = fleet.boot.control_process(fleet.follower.borrow().leader()?);
    let mut caller = match caller.filter(|c| c.address() == address) {
        Some(caller) => caller,
        None => Caller::open(address, CONNECT).await.ok()?,
    };
    match caller.call(request, ANSWER).await.ok()? {
        Reply::Quota { grants } => {
            fleet.allowance.borrow_mut().record_grants(asked, &grants);
            Some(caller)
        }
        _ => None,
    }
}
