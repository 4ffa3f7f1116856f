//! A discovery service that publishes what the test says, and fails in the ways that the test asks for.

use super::{read_message, until};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
pub fn endpoint(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}

#[derive(Default)]
struct ListState {
    index: u64,
    /// By name, with the version that brought it.
    entries: BTreeMap<String, (u64, Value)>,
    /// The version that was told as a whole list; 0: none was, and `lines` are changes of a list that it never told.
    snapshot_version: u64,
    /// The next answer, word for word.
    scripted_answer: Option<String>,
    /// Lists come in many lines.
    indented: bool,
    /// The next list stops in its middle.
    truncated: bool,
    /// The last version given, and calls when it was.
    last_response: (u64, usize),
    /// How often it has fallen silent and come back: even, it speaks.
    outage_transitions: u64,
    /// In place of silence it closes what is open and what comes.
    resets: bool,
}

impl ListState {
    /// What a call is answered; `None`: nothing yet. `over`: it may wait no longer.
    fn answer(&mut self, after: Option<u64>, timed_out: bool, calls: usize) -> Option<String> {
        if let Some(response) = self.scripted_answer.take() {
            self.last_response = (self.index, calls);
            return Some(response);
        }
        let whole = after.is_none_or(|after| after < self.snapshot_version);
        match after {
            None if self.snapshot_version == 0 => return None,
            Some(after) if after >= self.index && !timed_out => return None,
            Some(after) if after >= self.index => {}
            _ => self.last_response = (self.index, calls),
        }
        let is_departed = |line: &Value| line["status"] == "gone";
        let changed = self.entries.values().filter(|(version, line)| {
            if whole {
                !is_departed(line)
            } else {
                after.is_some_and(|after| *version > after)
            }
        });
        let lines: Vec<&Value> = changed.map(|l| &l.1).collect();
        let list = json!({"index": self.index, "snapshot": whole, "endpoints": lines});
        if self.indented {
            return serde_json::to_string_pretty(&list).ok();
        }
        Some(list.to_string())
    }

    fn apply(&mut self, whole: bool, lines: &[Value]) {
        self.index += 1;
        if whole {
            (self.entries, self.snapshot_version) = (BTreeMap::new(), self.index);
        }
        for line in lines {
            let name = line["name"].as_str().unwrap_or_default().to_string();
            self.entries.insert(name, (self.index, line.clone()));
        }
    }
}

/// Discovery: answers a call once there is news, or after its wait. One that falls silent swallows the calls that are out
/// and those that come: they are not answered either when it is back.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
    calls: Arc<Mutex<usize>>,
    closed: Arc<Mutex<usize>>,
}

impl Discovery {
    /// Starts one that has nothing to tell.
    pub fn start() -> Discovery {
        Discovery::listen(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts one at an address that refused until now, with the whole list to tell.
    pub fn start_at(address: SocketAddr, lines: &[Value]) -> Discovery {
        let discovery = Discovery::listen(TcpListener::bind(address).unwrap());
        discovery.state.0.lock().unwrap().apply(true, lines);
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

    /// Waits for news; `None` once the other side has closed the connection.
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
                if let Some(answer) = state.answer(after, Instant::now() >= end, self.calls()) {
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

    /// Connections that the proxy has closed.
    pub fn closed(&self) -> usize {
        *self.closed.lock().unwrap()
    }

    /// Falls silent; returns once a call that came after that is swallowed.
    pub fn stop_answering(&self) {
        self.fail(false);
    }

    /// Closes what is open and what comes; returns once one that came after that is closed.
    pub fn reset(&self) {
        self.fail(true);
    }

    fn fail(&self, resets: bool) {
        let before = {
            let mut state = self.state.0.lock().unwrap();
            assert!(state.outage_transitions % 2 == 0, "it speaks no more");
            (state.outage_transitions, state.resets) = (state.outage_transitions + 1, resets);
            self.calls()
        };
        until("a call in vain", || self.calls() > before);
    }

    /// From closing what comes to swallowing it; returns once a call is swallowed.
    pub fn stop_resetting(&self) {
        let before = {
            let mut state = self.state.0.lock().unwrap();
            assert!(state.outage_transitions % 2 == 1, "it speaks");
            state.resets = false;
            self.calls()
        };
        until("a call in vain", || self.calls() > before);
    }

    /// Counts from the start again, and has this list.
    pub fn restart_with(&self, lines: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        state.index = 0;
        state.apply(true, lines);
        self.state.1.notify_all();
    }

    /// Has something to tell from this moment on, of which the next answer brings half and then nothing.
    pub fn publish_truncated(&self, whole: bool, lines: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        state.apply(whole, lines);
        state.truncated = true;
        self.state.1.notify_all();
    }

    /// Speaks again and has something to tell from this moment on, whether or not it is asked.
    pub fn resume(&self, whole: bool, lines: &[Value]) {
        let mut state = self.state.0.lock().unwrap();
        assert!(state.outage_transitions % 2 == 1, "it speaks");
        state.outage_transitions += 1;
        state.apply(whole, lines);
        self.state.1.notify_all();
    }

    /// Tells the whole list or changes, and waits until the proxy has asked again: it holds them then.
    pub fn publish(&self, whole: bool, lines: &[Value]) {
        self.state.0.lock().unwrap().apply(whole, lines);
        self.await_next_call();
    }

    /// The same, word for word, to whoever asks next.
    pub fn answer_with(&self, answer: &str) {
        self.state.0.lock().unwrap().scripted_answer = Some(answer.into());
        self.await_next_call();
    }

    /// Lists come in many lines from now on.
    pub fn indent(&self) {
        self.state.0.lock().unwrap().indented = true;
    }

    fn await_next_call(&self) {
        self.state.1.notify_all();
        until("the next call of discovery", || {
            let state = self.state.0.lock().unwrap();
            state.scripted_answer.is_none()
                && state.last_response.0 >= state.index
                && self.calls() > state.last_response.1
        });
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        *self.calls.lock().unwrap()
    }
}
