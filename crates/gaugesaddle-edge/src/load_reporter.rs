//! Reports the load of the backends that this proxy observes, and receives the sums over all proxies.

use crate::state::EdgeState;
use gaugesaddle_inference::affinity;
use gaugesaddle_protocol::{Reply, Request};
use gaugesaddle_transport::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reports while there is load to report. A backend that processes about 70 prompt tokens per millisecond
/// finishes a few prompts within one interval; half the interval would double the number of calls.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The number that identifies a backend in load reports: the lower 32 bits of the hash of its ID.
pub fn backend_number(identity: u64) -> u32 {
    identity as u32
}

/// Work sent to a backend. It counts as the backend's backlog until this is dropped, when the response body begins or the
/// attempt fails.
pub struct WorkInFlight {
    state: Rc<EdgeState>,
    backend: u32,
    sent_at: u64,
    /// In tokens.
    work: f64,
}

impl WorkInFlight {
    /// Adds work that is about to be sent to a backend.
    pub fn begin(state: &Rc<EdgeState>, identity: u64, work: f64) -> WorkInFlight {
        let backend = backend_number(identity);
        let sent_at = state.now();
        state.load_view.borrow_mut().begin(sent_at, backend, work);
        state.load_changed.notify_one();
        WorkInFlight { state: state.clone(), backend, sent_at, work }
    }
}

impl Drop for WorkInFlight {
    fn drop(&mut self) {
        self.state.load_view.borrow_mut().end(self.backend, self.sent_at, self.work);
    }
}

/// Runs until the process exits.
pub async fn run(state: Rc<EdgeState>) {
    let proxy = affinity::identity(&state.proxy_id);
    let mut caller: Option<Caller> = None;
    loop {
        if !state.load_view.borrow_mut().is_report_due(state.now()) {
            state.load_changed.notified().await;
        }
        caller = report(&state, caller.take(), proxy).await;
        let delay = if caller.is_some() { REPORT_INTERVAL } else { RETRY_DELAY };
        tokio::time::sleep(delay).await;
    }
}

/// Sends one report; returns the connection if it can be reused.
async fn report(state: &EdgeState, caller: Option<Caller>, proxy: u64) -> Option<Caller> {
    let ip = state.follower.borrow().source()?;
    let address = state.boot.control_process_address(ip);
    let mut caller = Caller::reuse_or_open(caller, address, CONNECT_TIMEOUT).await.ok()?;
    let reported_at = state.now();
    let loads = state.load_view.borrow_mut().report(reported_at);
    match caller.call(&Request::Load { proxy, loads }, ANSWER_TIMEOUT).await.ok()? {
        Reply::Load { loads } => {
            state.load_view.borrow_mut().record_sums(reported_at, loads);
            Some(caller)
        }
        _ => None,
    }
}
