//! The platform's question whether clients may be sent here.

use super::fleet::Fleet;
use super::keys;
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

/// A connection without a question for so long is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Answers for as long as the process lives.
pub async fn serve(fleet: Rc<Fleet>, at: SocketAddrV4) -> std::io::Result<()> {
    let listener = listen(at)?;
    loop {
        let (stream, _) = accept(&listener).await;
        let fleet = fleet.clone();
        let service = service_fn(move |_| {
            let status = if is_ready(&fleet) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            let mut answer = Response::new(Empty::<Bytes>::new());
            *answer.status_mut() = status;
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Ready with a current configuration and backends; once it is, it stays so without a control plane, unless keys may not
/// be used for long without it.
fn is_ready(fleet: &Fleet) -> bool {
    let serves = fleet.table().is_some() && fleet.has_backends();
    serves && !fleet.terminating.get() && keys::will_be_proven(fleet)
}
