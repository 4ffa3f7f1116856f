//! How the end of a response body is determined.

use hyper::body::Body;
use hyper::header::{HeaderMap, TRANSFER_ENCODING};

/// How the end of a response body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The message states its end, by a length or by the last chunk: a truncated body is an error of the connection.
    SelfDelimited,
    /// The body ends with the connection: a body that was truncated by an orderly close has the same end as a complete one.
    CloseDelimited,
}

impl BodyFraming {
    /// The framing of a response with these headers, whose body was not read yet.
    pub fn of_response(headers: &HeaderMap, body: &impl Body) -> BodyFraming {
        if body.size_hint().exact().is_some() || is_chunked(headers) {
            BodyFraming::SelfDelimited
        } else {
            BodyFraming::CloseDelimited
        }
    }
}

/// Whether the last transfer coding is `chunked` (RFC 9112, section 6.1).
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last_coding = last_line.and_then(|line| line.to_str().ok()?.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

#[cfg(test)]
mod tests;
