//! The readiness endpoint: reports whether the platform may route clients to this proxy.

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

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves readiness checks until the process exits.
///
/// # Errors
/// The address cannot be bound.
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

/// Whether the proxy has a configuration and backends, is not shutting down, and has recent enough proof for API keys.
/// Losing contact with the control plane alone does not make a proxy unready before that proof is too old.
fn is_ready(state: &EdgeState) -> bool {
    let can_serve = state.routing_table().is_some() && state.has_backends();
    can_serve && !state.terminating.get() && api_key::accepts_keys(state)
}
