//! Guards, with real proxies and control processes, against a response that looks complete to its client although its
//! backend broke off: bodies without a length, which end with their connection, and streams that are relayed in parts.

use gaugesaddle_testbed::fleet::{call, document, Chunked, Fleet};
use gaugesaddle_testbed::scripted::{chunk, events, until, Backend, Message, Reply};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Index of the control process in the fleet.
const CONTROL: usize = 0;
/// Index of the proxy in the fleet.
const EDGE: usize = 1;
/// Number of events of a whole stream.
const EVENTS: u32 = 6;
/// Number of events of a stream that fills the proxy's buffers, so that a part of it is forwarded at once.
const MANY_EVENTS: u32 = 50_000;
/// Timeout of a read, which no response reaches unless something is wrong.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn request(route: &str, version: &str, headers: &str) -> String {
    format!(
        "POST /{route}/a HTTP/{version}\r\nHost: h.example\r\nRequest-Id: q1\r\nDeadline-Ms: 6000\r\n\
         Api-Key: k-free\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// Whether a message is a request on the resumable route.
fn is_stream(message: &Message) -> bool {
    message.start.contains("/stream/")
}

/// The events after `Last-Event-Id`, or all if the request has none.
fn rest_of_stream(message: &Message) -> String {
    let last =
        message.header("last-event-id").map(|id| id.parse::<u32>().expect("Last-Event-Id is a number"));
    events(last.map_or(0, |id| id + 1), EVENTS)
}

/// A response without a length.
fn close_delimited(status: &str, content_type: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Type: {content_type}\r\n\
         Connection: close\r\n\r\n{body}"
    )
}

fn close_delimited_stream(body: &str) -> String {
    close_delimited("200 OK", "text/event-stream", body)
}

/// Starts a control process and a proxy with these backends, and waits until the proxy is ready.
fn fleet_with(backends: &[(&str, SocketAddr)]) -> Fleet {
    let fleet = Fleet::start(1, 1).expect("fleet starts");
    until("the configuration is acknowledged", || fleet.put(CONTROL, 0, &document(1).to_string()).0 == 200);
    for (id, address) in backends {
        until("the backend is registered", || fleet.heartbeat(CONTROL, id, "s", *address, "ready") == 200);
    }
    until("the proxy is ready", || fleet.is_ready(EDGE));
    fleet
}

/// The body of a response up to its proper end.
fn chunked_body(fleet: &Fleet, route: &str, headers: &str) -> io::Result<String> {
    Chunked::open(fleet.front(EDGE), &request(route, "1.1", headers))?.rest()
}

/// Two backends that respond to a request for a whole stream with `first`, and to one with `Last-Event-Id`, or to the second
/// one for a whole stream, with the rest of the stream. Returns the body that the client receives on a resumable route, and
/// the numbers of requests with and without `Last-Event-Id`.
fn resumed(
    first: impl Fn() -> Reply + Clone + Send + Sync + 'static,
) -> (io::Result<String>, (usize, usize)) {
    let is_first = Arc::new(AtomicBool::new(true));
    let start = || {
        let (is_first, first) = (is_first.clone(), first.clone());
        Backend::start(move |message| {
            if !is_stream(message) {
                Reply::RespondAndClose(close_delimited("200 OK", "text/plain", "known"))
            } else if is_first.swap(false, Ordering::SeqCst) {
                first()
            } else {
                Reply::RespondAndClose(close_delimited_stream(&rest_of_stream(message)))
            }
        })
    };
    let (one, two) = (start(), start());
    let fleet = fleet_with(&[("i-1", one.address), ("i-2", two.address)]);
    fleet.await_backends(EDGE, &[&one, &two]);
    let body = chunked_body(&fleet, "stream", "");
    let mut requests = [one.requests(), two.requests()].concat();
    requests.retain(is_stream);
    let with_id = requests.iter().filter(|message| message.header("last-event-id").is_some()).count();
    (body, (with_id, requests.len() - with_id))
}

/// A backend that crashes inside an event closes its connection in the ordinary way: the stream ended as complete.
#[test]
fn close_delimited_stream_that_ends_inside_an_event_is_resumed() {
    for incomplete in ["i", "id: 3", "id: 3\n", "id: 3\nda", "id: 3\ndata: 3", "id: 3\ndata: 3\n", ": com"] {
        let text = close_delimited_stream(&format!("{}{incomplete}", events(0, 3)));
        let (body, requests) = resumed(move || Reply::RespondAndClose(text.clone()));
        assert_eq!(body.expect("the stream is complete"), events(0, EVENTS), "{incomplete:?}");
        assert_eq!(requests, (1, 1), "{incomplete:?}");
    }
}

