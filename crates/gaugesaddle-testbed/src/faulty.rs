//! A small relay that breaks a rule on purpose, to test that the audit finds the violation. Without a fault it is a
//! round-robin relay that keeps the rules.

use crate::http::{Message, Reader};
use crate::scenario::{Effect, Scenario};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// The fault of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One request in eight gets no response.
    Drops,
    /// One request in eight is forwarded, and its client's connection is closed without a response.
    ClosesAfterSending,
    /// One response in eight is written twice.
    AnswersTwice,
    /// One response in eight comes after the client's deadline.
    AnswersLate,
    /// One request in eight is served with the response to another request.
    MixesUp,
    /// One request in eight is sent again after its response.
    SendsAfterAnswer,
    /// One keyed or unsafe request in eight is sent again at once, to the next node, though it may have run.
    Repeats,
    /// One request in eight is rejected after it was sent to a node and may have run.
    RefusesAfterRun,
    /// Requests are also sent to draining nodes.
    IgnoresDrains,
    /// All requests go to the node that started last.
    FloodsNewest,
}

/// Interval of faulty requests, for faults that do not affect every request.
const FAULT_INTERVAL: u64 = 8;
/// Fraction of the client's remaining time for which the relay waits for a node.
const WAIT_FRACTION: f64 = 0.8;

#[derive(Clone)]
struct Entry {
    address: SocketAddr,
    ready: bool,
    since_ms: u64,
}

/// A relay that runs on the thread that started it, in a `LocalSet`.
pub struct Faulty {
    fault: Fault,
    effects: HashMap<String, Effect>,
    list: RefCell<Vec<(String, Entry)>>,
    /// Number of requests so far.
    requests: Cell<u64>,
    /// Number of attempts so far, which selects the next node.
    next_node: Cell<u64>,
    last_response: RefCell<Option<Vec<u8>>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Faulty {
    pub async fn start(
        fault: Fault, s: &Scenario, listen: SocketAddr, discovery: SocketAddr,
    ) -> io::Result<Rc<Faulty>> {
        let listener = TcpListener::bind(listen).await?;
        let this = Rc::new(Faulty {
            fault,
            effects: s.classes.iter().map(|c| (c.name.clone(), c.effect)).collect(),
            list: RefCell::default(),
            requests: Cell::default(),
            next_node: Cell::default(),
            last_response: RefCell::default(),
            tasks: RefCell::default(),
        });
        let watch = this.clone();
        let watching = tokio::task::spawn_local(async move {
            loop {
                let _ = watch.poll_discovery(discovery).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        let accept = this.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(accept.clone().serve(stream));
            }
        });
        this.tasks.borrow_mut().extend([watching.abort_handle(), accepting.abort_handle()]);
        Ok(this)
    }

    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    pub fn is_ready(&self) -> bool {
        self.list.borrow().iter().any(|e| e.1.ready)
    }

    async fn poll_discovery(&self, discovery: SocketAddr) -> io::Result<Infallible> {
        let mut reader = Reader::new(TcpStream::connect(discovery).await?);
        let mut path = "/api/targets".to_string();
        loop {
            let text = format!("GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n");
            reader.get_mut().write_all(text.as_bytes()).await?;
            let answer = reader.message().await?;
            let value: serde_json::Value = serde_json::from_slice(&answer.body)?;
            let mut list = self.list.borrow_mut();
            if value["snapshot"] == true {
                list.clear();
            }
            for line in value["endpoints"].as_array().into_iter().flatten() {
                let name = line["name"].as_str().unwrap_or("").to_string();
                let Ok(address) = line["address"].as_str().unwrap_or("").parse() else { continue };
                let ready = line["status"] == "ready" || self.fault == Fault::IgnoresDrains;
                let entry = Entry { address, ready, since_ms: line["since_ms"].as_u64().unwrap_or(0) };
                list.retain(|e| e.0 != name);
                if line["status"] != "gone" {
                    list.push((name, entry));
                }
            }
            drop(list);
            path = format!("/api/targets?after={}&wait_ms=2000", value["index"]);
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message().await {
            let n = self.requests.get();
            self.requests.set(n + 1);
            let faulty = n % FAULT_INTERVAL == 0;
            let Some(mut answer) = self.handle(&message, faulty).await else { return };
            if faulty && self.fault == Fault::AnswersTwice {
                // Both copies are in one write, since the client could read a separate copy as the next response.
                answer.extend_from_within(..);
            }
            if reader.get_mut().write_all(&answer).await.is_err() {
                return;
            }
            if faulty && self.fault == Fault::SendsAfterAnswer {
                tokio::time::sleep(Duration::from_millis(150)).await;
                let _ = self.send(&message, Duration::from_millis(500)).await;
            }
        }
    }

    /// The response; `None` to close the connection without one.
    async fn handle(&self, message: &Message, faulty: bool) -> Option<Vec<u8>> {
        let time_left = Duration::from_millis(message.number("x-time-left-ms").unwrap_or(500));
        let effect = message.header("x-service-class").and_then(|c| self.effects.get(c)).copied();
        let safe = effect == Some(Effect::Safe);
        if faulty && self.fault == Fault::Drops {
            tokio::time::sleep(time_left * 4).await;
            return None;
        }
        let response = self.send(message, time_left.mul_f64(WAIT_FRACTION)).await;
        match self.fault {
            Fault::ClosesAfterSending if faulty => return None,
            Fault::AnswersLate if faulty => tokio::time::sleep(time_left + Duration::from_millis(200)).await,
            Fault::MixesUp if faulty => {
                if let Some(other) = self.last_response.borrow().clone() {
                    return Some(other);
                }
            }
            Fault::Repeats if !safe && faulty => {
                let again = self.send(message, time_left.mul_f64(WAIT_FRACTION / 4.0)).await;
                return Some(again.or(response).unwrap_or_else(|| encode_response(502, "failed")));
            }
            Fault::RefusesAfterRun if faulty => return Some(encode_response(503, "refused")),
            _ => {}
        }
        if let Some(response) = &response {
            *self.last_response.borrow_mut() = Some(response.clone());
        }
        Some(response.unwrap_or_else(|| encode_response(502, "failed")))
    }

    /// Sends one attempt to a node. Returns a 200 as encoded for the client, `None` for every other outcome.
    async fn send(&self, message: &Message, within: Duration) -> Option<Vec<u8>> {
        let to = {
            let list = self.list.borrow();
            let ready: Vec<&Entry> = list.iter().map(|e| &e.1).filter(|e| e.ready).collect();
            let n = self.next_node.get() as usize;
            self.next_node.set(self.next_node.get() + 1);
            match self.fault {
                Fault::FloodsNewest => ready.iter().max_by_key(|e| e.since_ms)?.address,
                _ => ready.get(n % ready.len().max(1))?.address,
            }
        };
        let mut text = format!("{}\r\n", message.start).into_bytes();
        for (name, value) in &message.headers {
            text.extend(format!("{name}: {value}\r\n").bytes());
        }
        text.extend(b"\r\n");
        text.extend(&message.body);
        let exchange = async {
            let mut reader = Reader::new(TcpStream::connect(to).await?);
            reader.get_mut().write_all(&text).await?;
            reader.message().await
        };
        let response = tokio::time::timeout(within, exchange).await.ok()?.ok()?;
        (response.status() == Some(200))
            .then(|| encode_response(200, &String::from_utf8_lossy(&response.body)))
    }
}

fn encode_response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
