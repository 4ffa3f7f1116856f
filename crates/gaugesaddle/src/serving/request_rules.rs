//! Validation and parsing of a request's head.

use crate::operations::event_counters::Reason;
use crate::serving::body::MAX_BODY_BYTES;
use crate::serving::client_socket::ClientSocket;
use crate::serving::exchange::REMAINING_TIME;
use gaugesaddle_balancer::settings::{stable_id, Names};
use gaugesaddle_balancer::{Class, ClassId, Effect, Micros, TenantId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};

const CLASS_HEADER: HeaderName = HeaderName::from_static("x-service-class");
const TENANT_HEADER: HeaderName = HeaderName::from_static("x-account");
const RETRY_HEADER: HeaderName = HeaderName::from_static("x-repeat");
const WORK_HINT_HEADER: HeaderName = HeaderName::from_static("x-weight-hint");
pub const CORRELATION_HEADER: HeaderName = HeaderName::from_static("x-correlation-id");
const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length of an id: ids are stored while their request is open.
const MAX_ID_BYTES: usize = 128;

/// The response to an invalid request. Its connection is closed, since the bytes that follow cannot be trusted.
pub struct InvalidRequest(pub StatusCode, pub &'static str, pub Reason);

impl From<&'static str> for InvalidRequest {
    fn from(text: &'static str) -> InvalidRequest {
        InvalidRequest(StatusCode::BAD_REQUEST, text, Reason::BadHead)
    }
}

/// The attributes of a request that the balancer needs.
pub struct RequestAttributes {
    /// The correlation id, which the client has chosen.
    pub id: HeaderValue,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub remaining: Micros,
    pub work_hint: Option<Micros>,
    pub repeat: bool,
    /// The hash of its idempotency key.
    pub key: Option<u64>,
    /// The hash of its account.
    pub source: Option<u64>,
}

/// The rules that a valid request follows.
pub struct RequestRules {
    pub names: Names,
    pub classes: Vec<Class>,
    /// Maximum time for which a client waits; a longer one is reduced to this.
    pub max_patience: Micros,
}

/// Rejects a body that is framed both by `Content-Length` and `Transfer-Encoding`, since a recipient that uses the
/// other one would find another request in it (request smuggling), and a body that is too long.
///
/// # Errors
/// The response to such a request.
pub fn check_framing(head: &Parts, length: Option<u64>, socket: &ClientSocket) -> Result<(), InvalidRequest> {
    if head.headers.contains_key(TRANSFER_ENCODING) && !socket.is_only_chunked(head.method.as_str()) {
        let text = "expected Content-Length or Transfer-Encoding, not both";
        return Err(InvalidRequest(StatusCode::LENGTH_REQUIRED, text, Reason::BadFraming));
    }
    if length.is_some_and(|n| n > MAX_BODY_BYTES) {
        return Err(InvalidRequest(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is over 40 MiB",
            Reason::BadFraming,
        ));
    }
    Ok(())
}

impl RequestRules {
    /// Validates and parses a request's head.
    ///
    /// # Errors
    /// The response to an invalid request.
    pub fn read(&self, head: &Parts, length: Option<u64>) -> Result<RequestAttributes, InvalidRequest> {
        let headers = &head.headers;
        unique_value(headers, &HOST)?.ok_or("expected Host")?;
        let name = unique_value(headers, &CLASS_HEADER)?.ok_or("expected X-Service-Class")?;
        let class = self.names.class(name).ok_or("X-Service-Class: unknown class")?;
        if head.uri.path().split('/').nth(1) != Some(name) {
            return Err("expected the class as the first part of the path".into());
        }
        let key = unique_value(headers, &IDEMPOTENCY_HEADER)?;
        let fits = match self.classes[class.0].effect {
            Effect::Free => head.method == Method::GET && length == Some(0),
            Effect::Keyed(..) => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err("the method, the body or Idempotency-Key does not fit the class".into());
        }
        let id = unique_value(headers, &CORRELATION_HEADER)?.ok_or("expected X-Correlation-Id")?;
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("X-Correlation-Id: expected up to 128 visible characters".into());
        }
        let tenant = match unique_value(headers, &TENANT_HEADER)? {
            _ if !self.names.has_tenants() => None,
            Some(name) => Some(self.names.tenant(name).ok_or("X-Account: unknown tenant")?),
            None => return Err("expected X-Account".into()),
        };
        let remaining_ms = unique_number(headers, &REMAINING_TIME)?.ok_or("expected X-Time-Left-Ms")?;
        Ok(RequestAttributes {
            id: HeaderValue::from_str(id).map_err(|_| "X-Correlation-Id: not readable")?,
            class,
            tenant,
            remaining: Micros(remaining_ms.saturating_mul(1000)).min(self.max_patience),
            work_hint: unique_number(headers, &WORK_HINT_HEADER)?.map(Micros),
            repeat: unique_value(headers, &RETRY_HEADER)? == Some("1"),
            key: key.map(stable_id),
            source: unique_value(headers, &TENANT_HEADER)?.map(stable_id),
        })
    }
}

/// The value of a header that must not be repeated: one recipient would use the first value and another one the second.
fn unique_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| "a header that can't be read"),
        _ => Err("a header that must stand once stands twice"),
    }
}

fn unique_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = unique_value(headers, name)? else { return Ok(None) };
    let digits = Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    digits
        .and_then(|v| v.parse().ok())
        .map(Some)
        .ok_or("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")
}
