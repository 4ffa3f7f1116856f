//! Reads a request's body: buffered where there is memory for it, otherwise streamed.

use super::Server;
use crate::operations::event_counters::Reason;
use crate::serving::body::{CallBody, Streaming, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::serving::client_connection::ClientConnection;
use crate::serving::exchange::BODY_BYTES;
use crate::serving::request_rules::InvalidRequest;
use bytes::{Bytes, BytesMut};
use gaugesaddle_balancer::Time;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Bytes that a body reserves from the limit of all bodies; released on drop.
pub(super) struct BodyMemory<'a> {
    bytes: usize,
    server: &'a Server,
}

impl<'a> BodyMemory<'a> {
    /// A reservation without bytes.
    pub(super) fn new(server: &'a Server) -> BodyMemory<'a> {
        BodyMemory { bytes: 0, server }
    }

    /// Reserves further bytes, if there are enough; without this limit many large bodies would exhaust the memory.
    fn reserve(&mut self, bytes: usize) -> bool {
        let (free, used) = (&self.server.free_body_bytes, &self.server.registry.body_bytes);
        let Some(remaining) = free.get().checked_sub(bytes) else { return false };
        free.set(remaining);
        used.set(used.get() + bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        let (free, used) = (&self.server.free_body_bytes, &self.server.registry.body_bytes);
        free.set(free.get() + self.bytes);
        used.set(used.get().saturating_sub(self.bytes));
    }
}

impl Server {
    /// Reads a body as far as it is buffered. If there is no memory for it, a small body is rejected and a large one is
    /// streamed.
    ///
    /// # Errors
    /// The body is incomplete, stalls, is too long, or there is no memory for it.
    pub(super) async fn read_body(
        &self, mut body: Incoming, connection: &ClientConnection, received_at: Time,
        memory: &mut BodyMemory<'_>,
    ) -> Result<CallBody, InvalidRequest> {
        let (mut buffered, mut received) = (VecDeque::<Bytes>::new(), 0);
        loop {
            let due = self.clock.instant(connection.body_due(received_at, received));
            let Some(bytes) = next_chunk(&mut body, due).await? else {
                return Ok(CallBody::Buffered(concatenate(buffered, received)));
            };
            received += bytes.len() as u64;
            if received > MAX_BODY_BYTES {
                let text = "the body is over 40 MiB";
                return Err(InvalidRequest(StatusCode::PAYLOAD_TOO_LARGE, text, Reason::BadFraming));
            }
            // Half of the memory is reserved for bodies that are never streamed.
            let is_large = received > BODY_BYTES as u64;
            let is_half_free = self.free_body_bytes.get() > self.registry.bounds().body_bytes / 2;
            let fits = (!is_large || is_half_free) && memory.reserve(bytes.len());
            buffered.push_back(bytes);
            if fits && received <= MAX_BUFFERED_BYTES as u64 {
                continue;
            }
            if !is_large {
                let text = "too many large requests at once";
                return Err(InvalidRequest(StatusCode::SERVICE_UNAVAILABLE, text, Reason::BodyMemoryFull));
            }
            let streaming =
                Streaming { first: buffered, rest: body, transferred: received, on_complete: None };
            return Ok(CallBody::Streaming(RefCell::new(Some(streaming))));
        }
    }
}

/// The next bytes of a body; `None` at its end. Trailers are dropped: no backend needs them.
async fn next_chunk(body: &mut Incoming, due: tokio::time::Instant) -> Result<Option<Bytes>, InvalidRequest> {
    loop {
        match tokio::time::timeout_at(due, body.frame()).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Ok(Some(Err(_))) => {
                return Err(InvalidRequest(StatusCode::BAD_REQUEST, "the body is broken", Reason::BadBody));
            }
            Err(_) => {
                let text = "the body did not come in time";
                return Err(InvalidRequest(StatusCode::REQUEST_TIMEOUT, text, Reason::BadBody));
            }
        }
    }
}

fn concatenate(mut chunks: VecDeque<Bytes>, length: u64) -> Bytes {
    if chunks.len() == 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut all = BytesMut::with_capacity(length as usize);
    chunks.iter().for_each(|chunk| all.extend_from_slice(chunk));
    all.freeze()
}
