//! Requests and attempts that end while the balancer's actions for them are under way.

use super::open_request::Attempt;
use super::*;
use crate::operations::registry::Bounds;
use crate::serving::body::{CallBody, Payload};
use crate::serving::exchange::{AttemptResult, Call, NewRequest};
use crate::serving::upstream::{Http1, Pool};
use bytes::Bytes;
use gaugesaddle_balancer::{AttemptNo, ClassId};
use hyper::Response;
use std::cell::Cell;
use tokio::sync::oneshot;

/// The balancer may request a further attempt in the tick in which the answer arrived: that attempt must end under its
/// own number.
#[tokio::test]
async fn attempt_dispatched_after_the_answer_ends_under_its_own_number() {
    let clock = Clock::new();
    let (inputs, _inputs_receiver) = mpsc::unbounded_channel();
    let bounds = [Bounds { connections: 8, idle_connections: 1, upstream_sockets: 8, body_bytes: 8 }; 2];
    let registry = Rc::new(Registry::new("n1", &["read".into()], bounds, clock.now()));
    let pool = Rc::new(Pool::new(clock, Micros(1_000_000), Micros(1_000_000), registry.clone()));
    let parts = DriverParts {
        clock,
        config: Config::example(),
        seed: 1,
        open_cap: 8,
        max_backends: 8,
        upstreams: Rc::new(Http1(pool)),
        inputs,
        updates_requested: Rc::default(),
        registry,
        extensions: Vec::new(),
    };
    let mut driver = Driver::new(parts).expect("a valid configuration");
    let (id, (reply, mut answer)) = (RequestId(1), oneshot::channel());
    let body = CallBody::Buffered(Bytes::new());
    let call = Rc::new(Call { head: hyper::Request::new(()), body, is_awaited: Cell::new(true) });
    let deadline = clock.now() + Micros(1_000_000);
    let (class, tenant, work_hint, repeat) = (ClassId(0), None, None, false);
    let received_at = clock.now();
    let (key, source) = (None, 0);
    let arrived = NewRequest {
        id,
        class,
        tenant,
        received_at,
        deadline,
        patience_after_body: None,
        via: None,
        work_hint,
        repeat,
        key,
        source,
        call,
        reply,
    };
    driver.handle_input(Input::Arrived(arrived));
    let sent_at = clock.now();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    let open = driver.requests.get_mut(&id).expect("the request is open");
    open.attempts.insert(AttemptNo(0), Attempt { sent_at, task, row: None });
    open.attempt_count = 1;
    let result =
        AttemptResult { outcome: Outcome::Ok, answer: Some(Response::new(Payload::Buffered(Bytes::new()))) };
    driver.handle_input(Input::AttemptEnded(id, AttemptNo(0), result));
    assert!(matches!(answer.try_recv(), Ok(Answer::Served(_))), "expected the answer to be relayed at once");
    driver.dispatch(clock.now(), id, BackendId(7));
    let Some(Event::AttemptEnded(end)) = driver.events.last() else {
        panic!("expected the end of an attempt")
    };
    let expected = (AttemptNo(1), Outcome::NeverSent, true);
    assert_eq!((end.attempt, end.outcome, end.answered), expected);
    driver.remove_ended();
    assert!(driver.requests.is_empty() && driver.deadlines.is_empty());
}
