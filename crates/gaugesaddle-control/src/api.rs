//! What backends and the operator call, over HTTP/1.1.

use crate::changes;
use crate::core::CoreHandle;
use crate::registrations::{self, Registered};
use bytes::Bytes;
use gaugesaddle_protocol::{ChangeBody, ChangeReply, ConfigurationChange};
use gaugesaddle_transport::accept;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

/// A configuration is at most so long.
const MAX_CONFIGURATION: usize = 8 << 20;
/// A body has so long to come, and longer where it is large.
const BODY: Duration = Duration::from_secs(5);
/// A head has so long to come; a connection without a call is closed after it.
const HEAD: Duration = Duration::from_secs(30);
/// Header with the revision that a configuration builds on.
const BASE: &str = "config-revision";
const HEARTBEAT: &str = "/Instances.Heartbeat/";
const DEREGISTER: &str = "/Instances.Deregister/";
const PUT: &str = "/Config.Put";
const PATCH: &str = "/Config.Patch";
const GET: &str = "/Config.Get";

type Answer = Response<Full<Bytes>>;

/// Accepts connections for as long as the process lives.
pub async fn serve(core: CoreHandle, listener: TcpListener) {
    loop {
        let (stream, _) = accept(&listener).await;
        let _ = stream.set_nodelay(true);
        let core = core.clone();
        let service = service_fn(move |request| {
            let core = core.clone();
            async move { Ok::<_, Infallible>(answer(&core, request).await) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD);
            // A caller that breaks off concerns only itself.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(core: &CoreHandle, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, GET) => get(core).await,
        (&Method::POST, PUT) => order(core, request, ChangeBody::Full).await,
        (&Method::POST, PATCH) => order(core, request, ChangeBody::Patch).await,
        (&Method::POST, path) => {
            if let Some(id) = path.strip_prefix(HEARTBEAT) {
                match body(request, registrations::MAX_BYTES).await {
                    Ok(body) => registered(registrations::heartbeat(core, id, &body).await),
                    Err(status) => plain(status, ""),
                }
            } else if let Some(id) = path.strip_prefix(DEREGISTER) {
                registered(registrations::deregister(core, id).await)
            } else {
                plain(StatusCode::NOT_FOUND, "no such call")
            }
        }
        _ => plain(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, StatusCode> {
    let reading = Limited::new(request.into_body(), most).collect();
    match tokio::time::timeout(BODY, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn registered(outcome: Registered) -> Answer {
    match outcome {
        Registered::Acknowledged => json(StatusCode::OK, "{}".into()),
        Registered::NotSpread => plain(StatusCode::SERVICE_UNAVAILABLE, "not in touch with a majority"),
        Registered::Malformed => plain(StatusCode::BAD_REQUEST, "expected a registration in JSON"),
    }
}

async fn get(core: &CoreHandle) -> Answer {
    match changes::get(core).await {
        Ok(Some(configuration)) => json(StatusCode::OK, configuration.document.into()),
        Ok(None) => plain(StatusCode::NOT_FOUND, "no configuration yet"),
        Err(()) => plain(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
    }
}

/// An order of the operator: a whole configuration, or changes of named items.
async fn order(core: &CoreHandle, request: Request<Incoming>, read: fn(Vec<u8>) -> ChangeBody) -> Answer {
    let base = request.headers().get(BASE).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
    let Some(base) = base else {
        return plain(StatusCode::BAD_REQUEST, "Config-Revision: expected a whole number");
    };
    let body = match body(request, MAX_CONFIGURATION).await {
        Ok(body) => read(body.to_vec()),
        Err(status) => {
            return plain(status, &format!("at most {MAX_CONFIGURATION} bytes were expected, whole"))
        }
    };
    match changes::submit(core, ConfigurationChange { base, body }).await {
        ChangeReply::Applied => json(StatusCode::OK, "{}".into()),
        ChangeReply::Conflict { current } => {
            plain(StatusCode::PRECONDITION_FAILED, &format!("revision {current} is in place"))
        }
        ChangeReply::Invalid { findings } => plain(StatusCode::BAD_REQUEST, &findings.join("\n")),
        ChangeReply::Indeterminate => plain(StatusCode::SERVICE_UNAVAILABLE, "no clear answer"),
    }
}

fn json(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}
