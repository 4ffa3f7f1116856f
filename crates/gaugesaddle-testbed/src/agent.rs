//! Stand-in discovery: what a proxy is told of the fleet, late, silent, down or at another address.
//!
//! Where lists are pushed there is one agent beside each proxy, with delays of its own; where they are asked for
//! the same calls go to one service. Either way it is one [`Agent`] a proxy here.

use crate::http::{Message, Reader};
use crate::record::{Boot, Event, Journal, Standing};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// After a move the old address closes what is open, so much later.
const MOVED: Duration = Duration::from_millis(1500);
/// The longest wait that a call may ask for.
const WAIT_MS: u64 = 60_000;
/// Lines of nodes that have left are kept for changes, so many; older ones need the whole list.
const GONE_KEPT: usize = 1024;

/// What the list says of a node's process.
#[derive(Clone, Debug)]
pub struct Line {
    pub boot: Boot,
    pub name: String,
    /// Where this proxy finds it.
    pub address: SocketAddr,
    pub hall: String,
    pub kind: String,
    /// Its start, Unix milliseconds; 0: long ago.
    pub since_ms: u64,
    pub standing: Standing,
}

impl Line {
    fn json(&self) -> Value {
        let status = match self.standing {
            Standing::Ready => "ready",
            Standing::Draining => "draining",
            Standing::Gone => "gone",
        };
        json!({"name": self.name, "address": self.address.to_string(), "zone": self.hall, "type": self.kind,
               "group": 1, "status": status, "weight": 1.0, "since_ms": self.since_ms})
    }
}

/// The agent of one proxy.
pub struct Agent {
    proxy: usize,
    journal: Journal,
    address: Cell<SocketAddr>,
    /// By name, with the version that brought it.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    version: Cell<u64>,
    down: Cell<bool>,
    /// How often it has fallen silent: a call that was out then is never answered.
    silences: Cell<u64>,
    /// What has happened meanwhile: it learns of it at its return.
    missed: RefCell<Vec<Line>>,
    changed: Notify,
    listening: RefCell<Option<AbortHandle>>,
    open: RefCell<Vec<AbortHandle>>,
    /// What this start of the proxy has been told to be there.
    told: RefCell<BTreeSet<Boot>>,
}

