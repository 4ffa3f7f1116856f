//! A discovery service that publishes the lists of a test and injects failures.

use super::{read_message, until};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An endpoint in a list of discovery.
pub fn endpoint(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}

#[derive(Default)]
struct ListState {
    index: u64,
    /// By name, with the version of the last change.
    entries: BTreeMap<String, (u64, Value)>,
    /// The version that was published as a snapshot; 0: none was, and `entries` are changes to a list that was never
    /// published.
    snapshot_version: u64,
    /// The next response body, verbatim.
    scripted_answer: Option<String>,
    /// Whether lists are formatted over several lines.
    indented: bool,
    /// Whether the next response body is cut off after its first half.
    truncated: bool,
    /// The version of the last response, and the number of calls at that time.
    last_response: (u64, usize),
    /// Number of starts and ends of outages; even: the service responds.
    outage_transitions: u64,
    /// Whether an outage closes connections, instead of leaving calls without a response.
    resets: bool,
}

impl ListState {
    /// The response to a call; `None`: none yet. `timed_out`: the wait of the call is over.
    fn respond(&mut self, after: Option<u64>, timed_out: bool, calls: usize) -> Option<String> {
        if let Some(response) = self.scripted_answer.take() {
            self.last_response = (self.index, calls);
            return Some(response);
        }
        let snapshot = after.is_none_or(|after| after < self.snapshot_version);
        match after {
            None if self.snapshot_version == 0 => return None,
            Some(after) if after >= self.index && !timed_out => return None,
            Some(after) if after >= self.index => {}
            _ => self.last_response = (self.index, calls),
        }
        let is_departed = |entry: &Value| entry["status"] == "gone";
        let changed = self.entries.values().filter(|(version, entry)| {
            if snapshot {
                !is_departed(entry)
            } else {
                after.is_some_and(|after| *version > after)
            }
        });
        let endpoints: Vec<&Value> = changed.map(|l| &l.1).collect();
        let list = json!({"index": self.index, "snapshot": snapshot, "endpoints": endpoints});
        if self.indented {
            return serde_json::to_string_pretty(&list).ok();
        }
        Some(list.to_string())
    }

    fn apply(&mut self, snapshot: bool, endpoints: &[Value]) {
        self.index += 1;
        if snapshot {
            (self.entries, self.snapshot_version) = (BTreeMap::new(), self.index);
        }
        for entry in endpoints {
            let name = entry["name"].as_str().unwrap_or_default().to_string();
            self.entries.insert(name, (self.index, entry.clone()));
        }
    }
}

/// A discovery service with long polling: it responds to a call once there is a newer version, or after the wait of the
/// call. Calls that are pending or arrive during an outage receive no response, not even after it has ended.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
    calls: Arc<Mutex<usize>>,
    closed: Arc<Mutex<usize>>,
}