/// A backend that crashes after the head of its response has sent no event: the stream ended as complete, without a piece.
#[test]
fn close_delimited_stream_without_an_event_is_started_at_another_backend() {
    for nothing in ["", "\n", ": comment\n\n", "id: 0\n"] {
        let text = close_delimited_stream(nothing);
        let (body, requests) = resumed(move || Reply::RespondAndClose(text.clone()));
        let body = body.expect("the stream is complete");
        assert!(body.ends_with(&events(0, EVENTS)), "{nothing:?}: {body:?}");
        assert_eq!(requests, (0, 2), "{nothing:?}");
    }
}

/// A stream that is reset between two events ends like a complete one but for the reset.
#[test]
fn close_delimited_stream_that_is_reset_is_resumed() {
    for begun in [events(0, 3), format!("{}id: 3\nda", events(0, 3))] {
        let text = close_delimited_stream(&begun);
        let (body, requests) = resumed(move || Reply::RespondAndReset(text.clone()));
        assert_eq!(body.expect("the stream is complete"), events(0, EVENTS), "{begun:?}");
        assert_eq!(requests, (1, 1), "{begun:?}");
    }
}

/// A stream that cannot be resumed is cut where its backend broke off, and did not look complete only if it had a length.
#[test]
fn close_delimited_response_that_breaks_off_never_ends_properly() {
    let inside = close_delimited_stream(&format!("{}id: 2\nda", events(0, 2)));
    let empty = close_delimited_stream("");
    let whole = close_delimited_stream(&events(0, 2));
    let plain = close_delimited("200 OK", "application/json", "{\"answer\":");
    let cases = [
        ("single", Reply::RespondAndClose as fn(String) -> Reply, inside),
        ("single", Reply::RespondAndClose, empty),
        ("single", Reply::RespondAndReset, whole),
        ("plain", Reply::RespondAndReset, plain),
    ];
    for (route, reply, text) in cases {
        let sent = text.clone();
        let backend = Backend::start(move |_| reply(sent.clone()));
        let fleet = fleet_with(&[("i-1", backend.address)]);
        let ended = chunked_body(&fleet, route, "");
        assert!(ended.is_err(), "{route}: {text:?} ended as if it were complete: {ended:?}");
        assert_eq!(backend.requests().len(), 1, "{route}: {text:?}");
    }
}

/// The checks for incomplete streams must not cut a response that is whole.
#[test]
fn whole_close_delimited_responses_are_forwarded_unchanged() {
    let all = events(0, EVENTS);
    let crlf = all.replace('\n', "\r\n");
    let cases = [
        ("stream", "200 OK", "text/event-stream", all.clone()),
        ("single", "200 OK", "text/event-stream", all.clone()),
        ("stream", "200 OK", "Text/Event-Stream; charset=utf-8", crlf),
        ("stream", "200 OK", "text/event-stream", all.replace('\n', "\r")),
        ("single", "200 OK", "text/event-stream", format!("{all}: end of stream\n")),
        ("stream", "200 OK", "application/json", "{\"no\":\"stream\"}".to_owned()),
        ("stream", "500 Failed", "text/event-stream", "out of memory".to_owned()),
        ("single", "500 Failed", "text/plain", "out of memory".to_owned()),
        ("plain", "200 OK", "text/plain", "an answer".to_owned()),
        ("single", "200 OK", "text/event-stream\r\nContent-Encoding: gzip", "compressed".to_owned()),
    ];
    for (route, status, content_type, body) in cases {
        let text = close_delimited(status, content_type, &body);
        let backend = Backend::start(move |_| Reply::RespondAndClose(text.clone()));
        let fleet = fleet_with(&[("i-1", backend.address)]);
        let received = chunked_body(&fleet, route, "").expect("the response is complete");
        assert_eq!(received, body, "{route}, {status}, {content_type}");
        assert_eq!(backend.requests().len(), 1, "{route}, {status}, {content_type}");
    }
}

