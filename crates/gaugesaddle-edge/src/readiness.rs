//! The readiness endpoint: whether the platform may send clients to this proxy.

use crate::api_key;
use crate::state::EdgeState;
use bytes::Bytes;
use gaugesaddle_transport::{accept, listen};
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers for as long as the process lives.
///
/// # Errors
/// Those of listening at the address.
pub async fn serve(state: Rc<EdgeState>, address: SocketAddrV4) -> std::io::Result<()> {
    let listener = listen(address)?;
    loop {
        let (stream, _) = accept(&listener).await;
        let state = state.clone();
        let service = service_fn(move |_| {
            let mut response = Response::new(Empty::<Bytes>::new());
            *response.status_mut() =
                if is_ready(&state) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Ready with a configuration and backends. A proxy that was ready stays so without a control plane, unless keys may soon
/// not be used without it.
fn is_ready(state: &EdgeState) -> bool {
    let can_serve = state.routing_table().is_some() && state.has_backends();
    can_serve && !state.terminating.get() && api_key::accepts_keys(state)
}
