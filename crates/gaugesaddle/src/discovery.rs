//! The list of backends: its form, and the watch on it.

use crate::clock::Clock;
use crate::exchange::{Input, Target};
use crate::renewal::{Ask, Failure, Heard, Renewal, Step};
use bytes::Bytes;
use gaugesaddle_balancer::settings::{number, Key, KeyError};
use gaugesaddle_balancer::{Backend, BackendId, BackendState, CellId, KindId, ListUpdate, Time, ZoneId};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::value::RawValue;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};

/// What discovery told.
#[derive(Clone)]
pub struct List {
    pub index: u64,
    /// The whole list, not changes.
    pub whole: bool,
    pub targets: Vec<Target>,
}

/// What a list may have, by the memory that the proxy is told.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Its bytes, indented or not.
    pub bytes: usize,
    /// Its lines, and the backends that are held at once.
    pub lines: usize,
}

impl Room {
    /// A line is some 150 bytes, 300 where it is indented, and a backend takes some 4 KB once it is in use (its row in
    /// the module, the driver, the registry); a quarter of the memory may go there. No less than what the largest fleets
    /// need: a thousand of either.
    pub fn of(memory: usize) -> Room {
        Room { bytes: (memory / 16).clamp(1 << 20, 4 << 20), lines: (memory / (16 << 10)).max(2_048) }
    }
}

/// Reads a list that stands at `path` in its document; one bad line refuses the whole of it, for a half-read list would drop
/// backends. Only one line at a time is held as a document: a thousand of them take less than the text.
pub fn read(text: &[u8], path: &str, room: Room) -> Result<List, ListError> {
    #[derive(serde::Deserialize)]
    struct Document<'a> {
        #[serde(default)]
        index: Value,
        #[serde(default)]
        snapshot: Value,
        #[serde(borrow)]
        endpoints: Option<&'a RawValue>,
    }
    let document: Document = serde_json::from_slice(text)?;
    let head = json!({"index": document.index, "snapshot": document.snapshot});
    let root = Key::at(path.into(), &head);
    let endpoints = root.get("endpoints");
    let raw = endpoints.want(document.endpoints, "an array")?.get();
    let lines: Vec<&RawValue> = serde_json::from_str(raw).map_err(|_| endpoints.unfit("an array", raw))?;
    if lines.len() > room.lines {
        let most = format!("no more than {} lines for the memory told", room.lines);
        return Err(endpoints.unfit(&most, &lines.len().to_string()).into());
    }
    let mut targets = Vec::with_capacity(lines.len());
    for (n, line) in lines.iter().enumerate() {
        let value: Value = serde_json::from_str(line.get())?;
        targets.push(target(&endpoints.item(n, &value))?);
    }
    let index = root.get("index");
    let version = index.value().and_then(Value::as_u64);
    Ok(List { index: index.want(version, "a version")?, whole: root.get("snapshot").flag()?, targets })
}

/// Why a list can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    #[error("expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// A line of a list.
fn target(line: &Key) -> Result<Target, KeyError> {
    let (status, since) = (line.get("status"), line.get("since_ms"));
    let state = match status.text()? {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        "gone" => BackendState::Departed,
        _ => return status.want(None, "ready, draining or gone"),
    };
    let started =
        since.want(since.value().map_or(Some(0), serde_json::Value::as_u64), "whole milliseconds")?;
    let address = line.get("address");
    let (name, zone, kind) = (line.get("name").text()?, line.get("zone").text()?, line.get("type").text()?);
    let (cell, weight) = (line.get("group"), line.get("weight"));
    let backend = Backend {
        id: BackendId(number(name)),
        zone: ZoneId(number(zone)),
        cell: CellId(cell.want(cell.value().and_then(Value::as_u64), "a group number")?),
        kind: KindId(number(kind)),
        state,
        booted: Some(Time(started.saturating_mul(1000))).filter(|t| t.0 > 0),
        weight: weight.want(Some(weight.real()?).filter(|w| *w >= 0.0), "a weight of 0 or more")?,
    };
    let address = address.want(address.text()?.parse().ok(), "an address")?;
    Ok(Target { backend, address, name: name.into(), zone: zone.into(), kind: kind.into() })
}

/// One connection to discovery; dropping it closes it.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    driving: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driving.abort();
    }
}

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the list: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    List(#[from] ListError),
}

async fn dial(to: SocketAddr) -> Result<Line, CallError> {
    let stream = TcpStream::connect(to).await.map_err(CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driving = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery connection: {e}");
        }
    });
    Ok(Line { sender, driving })
}

async fn ask(line: &mut Line, host: SocketAddr, path: &str, room: Room) -> Result<List, CallError> {
    line.sender.ready().await?;
    let request = Request::get(path).header(hyper::header::HOST, host.to_string()).body(Empty::new())?;
    let answer = line.sender.send_request(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), room.bytes).collect().await.map_err(CallError::Body)?;
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    Ok(read(&body.to_bytes(), "", room)?)
}

