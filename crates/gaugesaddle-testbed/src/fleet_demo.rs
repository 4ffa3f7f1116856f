//! The demo of a small router fleet on loopback: three control processes, two proxies, four streaming stand-in
//! backends, an operator and clients. A control process is killed, a backend drains and the configuration changes.

use gaugesaddle_testbed::fleet::{document, Chunked, Fleet};
use gaugesaddle_testbed::scripted::{Backend, Message, Reply};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CONTROLS: u8 = 3;
const EDGES: u8 = 2;
const BACKENDS: usize = 4;
/// Timeout of each step of the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval of a backend's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Delay between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

fn stream(message: &Message) -> Reply {
    let id = message.header("request-id").unwrap_or_default();
    let events: String = (0..5).map(|n| format!("id: {n}\ndata: token {n}\n\n")).collect();
    Reply::Respond(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    ))
}

/// Outcomes of the clients' requests.
#[derive(Default)]
struct Tally {
    outcomes: BTreeMap<String, u64>,
    slowest: Duration,
}

impl Tally {
    fn send_request(&mut self, fleet: &Fleet, number: u64) {
        let edge = usize::from(CONTROLS) + (number % u64::from(EDGES)) as usize;
        let text = format!(
            "POST /stream/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: demo-{number}\r\nDeadline-Ms: 4000\r\n\
             Api-Key: k-free\r\nContent-Length: 5\r\n\r\nhello"
        );
        let begun = Instant::now();
        let outcome = match Chunked::open(fleet.front(edge), &text) {
            Ok(mut stream) if stream.head.status() == 200 => match stream.rest() {
                Ok(_) => "complete streams".to_owned(),
                Err(_) => "truncated streams".to_owned(),
            },
            Ok(stream) => format!("status {}", stream.head.status()),
            Err(_) => "no response".to_owned(),
        };
        self.slowest = self.slowest.max(begun.elapsed());
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    fn line(&self) -> String {
        let parts: Vec<String> = self.outcomes.iter().map(|(what, n)| format!("{what} {n}")).collect();
        format!("{}, slowest {} ms", parts.join(", "), self.slowest.as_millis())
    }
}

/// Executes a step of the demo and returns its description.
fn run_step(step: u64, fleet: &mut Fleet, backends: &[(String, SocketAddr)]) -> io::Result<Option<String>> {
    match step {
        1 => {
            // If this process is the leader, the other two elect a new one.
            fleet.kill(0);
            Ok(Some("control process 0 is killed".to_owned()))
        }
        2 => {
            let (id, address) = &backends[0];
            let status = fleet.heartbeat(1, id, "s", *address, "draining");
            Ok(Some(format!("backend {id} drains, its heartbeat has status {status}")))
        }
        3 => {
            let (status, _) = fleet.put(1, 1, &document(2).to_string());
            Ok(Some(format!("configuration 2 based on 1 has status {status}")))
        }
        4 => {
            fleet.start_process(0)?;
            Ok(Some("control process 0 starts again".to_owned()))
        }
        5 => {
            let (status, text) = fleet.get(0);
            let newest = text.contains("\"revision\":2");
            Ok(Some(format!("control process 0 has status {status}, configuration 2: {newest}")))
        }
        _ => Ok(None),
    }
}

/// Runs the demo for that many seconds and returns whether every stream was complete.
pub fn play(seconds: f64) -> io::Result<bool> {
    let mut fleet = Fleet::start(CONTROLS, EDGES)?;
    let servers: Vec<Backend> = (0..BACKENDS).map(|_| Backend::start(stream)).collect();
    let backends: Vec<(String, SocketAddr)> =
        servers.iter().enumerate().map(|(n, b)| (format!("i-{n}"), b.address)).collect();
    wait_until("the configuration is accepted", || fleet.put(0, 0, &document(1).to_string()).0 == 200)?;
    for (id, address) in &backends {
        wait_until("a backend is registered", || fleet.heartbeat(0, id, "s", *address, "ready") == 200)?;
    }
    let edges = usize::from(CONTROLS)..usize::from(CONTROLS + EDGES);
    for edge in edges {
        wait_until("a proxy is ready", || fleet.is_ready(edge))?;
    }
    println!("{CONTROLS} control processes, {EDGES} proxies, {BACKENDS} backends: ready");
    let (begun, mut beat, mut step, mut tally) = (Instant::now(), Instant::now(), 1, Tally::default());
    let span = Duration::from_secs_f64(seconds);
    let mut number = 0;
    while begun.elapsed() < span {
        tally.send_request(&fleet, number);
        number += 1;
        if beat.elapsed() >= HEARTBEAT_INTERVAL {
            beat = Instant::now();
            for (at, (id, address)) in backends.iter().enumerate() {
                let state = if at == 0 && step > 2 { "draining" } else { "ready" };
                fleet.heartbeat(1 + at % 2, id, "s", *address, state);
            }
        }
        if begun.elapsed() >= span.mul_f64(step as f64 / 6.0) {
            if let Some(what) = run_step(step, &mut fleet, &backends)? {
                println!("{:5.1} s  {what}; so far: {}", begun.elapsed().as_secs_f64(), tally.line());
            }
            step += 1;
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    println!("{number} requests: {}", tally.line());
    Ok(tally.outcomes.keys().all(|what| what == "complete streams"))
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while !holds() {
        if Instant::now() >= end {
            return Err(io::Error::new(io::ErrorKind::TimedOut, format!("timed out waiting until {what}")));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