/// A client that has all events resumes with none left; this response is complete.
#[test]
fn empty_rest_of_a_resumed_stream_is_complete() {
    let backend =
        Backend::start(|message| Reply::RespondAndClose(close_delimited_stream(&rest_of_stream(message))));
    let fleet = fleet_with(&[("i-1", backend.address)]);
    for (last, rest) in [(EVENTS - 1, String::new()), (2, events(3, EVENTS))] {
        let headers = format!("Last-Event-Id: {last}\r\n");
        assert_eq!(chunked_body(&fleet, "stream", &headers).expect("the response is complete"), rest);
    }
}

/// A failure that broke off was continued with another backend's success, under the head of the failure.
#[test]
fn failure_that_breaks_off_is_not_resumed() {
    let head = "HTTP/1.1 500 Failed\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (body, requests) = resumed(move || Reply::RespondAndClose(format!("{head}3\r\nout\r\n")));
    assert!(body.is_err(), "a failure that broke off ended as if it were complete: {body:?}");
    assert_eq!(requests, (0, 1));
}

/// Without IDs it is not known which events another backend must leave out: the client received them twice.
#[test]
fn stream_without_event_ids_is_not_resumed() {
    let head =
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (body, requests) =
        resumed(move || Reply::RespondAndClose(format!("{head}{}", chunk("data: 0\n\ndata: 1"))));
    assert!(body.is_err(), "a stream that broke off ended as if it were complete: {body:?}");
    assert_eq!(requests, (0, 1));
}

/// What an HTTP/1.0 client receives up to the close of the connection.
///
/// # Errors
/// The connection is reset.
fn receive_until_close(to: SocketAddrV4, text: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(text.as_bytes())?;
    let mut received = String::new();
    stream.read_to_string(&mut received)?;
    Ok(received)
}

/// To an HTTP/1.0 client the close of the connection is the end of a response without a length: one that the proxy cannot
/// complete looked complete.
#[test]
fn http_1_0_client_sees_a_reset_after_an_incomplete_response() {
    let head =
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let broken = format!("{head}{}", chunk(&events(0, MANY_EVENTS)));
    let whole = format!("{broken}0\r\n\r\n");
    let backend = Backend::start(move |message| match message.header("x-whole") {
        Some(_) => Reply::RespondAndClose(whole.clone()),
        None => Reply::RespondAndClose(broken.clone()),
    });
    let fleet = fleet_with(&[("i-1", backend.address)]);
    let ended = receive_until_close(fleet.front(EDGE), &request("single", "1.0", ""));
    let kind = ended.as_ref().map(String::len).map_err(io::Error::kind);
    assert_eq!(
        kind,
        Err(io::ErrorKind::ConnectionReset),
        "an incomplete response ended as if it were complete"
    );
    let received = receive_until_close(fleet.front(EDGE), &request("single", "1.0", "X-Whole: 1\r\n"));
    let received = received.expect("the response is complete");
    assert!(received.ends_with(&events(0, MANY_EVENTS)), "{} bytes", received.len());
}

/// A proxy that is killed closes its connections in the ordinary way.
#[test]
fn http_1_0_client_sees_a_reset_when_the_proxy_is_killed() {
    let head =
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\
                Content-Length: 1000\r\n\r\n";
    let backend = Backend::start(move |_| Reply::Respond(format!("{head}{}", events(0, 3))));
    let mut fleet = fleet_with(&[("i-1", backend.address)]);
    let mut stream = TcpStream::connect(fleet.front(EDGE)).expect("the proxy accepts the connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the timeout is set");
    stream.write_all(request("stream", "1.0", "").as_bytes()).expect("the request is sent");
    let mut received = Vec::new();
    while !received.ends_with(events(0, 3).as_bytes()) {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the response begins");
        received.push(byte[0]);
    }
    fleet.kill(EDGE);
    let ended = stream.read(&mut [0]).map_err(|e| e.kind());
    assert_eq!(
        ended,
        Err(io::ErrorKind::ConnectionReset),
        "an incomplete response ended as if it were complete"
    );
}

/// A response with a length that HTTP/1.0 clients receive on a connection that stays open is unaffected by the resets.
#[test]
fn http_1_0_client_receives_a_response_with_a_length() {
    let text =
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Length: 6\r\n\r\nanswer";
    let backend = Backend::start(move |_| Reply::Respond(text.to_owned()));
    let fleet = fleet_with(&[("i-1", backend.address)]);
    let received = call(fleet.front(EDGE), &request("plain", "1.0", "")).expect("the response is complete");
    assert_eq!((received.status(), received.body.as_slice()), (200, b"answer".as_slice()));
}
