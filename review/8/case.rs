//! A proxy that was told to stop no longer follows the list of backends, and resumes streams at backends that have left.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Figures of Nilavu's sheet.
const SETTINGS: &str = "limits.cpuShare=0.45\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
    limits.linkMbps=1000.0\ndiscovery=registration\nentry=virtual_ip\nheartbeatMs=1200\n\
    contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\nfaultTolerance.machines=1\n\
    bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.gracePeriodS=8\n\
    bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.closed=false\n\
    bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=58\n\
    bounds.quotaWindowS=8\nbounds.quotaOver=0.1\nbounds.quotaSlack=140000\n";

/// Nilavu's `bulletin-draft`: may be resumed, two attempts, 55 events, deadline 12 s.
const CONFIGURATION: &str = r#"{"revision":1,"routes":[{"name":"r-draft","hostname":"h.example","pathPrefix":"/draft/",
    "routeType":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"service":"llm","maxAttempts":2,
    "public":false,"sessionAffinity":true,"streamResume":true,"gap_aim_ms":500}],
    "services":[{"name":"llm","healthCheckPath":"/healthz","maxConnections":350,"protocol":"h1","tls":false}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const BACKENDS: usize = 6;
const STREAMS: usize = 120;
const EVENTS: usize = 55;
const EVENT_MS: u64 = 160;
const DRAIN_MS: u64 = 2000;
const CONTACT_MS: u64 = 3000;
/// Backends drain this long after the SIGTERM, one after the other (`release`, gap_s 0.71 and more).
const DRAINS_AFTER_MS: [u64; 2] = [2750, 3500];
/// Another one crashes.
const CRASH_AFTER_MS: u64 = 5900;

struct Arrival {
    backend: usize,
    request: String,
    at: Instant,
}

fn main() {
    run_case(case)
}

fn case() -> bool {
    let record = Record::create("review/8/record.txt");
    record.line(&format!("disruption: {}", has_trouble()));
    let mut fleet = Fleet::new(&record, 3, 2, SETTINGS);
    fleet.start_all();
    fleet.configure(CONFIGURATION);
    let controls: Vec<SocketAddrV4> = fleet.of_role(Role::Control).into_iter().map(|at| fleet.control(at)).collect();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let crashed = Arc::new(AtomicBool::new(false));
    let (mut beats, mut addresses) = (Vec::new(), Vec::new());
    for n in 0..BACKENDS {
        let ip = Ipv4Addr::new(127, fleet.net.0, fleet.net.1, 100 + n as u8);
        let (arrivals, crashed) = (arrivals.clone(), crashed.clone());
        let address = serve_backend(ip, move |stream, request| {
            let request_id = request.header("request-id").to_owned();
            if request.header("expected-instance") != format!("i-{n}") {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(text.as_bytes()).is_ok();
            }
            let is_dead = || n == 0 && crashed.load(Ordering::Relaxed);
            if is_dead() {
                return false;
            }
            arrivals.lock().unwrap().push(Arrival { backend: n, request: request_id.clone(), at: Instant::now() });
            let first: usize = request.header("last-event-id").parse().unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: sig.{request_id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for event in first + 1..=EVENTS {
                if is_dead() || stream.write_all(chunk(&format!("id: {event}\ndata: piece {event}\n\n")).as_bytes()).is_err() {
                    return false;
                }
                pause(EVENT_MS);
            }
            stream.write_all(b"0\r\n\r\n").is_ok()
        });
        beats.push(Some(Heartbeats::start(&record, controls.clone(), &format!("i-{n}"), "llm", address, 64)));
        addresses.push(address);
    }
    fleet.await_ready();
    pause(CONTACT_MS + 500);
    let proxy = fleet.of_role(Role::Edge)[0];
    let front = fleet.front(proxy);
    let clients: Vec<_> = (0..STREAMS).map(|n| thread::spawn(move || client(front, n))).collect();
    pause(300);
    let begun = Instant::now();
    if has_trouble() {
        fleet.signal(proxy, SIGTERM, "SIGTERM (planned work, roll_term)");
    }
    let until = |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    let mut acknowledged = Vec::new();
    for (n, after) in DRAINS_AFTER_MS.iter().enumerate() {
        until(*after);
        let backend = n + 1;
        beats[backend] = None;
        let is_taken = heartbeat(&controls, &format!("i-{backend}"), "llm", addresses[backend], 64, "draining");
        record.line(&format!("backend i-{backend}: says draining (release), acknowledged: {is_taken}"));
        if !is_taken {
            cannot_run("a drain was not acknowledged");
        }
        acknowledged.push((backend, Instant::now()));
    }
    until(CRASH_AFTER_MS);
    crashed.store(true, Ordering::Relaxed);
    beats[0] = None;
    record.line("backend i-0: crashes (srv_crash)");
    let ended: Vec<(usize, bool)> = clients.into_iter().map(|client| client.join().unwrap_or((0, false))).collect();
    let complete = ended.iter().filter(|(_, complete)| *complete).count();
    record.line(&format!("clients: {complete} of {STREAMS} answers complete"));
    let mut violations = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let since_term = arrival.at.duration_since(begun).as_millis();
        let drained = acknowledged.iter().find(|(backend, at)| *backend == arrival.backend && arrival.at > *at);
        if let Some((backend, at)) = drained {
            let late = arrival.at.duration_since(*at).as_millis();
            record.line(&format!(
                "backend i-{backend}: {} arrives {late} ms after the drain was acknowledged, {since_term} ms after the SIGTERM",
                arrival.request
            ));
            // The SIGTERM is longer ago than contactMs: the machine is in touch.
            violations += usize::from(late > u128::from(DRAIN_MS) && since_term > u128::from(CONTACT_MS));
        }
    }
    record.say(&format!(
        "DRAIN: {violations} requests reached a backend more than drainMs after its drain was acknowledged, from a proxy whose \
         SIGTERM was longer ago than contactMs"
    ));
    violations == 0
}

fn client(front: SocketAddrV4, n: usize) -> (usize, bool) {
    let text = format!(
        "POST /draft/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: draft-{n}\r\nModel: m\r\nToken-Usage: 6610,385\r\n\
         Deadline-Ms: 12000\r\nContent-Length: 5\r\n\r\ndraft"
    );
    let Ok(mut stream) = connect(front, 4000) else { return (0, false) };
    if stream.write_all(text.as_bytes()).is_err() {
        return (0, false);
    }
    let mut reader = BufReader::new(stream);
    if read_head(&mut reader).is_none_or(|head| head.status != 200) {
        return (0, false);
    }
    let mut got = 0;
    loop {
        match read_chunk(&mut reader) {
            Some(chunk) if chunk.is_empty() => return (got, got == EVENTS),
            Some(chunk) => got += String::from_utf8_lossy(&chunk).matches("data: piece").count(),
            None => return (got, false),
        }
    }
}
