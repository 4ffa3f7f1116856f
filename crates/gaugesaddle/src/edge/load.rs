//! Reports what this proxy sees of the backends' load, and hears what all proxies see.

use super::fleet::Fleet;
use gaugesaddle_inference::warmth;
use gaugesaddle_protocol::{Reply, Request};
use gaugesaddle_transport::Caller;
use std::rc::Rc;
use std::time::Duration;

/// Between two reports while there is anything to report: a backend that reads some 70 tokens a millisecond is through
/// with a few prompts meanwhile. Half of it costs twice as many calls.
const PERIOD: Duration = Duration::from_millis(100);
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(200);
/// Time for an answer.
const ANSWER: Duration = Duration::from_millis(300);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(200);

/// The number by which a backend is reported.
pub fn number(identity: u64) -> u32 {
    identity as u32
}

/// Work that was sent to a backend, until its answer has begun or it has failed: what is dropped then.
pub struct WorkInFlight {
    fleet: Rc<Fleet>,
    backend: u32,
    sent: u64,
    work: f64,
}

impl WorkInFlight {
    /// Sends work to a backend.
    pub fn begin(fleet: &Rc<Fleet>, identity: u64, work: f64) -> WorkInFlight {
        let (backend, sent) = (number(identity), fleet.now());
        fleet.loads.borrow_mut().begin(sent, backend, work);
        fleet.loaded.notify_one();
        WorkInFlight { fleet: fleet.clone(), backend, sent, work }
    }
}

impl Drop for WorkInFlight {
    fn drop(&mut self) {
        self.fleet.loads.borrow_mut().end(self.backend, self.sent, self.work);
    }
}

/// Runs for as long as the process lives.
pub async fn run(fleet: Rc<Fleet>) {
    let name = warmth::identity(&fleet.proxy);
    let mut caller: Option<Caller> = None;
    loop {
        if !fleet.loads.borrow_mut().wants_to_report(fleet.now()) {
            fleet.loaded.notified().await;
        }
        caller = call(&fleet, caller.take(), name).await;
        tokio::time::sleep(if caller.is_some() { PERIOD } else { RETRY }).await;
    }
}

/// One report; the connection, if it can be used again.
async fn call(fleet: &Fleet, caller: Option<Caller>, proxy: u64) -> Option<Caller> {
    let ip = fleet.follower.borrow().choose(fleet.now())?;
    let address = fleet.boot.control_process(ip);
    let mut caller = match caller.filter(|c| c.address() == address) {
        Some(caller) => caller,
        None => Caller::open(address, CONNECT).await.ok()?,
    };
    let reported_at = fleet.now();
    let loads = fleet.loads.borrow_mut().report(reported_at);
    match caller.call(&Request::Load { proxy, loads }, ANSWER).await.ok()? {
        Reply::Load { loads } => {
            fleet.loads.borrow_mut().record_sums(reported_at, loads);
            Some(caller)
        }
        _ => None,
    }
}
