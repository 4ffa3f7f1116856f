//! One request: from its head to its answer.

use super::body_reader::BodyMemory;
use super::Server;
use crate::operations::event_counters::Reason;
use crate::serving::body::{CallBody, ResponseBody};
use crate::serving::client_connection::{ClientConnection, Phase, BODY_TIMEOUT, MICROS_PER_BODY_BYTE};
use crate::serving::client_socket::ClientSocket;
use crate::serving::exchange::{Answer, Call, Input, NewRequest, Rejection};
use crate::serving::request_rules::{check_framing, InvalidRequest, RequestAttributes};
use bytes::Bytes;
use gaugesaddle_balancer::{Micros, RequestId, Time};
use gaugesaddle_federation::Via;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The path of the platform's readiness check.
const READY_PATH: &str = "/-/ready";
/// Maximum time for the upload of a streamed body, unless its length implies a shorter one.
const MAX_UPLOAD: Micros = Micros(30_000_000);
/// Ticks between the answer to a client and the end of its patience, for the network delay in both directions.
const ANSWER_MARGIN_TICKS: u64 = 2;

/// A request that was submitted to the driver. If it is dropped before its answer, its client has disconnected.
struct PendingAnswer<'a> {
    request: RequestId,
    id: HeaderValue,
    call: Rc<Call>,
    server: &'a Server,
    is_answered: bool,
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        self.server.open_ids.borrow_mut().remove(&self.id);
        if !self.is_answered {
            // The client counts as disconnected from now on, not only when the driver receives the input.
            self.call.is_awaited.set(false);
            let _ = self.server.inputs.send(Input::ClientDisconnected(self.request));
        }
    }
}

