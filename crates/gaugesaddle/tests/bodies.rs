//! Bodies of every size and framing, from peers that are slow, write in small pieces or disconnect: each arrives
//! unchanged, in bounded memory, and a truncated body is distinguishable from a complete one.

use gaugesaddle_testbed::scripted::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A pattern in which shifted, lost and repeated bytes are detectable.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| b'a' + ((i ^ (i >> 8) ^ (i >> 16)) % 26) as u8).collect()
}

/// A backend on plain sockets: reads requests, chunked or not, and responds with the bytes that `answer` returns for
/// a body.
fn backend(
    answer: impl Fn(&[u8]) -> Vec<u8> + Send + Sync + 'static,
) -> (SocketAddr, std::sync::mpsc::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (bodies, seen) = std::sync::mpsc::channel();
    let answer = std::sync::Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (answer, bodies) = (answer.clone(), bodies.clone());
            std::thread::spawn(move || {
                let mut stream = stream;
                while let Some(body) = read_request(&mut stream) {
                    let text = answer(&body);
                    let _ = bodies.send(body);
                    if stream.write_all(&text).is_err() || text.windows(17).any(|w| w == b"Connection: close")
                    {
                        return;
                    }
                }
            });
        }
    });
    (address, seen)
}

fn read_line(from: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        from.read_exact(&mut byte).ok()?;
        line.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_ascii_lowercase())
}

fn read_chunks(from: &mut impl Read) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&read_line(from)?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..]).ok()?;
        read_line(from)?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// The body of the next message.
fn read_request(from: &mut impl Read) -> Option<Vec<u8>> {
    let (mut length, mut chunked) = (0, false);
    loop {
        match read_line(from)?.as_str() {
            "" => break,
            line => {
                if let Some(n) = line.strip_prefix("content-length: ") {
                    length = n.parse().ok()?;
                }
                chunked |= line == "transfer-encoding: chunked";
            }
        }
    }
    if chunked {
        return read_chunks(from);
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(body)
}

fn proxy(backend: SocketAddr, memory_mb: u64) -> (Proxy, Discovery) {
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", backend, "ready", 0)]);
    config["limits"]["memory_mb"] = json!(memory_mb);
    (Proxy::start(&config), discovery)
}

fn ok_with(framing: &str, body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes(), body].concat()
}

fn chunked(body: &[u8], piece: usize) -> Vec<u8> {
    let mut all = Vec::new();
    for part in body.chunks(piece) {
        all.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        all.extend_from_slice(part);
        all.extend_from_slice(b"\r\n");
    }
    all.extend_from_slice(b"0\r\n\r\n");
    all
}

/// Sends a request in pieces and reads until the response is complete or the connection ends. Returns the body, or the
/// status line if it is not 200, or nothing if the response is truncated.
fn exchange(proxy: &Proxy, head: &str, body: &[u8], piece: usize, pause: Duration) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(proxy.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    for part in body.chunks(piece) {
        stream.write_all(part).ok()?;
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
    let status = read_line(&mut stream)?;
    if status != "http/1.1 200 ok" {
        return Some(status.into_bytes());
    }
    read_request(&mut stream)
}

fn vote_head(framing: &str) -> String {
    request("vote", 7000).replace("Content-Length: 4", framing).trim_end_matches("body").into()
}

#[test]
fn request_bodies_of_every_size_and_framing_arrive_unchanged() {
    let (address, seen) = backend(|body| ok_with(&format!("Content-Length: {}", body.len()), body));
    let (proxy, _discovery) = proxy(address, 192);
    let no_pause = Duration::ZERO;
    for size in [0, 1, 65_535, 65_536, 65_537, 200_000, 6 << 20] {
        let body = bytes(size);
        let plain = vote_head(&format!("Content-Length: {size}"));
        assert!(exchange(&proxy, &plain, &body, 16 << 10, no_pause) == Some(body.clone()), "{size}");
        assert!(seen.recv().unwrap() == body, "{size}");
        let pieces = chunked(&body, 1 + size / 7);
        let head = vote_head("Transfer-Encoding: chunked");
        assert!(exchange(&proxy, &head, &pieces, 16 << 10, no_pause) == Some(body.clone()), "chunked {size}");
        assert!(seen.recv().unwrap() == body, "chunked {size}");
    }
    // Sent at 64 kB per second, for longer than the timeout of a body without progress.
    let body = bytes(200_000);
    let head = vote_head("Content-Length: 200000");
    assert!(exchange(&proxy, &head, &body, 6_400, Duration::from_millis(100)) == Some(body));
    // Longer than the maximum body size.
    let result = exchange(&proxy, &vote_head("Content-Length: 60000000"), b"x", 1, no_pause).unwrap();
    assert_eq!(String::from_utf8_lossy(&result), "http/1.1 413 payload too large");
}

/// A quarter of 16 MB cannot buffer any of these bodies whole: they are streamed, all at the same time.
#[test]
fn bodies_larger_than_memory_are_streamed() {
    let (address, seen) = backend(|body| ok_with(&format!("Content-Length: {}", body.len()), body));
    let (proxy, _discovery) = proxy(address, 16);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let body = bytes(8 << 20);
                let head = vote_head(&format!("Content-Length: {}", body.len()));
                assert!(exchange(&proxy, &head, &body, 64 << 10, Duration::ZERO) == Some(body));
            });
        }
    });
    (0..4).for_each(|_| assert_eq!(seen.recv().unwrap().len(), 8 << 20));
    // An aborted request body was not executed and does not count against the backend.
    let mut stream = TcpStream::connect(proxy.address).unwrap();
    stream.write_all(vote_head("Content-Length: 8000000").as_bytes()).unwrap();
    stream.write_all(&bytes(6 << 20)).unwrap();
    drop(stream);
    let body = bytes(10);
    let next = exchange(&proxy, &vote_head("Content-Length: 10"), &body, 10, Duration::ZERO);
    assert_eq!(next, Some(body.clone()));
    assert_eq!(seen.recv().unwrap(), body, "a backend received the aborted body in full");
}

#[test]
fn responses_of_every_framing_arrive_whole_and_truncation_is_detectable() {
    let body = bytes(300_000);
    for (framing, sent) in [
        ("Content-Length: 300000", body.clone()),
        ("Transfer-Encoding: chunked", chunked(&body, 900)),
        ("Connection: close", body.clone()),
    ] {
        let text = ok_with(framing, &sent);
        let (address, _seen) = backend(move |_| text.clone());
        let (proxy, _discovery) = proxy(address, 192);
        let result = exchange(&proxy, &request("read", 7000), b"", 1, Duration::ZERO);
        assert!(result.as_ref() == Some(&body), "{framing}: {:?}", result.map(|b| b.len()));
    }
    for (framing, sent) in [
        ("Content-Length: 300000", body[..200_000].to_vec()),
        ("Transfer-Encoding: chunked", chunked(&body, 900)[..200_000].to_vec()),
    ] {
        let text = ok_with(&format!("{framing}\r\nX-Then: Connection: close"), &sent);
        let (address, _seen) = backend(move |_| text.clone());
        let (proxy, _discovery) = proxy(address, 192);
        let result = exchange(&proxy, &request("read", 7000), b"", 1, Duration::ZERO);
        assert_eq!(result.map(|b| b.len()), None, "{framing}: the client did not detect the truncation");
    }
}