/// How discovery is used.
pub struct Watch {
    /// When it is called, and how often.
    pub renewal: Renewal,
    pub clock: Clock,
    pub room: Room,
    /// Told when the module wants to be told of changes.
    pub follow: Rc<Notify>,
    pub inputs: mpsc::UnboundedSender<Input>,
}

/// A call that has ended, with the connection if that is of further use.
type Done = (u64, Result<(Line, List), CallError>);

impl Watch {
    /// Watches for ever, at the address that was told last. Another address drops the calls that are out, their
    /// connections, the pauses and the version, which only the old service could tell.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let mut address = *addresses.borrow_and_update();
        let mut line: Option<Line> = None;
        let mut calls: JoinSet<Done> = JoinSet::new();
        let mut out: HashMap<u64, AbortHandle> = HashMap::new();
        let mut silent: Option<Time> = None;
        loop {
            let now = self.clock.now();
            match self.renewal.step(now) {
                Step::Call(ask) => {
                    let held = line.take().filter(|l| !l.sender.is_closed());
                    let number = ask.number;
                    let room = self.room;
                    let call = async move { (number, call(held, address, ask, room).await) };
                    out.insert(number, calls.spawn_local(call));
                }
                Step::Drop(number) => out.remove(&number).iter().for_each(AbortHandle::abort),
                Step::Wait(until) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(until));
                    tokio::select! {
                        Some(done) = calls.join_next(), if !calls.is_empty() => {
                            // One that was dropped has nothing to say.
                            if let Ok((number, result)) = done {
                                out.remove(&number);
                                line = self.ended(number, result).or(line);
                            }
                        }
                        () = self.follow.notified() => self.renewal.order(self.clock.now()),
                        told = addresses.changed() => match told {
                            Ok(()) => {
                                (address, line) = (*addresses.borrow_and_update(), None);
                                self.renewal.moved(self.clock.now());
                            }
                            Err(_) => return, // the program ends
                        },
                        () = sleep => {}
                    }
                }
            }
            if self.renewal.take_lost() {
                let lost = Input::List { update: ListUpdate::Lost, index: None, targets: Vec::new() };
                let _ = self.inputs.send(lost);
            }
            // Said when it begins and when it is over: a line a call would bury the rest.
            match (self.renewal.unanswered(), silent) {
                (1.., None) => {
                    silent = Some(now);
                    tracing::warn!("discovery: no list, called anew until there is one");
                }
                (0, Some(since)) => {
                    silent = None;
                    tracing::info!(
                        "discovery: tells a list again after {:.2} s",
                        (self.clock.now() - since).secs()
                    );
                }
                _ => {}
            }
        }
    }

    /// Takes up what a call brought; returns its connection if that is of further use.
    fn ended(&mut self, number: u64, result: Result<(Line, List), CallError>) -> Option<Line> {
        let now = self.clock.now();
        match result {
            Ok((line, list)) => {
                let news = list.whole || !list.targets.is_empty();
                match self.renewal.answered(now, number, list.index, list.whole, news) {
                    Heard::Late => return None,
                    Heard::Foreign => {
                        tracing::warn!(
                            "discovery: version {} is behind, the whole list is asked for",
                            list.index
                        );
                    }
                    Heard::Good => {
                        tracing::debug!(
                            index = list.index,
                            whole = list.whole,
                            lines = list.targets.len(),
                            "list"
                        );
                        let update = if list.whole { ListUpdate::Full } else { ListUpdate::Changes };
                        if news || !self.renewal.is_pushed() {
                            let (index, targets) = (Some(list.index), list.targets);
                            let _ = self.inputs.send(Input::List { update, index, targets });
                        }
                    }
                }
                Some(line)
            }
            Err(why) => {
                let failure = match why {
                    CallError::Connect(_) | CallError::Http(_) | CallError::Request(_) => Failure::Broken,
                    CallError::Body(_) | CallError::Status(_) | CallError::List(_) => Failure::Unusable,
                };
                // The list held stays in force. Each answer that can't be used says why: the pauses after them grow.
                if self.renewal.unanswered() == 0 || failure == Failure::Unusable {
                    tracing::warn!("discovery: {why}");
                } else {
                    tracing::debug!("discovery: {why}");
                }
                self.renewal.failed(now, number, failure);
                None
            }
        }
    }
}

async fn call(
    held: Option<Line>, address: SocketAddr, call: Ask, room: Room,
) -> Result<(Line, List), CallError> {
    let mut line = match held {
        Some(held) => held,
        None => dial(address).await?,
    };
    let path = match call.after {
        Some(index) => format!("/api/targets?after={index}&wait_ms={}", call.wait.0 / 1000),
        None => "/api/targets".into(),
    };
    let list = ask(&mut line, address, &path, room).await?;
    Ok((line, list))
}
