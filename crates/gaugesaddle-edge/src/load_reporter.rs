//! Reports what this proxy sees of the backends' load, and receives what all proxies see.

use crate::state::EdgeState;
use gaugesaddle_inference::affinity;
use gaugesaddle_protocol::{Reply, Request};
use gaugesaddle_transport::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Between two reports while there is anything to report. A backend that reads some 70 tokens a millisecond finishes a few
/// prompts in this time; half of it costs twice as many calls.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The number under which a backend is reported: the low half of its identity.
pub fn backend_number(identity: u64) -> u32 {
    identity as u32
}

/// Work that was sent to a backend; it counts as backlog until this is dropped, when the response begins or the attempt
/// fails.
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

/// Runs for as long as the process lives.
pub async fn run(state: Rc<EdgeState>) {
    let proxy = affinity::identity(&state.proxy_id);
    let mut caller: Option<Caller> = None;
    loop {
        if !state.load_view.borrow_mut().wants_to_report(state.now()) {
            state.load_changed.notified().await;
        }
        caller = report(&state, caller.take(), proxy).await;
        let delay = if caller.is_some() { REPORT_INTERVAL } else { RETRY_DELAY };
        tokio::time::sleep(delay).await;
    }
}

/// Sends one report; returns the connection if it can be used again.
async fn report(state: &EdgeState, caller: Option<Caller>, proxy: u64) -> Option<Caller> {
    let ip = state.follower.borrow().choose(state.now())?;
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