impl Server {
    /// Answers one request of a connection.
    pub(super) async fn handle(
        &self, request: Request<Incoming>, connection: &Rc<ClientConnection>, is_invalid: &Cell<bool>,
        socket: &ClientSocket,
    ) -> Result<Response<ResponseBody>, Infallible> {
        connection.phase.set(Phase::Reading(self.clock.now()));
        let length = request.body().size_hint().exact();
        let version = request.version();
        let answer = self.answer(request, connection, socket).await;
        let has_next = socket.begin_next_message(length);
        // A streamed answer reports its own end.
        if !answer.as_ref().is_ok_and(|answer| answer.body().is_streaming()) {
            connection.phase.set(Phase::Idle(self.clock.now()));
        }
        connection.requests.set(connection.requests.get().saturating_add(1));
        is_invalid.set(answer.is_err());
        let mut answer = answer.unwrap_or_else(|InvalidRequest(status, text, reason)| {
            self.registry.event_counters.count(reason);
            text_response(status, text)
        });
        if is_invalid.get() && answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        if is_close_delimited(version, &answer) {
            socket.begin_close_delimited_answer();
        }
        self.limit_idle();
        // A request that arrived together with this one is still served.
        let is_last = !self.registry.lifecycle().accepts_clients() && !has_next;
        if is_last || is_invalid.get() || connection.close_requested.get().is_some() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn answer(
        &self, request: Request<Incoming>, connection: &Rc<ClientConnection>, socket: &ClientSocket,
    ) -> Result<Response<ResponseBody>, InvalidRequest> {
        let received_at = self.clock.now();
        let (head, body) = request.into_parts();
        let length = body.size_hint().exact();
        check_framing(&head, length, socket)?;
        if head.uri.path() == READY_PATH && length == Some(0) {
            return Ok(self.readiness());
        }
        let attributes = self.rules.read(&head, length)?;
        let mut memory = BodyMemory::new(self);
        let body = self.read_body(body, connection, received_at, &mut memory).await?;
        if self.is_open(&attributes.id) {
            return Err(duplicate_id());
        }
        connection.phase.set(Phase::InService);
        let answer = self.submit(attributes, head, body, connection.source, None).await?;
        Ok(match answer {
            Answer::Served(answer) => {
                let (connection, clock) = (connection.clone(), self.clock);
                let done = move || connection.phase.set(Phase::Idle(clock.now()));
                answer.map(|payload| ResponseBody::new(payload, done))
            }
            Answer::Rejected(rejection) => self.rejection(rejection, connection),
            Answer::Failed => {
                self.registry.event_counters.count(Reason::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
        })
    }

    fn readiness(&self) -> Response<ResponseBody> {
        if self.registry.is_ready() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Whether a request with that id is open.
    fn is_open(&self, id: &HeaderValue) -> bool {
        self.open_ids.borrow().contains(id)
    }

    /// Submits a request to the driver and waits for its only answer. If the future is dropped before that, the client
    /// counts as disconnected. `source`: the source of a request without an account; `via`: the regions that it was
    /// forwarded through.
    ///
    /// # Errors
    /// A request with the same id is open.
    pub async fn submit(
        &self, attributes: RequestAttributes, head: Parts, body: CallBody, source: u64, via: Option<Via>,
    ) -> Result<Answer, InvalidRequest> {
        if !self.open_ids.borrow_mut().insert(attributes.id.clone()) {
            return Err(duplicate_id());
        }
        let now = self.clock.now();
        let request = RequestId(self.next_number());
        let (reply, answer) = oneshot::channel();
        // A client's patience counts from its last byte, which may not have been received yet.
        let patience = Micros(attributes.remaining.0.saturating_sub(ANSWER_MARGIN_TICKS * self.tick.0));
        let mut call = Call { head: forwarded_head(head), body, is_awaited: Cell::new(true) };
        let (deadline, patience_after_body) = self.deadline(request, now, patience, &mut call.body);
        let call = Rc::new(call);
        let id = attributes.id;
        let mut pending = PendingAnswer { request, id, call: call.clone(), server: self, is_answered: false };
        let _ = self.inputs.send(Input::Arrived(NewRequest {
            id: request,
            class: attributes.class,
            tenant: attributes.tenant,
            received_at: now,
            deadline,
            patience_after_body,
            work_hint: attributes.work_hint,
            repeat: attributes.repeat,
            key: attributes.key,
            source: attributes.source.unwrap_or(source),
            via,
            call,
            reply,
        }));
        let answer = answer.await;
        pending.is_answered = true;
        Ok(answer.unwrap_or(Answer::Failed))
    }

    /// The deadline of a request, and its client's patience after its last byte if that was not received yet.
    fn deadline(
        &self, request: RequestId, now: Time, patience: Micros, body: &mut CallBody,
    ) -> (Time, Option<Micros>) {
        let CallBody::Streaming(body) = body else { return (now + patience, None) };
        let mut upload = MAX_UPLOAD;
        if let Some(body) = body.get_mut() {
            let inputs = self.inputs.clone();
            body.on_complete = Some(Box::new(move || _ = inputs.send(Input::BodyComplete(request))));
            if let Some(rest) = body.rest.size_hint().exact() {
                upload = upload.min(Micros(BODY_TIMEOUT.0 + (rest as f64 * MICROS_PER_BODY_BYTE) as u64));
            }
        }
        (now + upload + patience, Some(patience))
    }

    fn rejection(&self, rejection: Rejection, connection: &ClientConnection) -> Response<ResponseBody> {
        self.registry.event_counters.count(if rejection.over_open_cap {
            Reason::OpenCapRejection
        } else {
            Reason::BalancerRejection
        });
        let status =
            if rejection.by_client { StatusCode::TOO_MANY_REQUESTS } else { StatusCode::SERVICE_UNAVAILABLE };
        let mut answer = text_response(status, "refused");
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(rejection.retry_after_s));
        // In a retry storm open connections are scarcer than new ones: half of them remain for clients that are served.
        let is_half_used = self.connections.borrow().len() > self.registry.bounds().connections / 2;
        if self.registry.storm.get().is_damping() && is_half_used {
            connection.request_close(self.clock.now(), Reason::ClosedRetryStorm);
        }
        answer
    }
}

/// Whether the end of an answer to a request of that version is the close of the connection (RFC 9112, section 6.3).
fn is_close_delimited(version: Version, answer: &Response<ResponseBody>) -> bool {
    let has_length = answer.headers().contains_key(CONTENT_LENGTH) || !answer.body().is_streaming();
    version == Version::HTTP_10 && !has_length
}

/// The head that is sent to backends.
fn forwarded_head(mut head: Parts) -> Request<()> {
    gaugesaddle_http_connection::strip_connection_headers(&mut head.headers);
    let mut request = Request::new(());
    *request.method_mut() = head.method;
    *request.uri_mut() = head.uri.path_and_query().map(|path| path.clone().into()).unwrap_or_default();
    *request.headers_mut() = head.headers;
    request
}

fn duplicate_id() -> InvalidRequest {
    let text = "X-Correlation-Id: that of a request that is open";
    InvalidRequest(StatusCode::CONFLICT, text, Reason::DuplicateId)
}

/// A response with a short text.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}