impl Agent {
    pub async fn start(proxy: usize, journal: Journal, bind: SocketAddr) -> io::Result<Rc<Agent>> {
        let agent = Rc::new(Agent {
            proxy,
            journal,
            address: Cell::new(bind),
            lines: RefCell::default(),
            version: Cell::new(1),
            down: Cell::default(),
            silences: Cell::default(),
            missed: RefCell::default(),
            changed: Notify::new(),
            listening: RefCell::default(),
            open: RefCell::default(),
            told: RefCell::default(),
        });
        agent.clone().listen(bind).await?;
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Takes no more connections at its old address and listens at a new one.
    pub async fn listen(self: Rc<Self>, bind: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(bind).await?;
        self.address.set(listener.local_addr()?);
        let this = self.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let handle = tokio::task::spawn_local(this.clone().serve(stream)).abort_handle();
                let mut open = this.open.borrow_mut();
                open.retain(|t| !t.is_finished());
                open.push(handle);
            }
        });
        if let Some(old) = self.listening.replace(Some(accepting.abort_handle())) {
            old.abort();
            let open = std::mem::take(&mut *self.open.borrow_mut());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(MOVED).await;
                open.iter().for_each(AbortHandle::abort);
            });
        }
        Ok(())
    }

    /// Silent while true; learns nothing, and at its return all at once.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if down {
            self.silences.set(self.silences.get() + 1);
        } else {
            self.missed.take().into_iter().for_each(|line| self.put(line));
        }
        self.changed.notify_waiters();
    }

    /// Takes news of a node's process; older news of the same name are passed over.
    pub fn put(&self, line: Line) {
        if self.down.get() {
            return self.missed.borrow_mut().push(line);
        }
        let mut lines = self.lines.borrow_mut();
        if let Some((_, held)) = lines.get(&line.name) {
            let older = line.boot.boot < held.boot.boot;
            let back = line.boot == held.boot && held.standing == Standing::Gone;
            if older || back {
                return;
            }
        }
        self.version.set(self.version.get() + 1);
        let (boot, standing) = (line.boot, line.standing);
        self.journal.put(Event::Published { proxy: self.proxy, boot, standing });
        lines.insert(line.name.clone(), (self.version.get(), line));
        let gone: Vec<(u64, String)> = lines
            .iter()
            .filter(|l| l.1 .1.standing == Standing::Gone)
            .map(|(name, (version, _))| (*version, name.clone()))
            .collect();
        if gone.len() > GONE_KEPT {
            if let Some((_, name)) = gone.iter().min() {
                lines.remove(name);
            }
        }
        drop(lines);
        self.changed.notify_waiters();
    }

    /// The list as a starting proxy gets it in its configuration; what it says counts as told.
    pub fn known(&self) -> Value {
        self.told.borrow_mut().clear();
        let (lines, held) = self.whole();
        self.wrote(&held, true);
        json!({"index": self.version.get(), "snapshot": true, "endpoints": lines})
    }

    fn whole(&self) -> (Vec<Value>, Vec<Line>) {
        let lines = self.lines.borrow();
        let held: Vec<Line> =
            lines.values().map(|l| l.1.clone()).filter(|l| l.standing != Standing::Gone).collect();
        (held.iter().map(Line::json).collect(), held)
    }

    /// Writes down what a proxy has just been told.
    fn wrote(&self, lines: &[Line], whole: bool) {
        let mut told = self.told.borrow_mut();
        let tell = |boot: Boot, standing: Standing| {
            self.journal.put(Event::Told { proxy: self.proxy, boot, standing });
        };
        if whole {
            let named: BTreeSet<Boot> = lines.iter().map(|l| l.boot).collect();
            for boot in told.difference(&named) {
                tell(*boot, Standing::Gone);
            }
            *told = named;
        }
        for line in lines {
            tell(line.boot, line.standing);
            match line.standing {
                Standing::Gone => told.remove(&line.boot),
                _ => told.insert(line.boot),
            };
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message().await {
            let Some((body, lines, whole)) = self.answer(&message).await else {
                let missing = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                if reader.get_mut().write_all(missing).await.is_err() {
                    return;
                }
                continue;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if reader.get_mut().write_all(head.as_bytes()).await.is_err() {
                return;
            }
            self.wrote(&lines, whole);
        }
    }

    /// The body, its lines, and whether it is the whole list.
    async fn answer(&self, message: &Message) -> Option<(String, Vec<Line>, bool)> {
        let (path, query) = message.path().split_once('?').unwrap_or((message.path(), ""));
        if path != "/api/targets" {
            self.journal.put(Event::Strange { text: format!("discovery: {}", message.start) });
            return None;
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|p| p.0 == name).and_then(|p| p.1.parse::<u64>().ok())
        };
        let after = number("after").filter(|v| *v <= self.version.get());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(WAIT_MS));
        let end = tokio::time::Instant::now() + wait;
        let silences = self.silences.get();
        loop {
            // As a connection does whose other side was cut off: what it has swallowed stays swallowed.
            if self.down.get() || self.silences.get() != silences {
                std::future::pending::<()>().await;
            }
            let changed = self.changed.notified();
            let version = self.version.get();
            let (lines, held, whole) = match after {
                Some(after) if after < version => {
                    let lines = self.lines.borrow();
                    let news = lines.values().filter(|l| l.0 > after);
                    let held: Vec<Line> = news.map(|l| l.1.clone()).collect();
                    (held.iter().map(Line::json).collect(), held, false)
                }
                Some(_) if tokio::time::Instant::now() < end => {
                    let _ = tokio::time::timeout_at(end, changed).await;
                    continue;
                }
                Some(_) => (Vec::new(), Vec::new(), false),
                None => {
                    let (lines, held) = self.whole();
                    (lines, held, true)
                }
            };
            let list = json!({"index": version, "snapshot": whole, "endpoints": lines});
            return Some((list.to_string(), held, whole));
        }
    }
}
