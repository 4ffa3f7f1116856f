//! A backend crashes while it sends streams that have no length and end with their connection.
#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const EVENTS: u64 = 55;
/// The tokens of an event come in two parts, with this time between any two parts.
const PART_MS: u64 = 15;
const STREAMS: usize = 60;
const BACKENDS: usize = 5;
const CONTACT_S: f64 = 3.0;
/// The machine whose proxy takes the clients; it runs no control process.
const PROXY: usize = 3;

fn document() -> String {
    r#"{"revision":1,"routes":[{"name":"bulletin-draft","hostname":"news.example","pathPrefix":"/draft/","routeType":"streaming",
"timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"service":"vaanoli-models","maxAttempts":2,"public":false,
"sessionAffinity":true,"streamResume":true,"gap_aim_ms":500}],
"services":[{"name":"vaanoli-models","healthCheckPath":"/healthz","maxConnections":350,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"desk","apiKeys":["key-desk"],"priority":0}]}"#
        .to_owned()
}

/// A backend as a process of its own, so that it can crash. Its answers have no length: each ends with its connection.
fn run_backend(arguments: &[String]) -> ! {
    begin_stand_in();
    let [id, ip, zone, controls] = arguments else { std::process::exit(2) };
    let controls = controls.split(',').filter_map(|address| address.parse().ok()).collect();
    let ip = ip.parse().unwrap_or_else(|_| std::process::exit(2));
    let handler: Arc<Handler> = Arc::new(|backend, request, stream| {
        let id = request.header("request-id").to_owned();
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        record(format!("backend {}: runs {id}, Last-Event-Id {last}", backend.id));
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\n\
             Connection: close\r\n\r\n",
            backend.id
        )?;
        for event in last + 1..=EVENTS {
            write!(stream, "id: {event}\ndata: {id} ")?;
            sleep_ms(PART_MS);
            write!(stream, "{event}\n\n")?;
            sleep_ms(PART_MS);
        }
        record(format!("backend {}: {id} is complete", backend.id));
        stream.shutdown(Shutdown::Both)?;
        Ok(false)
    });
    let _backend = Backend::start(id, "vaanoli-models", ip, zone, 64, controls, handler);
    loop {
        sleep_ms(1000);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|first| first == "backend") {
        run_backend(&arguments[2..]);
    }
    begin(100);
    let fleet = Arc::new(Fleet::new(&["z1", "z2", "z3", "z4"], ""));
    let seeds = [0, 1, 2];
    for at in seeds {
        fleet.start(at, Role::Control, &seeds, true, true);
        fleet.start(at, Role::Edge, &seeds, true, false);
    }
    fleet.start(PROXY, Role::Edge, &seeds, true, false);
    let controls = fleet.controls(&seeds);
    if put_config(&controls, 0, &document(), 15.0) != Some(200) {
        give_up("the configuration was not taken");
    }
    let addresses = controls.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let backends: Vec<u32> = (0..BACKENDS)
        .map(|n| {
            let Machine { ip, zone, .. } = &fleet.machines[n % 4];
            start_stand_in(&["backend", &format!("i-{}", n + 1), &ip.to_string(), zone, &addresses])
        })
        .collect();
    let until = now_s() + 15.0;
    while !fleet.is_ready(PROXY) {
        if now_s() > until {
            give_up("the proxy did not become ready");
        }
        sleep_ms(100);
    }
    sleep_ms(((CONTACT_S + 1.0) * 1000.0) as u64);
    let outcomes: Arc<Mutex<BTreeMap<&str, u64>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (fleet, outcomes) = (fleet.clone(), outcomes.clone());
            thread::spawn(move || {
                sleep_ms(random() % 500);
                let seen = client(&fleet);
                *outcomes.lock().unwrap().entry(seen).or_default() += 1;
            })
        })
        .collect();
    sleep_ms(1100);
    if trouble() {
        record("backend i-1: crashes (SIGKILL)");
        signal(backends[0], SIGKILL);
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    for (outcome, count) in outcomes.iter() {
        say(format!("{count:6}  {outcome}"));
    }
    // Counted are only the streams whose end shows by itself that they are not whole.
    let broken = outcomes.get(INSIDE_AN_EVENT).copied().unwrap_or(0);
    if broken > 0 {
        finish(BROKEN, &format!("ORDER is broken: {broken} streams ended as complete inside an event, before their last piece"));
    }
    finish(HELD, "ORDER held");
}

const WHOLE: &str = "ends as complete, with all events";
const INSIDE_AN_EVENT: &str = "ends as complete, inside an event and before its last piece";
const BETWEEN_EVENTS: &str = "ends as complete, between two events and before its last piece";

/// One stream; what the client saw of it.
fn client(fleet: &Fleet) -> &'static str {
    let id = request_id();
    let body = "x".repeat(12_000);
    let request = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: news.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 6610,385\r\n\
         Prefix-Hash: {}:5000,{}:1610\r\nDeadline-Ms: 12000\r\nApi-Key: key-desk\r\nContent-Length: {}\r\n\r\n{body}",
        &id[..8],
        &id[8..],
        body.len()
    );
    record(format!("client: sends {id}"));
    let Ok(stream) = TcpStream::connect_timeout(&fleet.front(PROXY).into(), Duration::from_secs(1)) else {
        return "not connected";
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    if (&stream).write_all(request.as_bytes()).is_err() {
        return "not sent";
    }
    let mut reader = BufReader::new(stream);
    let Ok(head) = read_head(&mut reader) else { return "no answer" };
    if head.status != 200 {
        return "answer with a failure";
    }
    let mut bytes = Vec::new();
    let seen = loop {
        match read_chunk(&mut reader) {
            // The last chunk: the answer says that it is complete.
            Ok(chunk) if chunk.is_empty() => break "complete",
            Ok(chunk) => bytes.extend(chunk),
            Err(_) => break "cut",
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    let ids: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let end = &text[text.len().saturating_sub(30)..];
    record(format!("client: {id} is {seen}; signature {}; {} event ids, the end is {end:?}", head.header("response-signature"), ids.len()));
    if seen == "cut" {
        return "is cut";
    }
    let is_whole = text.ends_with("\n\n");
    match ids.iter().copied().eq(1..=EVENTS) {
        true if is_whole => WHOLE,
        _ if !is_whole => INSIDE_AN_EVENT,
        _ => BETWEEN_EVENTS,
    }
}
