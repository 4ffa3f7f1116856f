//! The HTTP/1.1 interface for backends and operators.
//!
//! Paths, status codes and bodies are part of that interface.

use crate::change_handler::{self, LeaderUnavailable};
use crate::core::CoreHandle;
use crate::registrations::{self, RegistrationOutcome};
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

/// Maximum size of a configuration or patch, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// Time-out for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out for receiving a request head, and idle time-out of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Header with the revision that a change is based on.
const BASE_REVISION_HEADER: &str = "config-revision";
const HEARTBEAT_PREFIX: &str = "/Instances.Heartbeat/";
const DEREGISTER_PREFIX: &str = "/Instances.Deregister/";
const PUT_PATH: &str = "/Config.Put";
const PATCH_PATH: &str = "/Config.Patch";
const GET_PATH: &str = "/Config.Get";

type HttpResponse = Response<Full<Bytes>>;

/// Accepts connections until the process ends.
pub async fn serve(core: CoreHandle, listener: TcpListener) {
    loop {
        let (stream, _) = accept(&listener).await;
        let _ = stream.set_nodelay(true);
        let core = core.clone();
        let service = service_fn(move |request| {
            let core = core.clone();
            async move { Ok::<_, Infallible>(handle_request(&core, request).await) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            // An error of one connection, such as a disconnected caller, is not a fault of this process and is not
            // logged.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(core: &CoreHandle, request: Request<Incoming>) -> HttpResponse {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, GET_PATH) => get_configuration(core).await,
        (&Method::POST, PUT_PATH) => change_configuration(core, request, ChangeBody::Full).await,
        (&Method::POST, PATCH_PATH) => change_configuration(core, request, ChangeBody::Patch).await,
        (&Method::POST, path) => {
            if let Some(id) = path.strip_prefix(HEARTBEAT_PREFIX) {
                heartbeat(core, id, request).await
            } else if let Some(id) = path.strip_prefix(DEREGISTER_PREFIX) {
                registration_response(registrations::handle_deregister(core, id).await)
            } else {
                plain(StatusCode::NOT_FOUND, "no such call")
            }
        }
        _ => plain(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn heartbeat(core: &CoreHandle, id: &str, request: Request<Incoming>) -> HttpResponse {
    match read_body(request, registrations::MAX_HEARTBEAT_BYTES).await {
        Ok(body) => registration_response(registrations::handle_heartbeat(core, id, &body).await),
        Err(status) => plain(status, ""),
    }
}

/// Reads a body of at most `max_bytes`. An error is the status code of the response.
async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, StatusCode> {
    let reading = Limited::new(request.into_body(), max_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn registration_response(outcome: RegistrationOutcome) -> HttpResponse {
    match outcome {
        RegistrationOutcome::Acknowledged => json(StatusCode::OK, "{}".into()),
        RegistrationOutcome::NotReplicated => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not in touch with a majority")
        }
        RegistrationOutcome::Malformed => plain(StatusCode::BAD_REQUEST, "expected a registration in JSON"),
    }
}

async fn get_configuration(core: &CoreHandle) -> HttpResponse {
    match change_handler::read(core).await {
        Ok(Some(configuration)) => json(StatusCode::OK, configuration.document.into()),
        Ok(None) => plain(StatusCode::NOT_FOUND, "no configuration yet"),
        Err(LeaderUnavailable) => plain(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
    }
}

/// Handles an operator's change; `to_change` converts the body to a full document or a patch.
async fn change_configuration(
    core: &CoreHandle, request: Request<Incoming>, to_change: fn(Vec<u8>) -> ChangeBody,
) -> HttpResponse {
    let Some(base) = base_revision(&request) else {
        return plain(StatusCode::BAD_REQUEST, "Config-Revision: expected a whole number");
    };
    let body = match read_body(request, MAX_CONFIGURATION_BYTES).await {
        Ok(body) => to_change(body.to_vec()),
        Err(status) => {
            return plain(status, &format!("at most {MAX_CONFIGURATION_BYTES} bytes were expected, whole"))
        }
    };
    match change_handler::submit(core, ConfigurationChange { base, body }).await {
        ChangeReply::Applied => json(StatusCode::OK, "{}".into()),
        ChangeReply::Conflict { current } => {
            plain(StatusCode::PRECONDITION_FAILED, &format!("revision {current} is in place"))
        }
        ChangeReply::Invalid { findings } => plain(StatusCode::BAD_REQUEST, &findings.join("\n")),
        ChangeReply::Indeterminate => plain(StatusCode::SERVICE_UNAVAILABLE, "no clear answer"),
    }
}

fn base_revision(request: &Request<Incoming>) -> Option<u64> {
    let value = request.headers().get(BASE_REVISION_HEADER)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn json(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn plain(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