impl Discovery {
    /// Starts a service with nothing published.
    pub fn start() -> Discovery {
        Discovery::listen(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts a service at a given address with a snapshot to publish.
    pub fn start_at(address: SocketAddr, endpoints: &[Value]) -> Discovery {
        let discovery = Discovery::listen(TcpListener::bind(address).unwrap());
        discovery.state.0.lock().unwrap().apply(true, endpoints);
        discovery
    }

    fn listen(listener: TcpListener) -> Discovery {
        let address = listener.local_addr().unwrap();
        let discovery =
            Discovery { address, state: Arc::default(), calls: Arc::default(), closed: Arc::default() };
        let all = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = all.clone();
                std::thread::spawn(move || discovery.serve_connection(stream));
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = read_message(&mut reader) {
            *self.calls.lock().unwrap() += 1;
            let Some(answer) = self.await_response(&stream, &message.start) else { break };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
            let truncated = std::mem::take(&mut self.state.0.lock().unwrap().truncated);
            let written = if truncated { &answer[..answer.len() / 2] } else { &answer[..] };
            let _ = stream.write_all((head + written).as_bytes());
        }
    }

    /// Waits for a response to a call; `None` once the proxy has closed the connection, or an outage closes it.
    fn await_response(&self, stream: &TcpStream, call: &str) -> Option<String> {
        let number = |key: &str| {
            let (_, rest) = call.split_once(key)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        let transitions = state.outage_transitions;
        stream.set_nonblocking(true).unwrap();
        while !matches!(stream.peek(&mut [0]), Ok(0)) {
            if transitions % 2 == 0 && transitions == state.outage_transitions {
                if let Some(answer) = state.respond(after, Instant::now() >= end, self.calls()) {
                    stream.set_nonblocking(false).unwrap();
                    return Some(answer);
                }
            }
            if state.resets && state.outage_transitions % 2 == 1 {
                return None;
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
        }
        *self.closed.lock().unwrap() += 1;
        None
    }

    /// Number of connections that the proxy closed while a call was pending.
    pub fn closed(&self) -> usize {
        *self.closed.lock().unwrap()
    }

    /// Starts an outage without responses; returns once a call has arrived during it.
    pub fn stop_answering(&self) {
        self.fail(false);
    }

    /// Starts an outage that closes connections; returns once a call has arrived during it.
    pub fn reset(&self) {
        self.fail(true);
    }

    fn fail(&self, resets: bool) {
        let before = {
            let mut state = self.state.0.lock().unwrap();
            assert!(state.outage_transitions % 2 == 0, "an outage has already started");
            (state.outage_transitions, state.resets) = (state.outage_transitions + 1, resets);
            self.calls()
        };
        until("a call during the outage", || self.calls() > before);
    }

    /// Changes an outage that closes connections to one without responses; returns once a call has arrived during it.
    pub fn stop_resetting(&self) {
        let before = {
            let mut state = self.state.0.lock().unwrap();
            assert!(state.outage_transitions % 2 == 1, "no outage has started");
            state.resets = false;
            self.calls()
        };
        until("a call during the outage", || self.calls() > before);
    }

    /// Restarts the version numbers and publishes a snapshot, as a restarted service does.
    pub fn restart_with(&self, endpoints: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        state.index = 0;
        state.apply(true, endpoints);
        self.state.1.notify_all();
    }

    /// Publishes a snapshot or changes, of which the next response contains only the first half of the body.
    pub fn publish_truncated(&self, snapshot: bool, endpoints: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        state.apply(snapshot, endpoints);
        state.truncated = true;
        self.state.1.notify_all();
    }

    /// Ends an outage and publishes a snapshot or changes, without waiting for a call.
    pub fn resume(&self, snapshot: bool, endpoints: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        assert!(state.outage_transitions % 2 == 1, "no outage has started");
        state.outage_transitions += 1;
        state.apply(snapshot, endpoints);
        self.state.1.notify_all();
    }

    /// Publishes a snapshot or changes and waits for the next call of the proxy, which has applied them by then.
    pub fn publish(&self, snapshot: bool, endpoints: &[Value]) {
        self.state.0.lock().unwrap().apply(snapshot, endpoints);
        self.await_next_call();
    }

    /// Sends a verbatim body in response to the next call, and waits for the call after it.
    pub fn answer_with(&self, answer: &str) {
        self.state.0.lock().unwrap().scripted_answer = Some(answer.into());
        self.await_next_call();
    }

    /// Formats lists over several lines from now on.
    pub fn indent(&self) {
        self.state.0.lock().unwrap().indented = true;
    }

    fn await_next_call(&self) {
        self.state.1.notify_all();
        until("the next call to discovery", || {
            let state = self.state.0.lock().unwrap();
            state.scripted_answer.is_none()
                && state.last_response.0 >= state.index
                && self.calls() > state.last_response.1
        });
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> usize {
        *self.calls.lock().unwrap()
    }
}
