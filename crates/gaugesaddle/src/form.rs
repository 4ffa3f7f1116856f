//! The form of a client's request: what the module needs to know of it, or why it is turned away.

use crate::body::MOST_BYTES;
use crate::exchange::TIME_LEFT;
use crate::tally::Reason;
use crate::tap::Socket;
use gaugesaddle_balancer::settings::{number as number_of, Names};
use gaugesaddle_balancer::{Class, ClassId, Effect, Micros, TenantId};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};

const CLASS: HeaderName = HeaderName::from_static("x-service-class");
const TENANT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const HINT: HeaderName = HeaderName::from_static("x-weight-hint");
pub const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");
/// Ids are kept while their request is open; a longer one is no id.
const ID_BYTES: usize = 128;

/// Why a request is turned away, whose connection ends with that: what follows on it can't be trusted.
pub struct Wrong(pub StatusCode, pub &'static str, pub Reason);

impl From<&'static str> for Wrong {
    fn from(text: &'static str) -> Wrong {
        Wrong(StatusCode::BAD_REQUEST, text, Reason::WrongForm)
    }
}

pub struct Form {
    /// The id that the client gave it.
    pub id: HeaderValue,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub time_left: Micros,
    pub work_hint: Option<Micros>,
    pub repeat: bool,
    /// The hash of its idempotency key.
    pub key: Option<u64>,
    /// The hash of its account.
    pub source: Option<u64>,
}

/// What a sound request may be.
pub struct Rules {
    pub names: Names,
    pub classes: Vec<Class>,
    /// The longest time that a client waits; more is as much.
    pub longest: Micros,
}

/// Refuses what frames its body in two ways at once, for a reader that goes by the other of the two finds another
/// request in it, and what is too long.
pub fn framing(head: &Parts, length: Option<u64>, socket: &Socket) -> Result<(), Wrong> {
    if head.headers.contains_key(TRANSFER_ENCODING) && !socket.is_only_chunked(head.method.as_str()) {
        let text = "expected Content-Length or Transfer-Encoding, not both";
        return Err(Wrong(StatusCode::LENGTH_REQUIRED, text, Reason::WrongFraming));
    }
    if length.is_some_and(|n| n > MOST_BYTES) {
        return Err(Wrong(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 40 MiB", Reason::WrongFraming));
    }
    Ok(())
}

impl Rules {
    /// What the module needs to know of a request.
    pub fn read(&self, head: &Parts, length: Option<u64>) -> Result<Form, Wrong> {
        let headers = &head.headers;
        text(headers, &HOST)?.ok_or("expected Host")?;
        let name = text(headers, &CLASS)?.ok_or("expected X-Service-Class")?;
        let class = self.names.class(name).ok_or("X-Service-Class: unknown class")?;
        if head.uri.path().split('/').nth(1) != Some(name) {
            return Err("expected the class as the first part of the path".into());
        }
        let key = text(headers, &IDEMPOTENCY)?;
        let fits = match self.classes[class.0].effect {
            Effect::Free => head.method == Method::GET && length == Some(0),
            Effect::Keyed(..) => head.method == Method::POST && key.is_some_and(|k| !k.is_empty()),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err("the method, the body or Idempotency-Key does not fit the class".into());
        }
        let id = text(headers, &CORRELATION)?.ok_or("expected X-Correlation-Id")?;
        if id.is_empty() || id.len() > ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("X-Correlation-Id: expected up to 128 visible characters".into());
        }
        let tenant = match text(headers, &TENANT)? {
            _ if !self.names.has_tenants() => None,
            Some(name) => Some(self.names.tenant(name).ok_or("X-Account: unknown tenant")?),
            None => return Err("expected X-Account".into()),
        };
        let left = number(headers, &TIME_LEFT)?.ok_or("expected X-Time-Left-Ms")?;
        Ok(Form {
            id: HeaderValue::from_str(id).map_err(|_| "X-Correlation-Id: not readable")?,
            class,
            tenant,
            time_left: Micros(left.saturating_mul(1000)).min(self.longest),
            work_hint: number(headers, &HINT)?.map(Micros),
            repeat: text(headers, &REPEAT)? == Some("1"),
            key: key.map(number_of),
            source: text(headers, &TENANT)?.map(number_of),
        })
    }
}

/// A header that decides something: one reader must not take the first and another the second of two.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, &'static str> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| "a header that can't be read"),
        _ => Err("a header that must stand once stands twice"),
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = text(headers, name)? else { return Ok(None) };
    let digits = Some(value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    digits
        .and_then(|v| v.parse().ok())
        .map(Some)
        .ok_or("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")
}
