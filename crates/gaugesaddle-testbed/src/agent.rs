//! Stand-in discovery that can be delayed, unresponsive, down or moved to another address.
//!
//! With pushed lists, one agent runs beside each proxy and has its own delays; with polled lists, the same calls go to
//! one service. In both cases each proxy has its own [`Agent`] here.

use crate::http::{Message, Reader};
use crate::record::{Boot, Event, Journal, NodeState};
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

/// Time after a move for which connections to the old address stay open.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Longest long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Most departed nodes that are retained for incremental updates. A proxy that missed an evicted departure needs a
/// snapshot.
const MAX_DEPARTED: usize = 1024;

/// The list entry of a node's process.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub boot: Boot,
    pub name: String,
    /// Address at which this proxy reaches the node.
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    /// Start of the process, in Unix milliseconds; 0 if long ago.
    pub since_ms: u64,
    pub state: NodeState,
}

impl ListEntry {
    fn json(&self) -> Value {
        let status = match self.state {
            NodeState::Ready => "ready",
            NodeState::Draining => "draining",
            NodeState::Departed => "gone",
        };
        json!({"name": self.name, "address": self.address.to_string(), "zone": self.zone, "type": self.kind,
               "group": 1, "status": status, "weight": 1.0, "since_ms": self.since_ms})
    }
}

/// The discovery agent of one proxy.
pub struct Agent {
    proxy: usize,
    journal: Journal,
    address: Cell<SocketAddr>,
    /// Entries by name, each with the version of the list that last changed it.
    entries: RefCell<BTreeMap<String, (u64, ListEntry)>>,
    version: Cell<u64>,
    down: Cell<bool>,
    /// Number of outages. A call that was pending at the start of one is never answered.
    outages: Cell<u64>,
    /// Changes during the present outage; they are published at its end.
    deferred: RefCell<Vec<ListEntry>>,
    changed: Notify,
    accept_task: RefCell<Option<AbortHandle>>,
    connection_tasks: RefCell<Vec<AbortHandle>>,
    /// Node processes that were delivered to the present process of the proxy and have not departed.
    delivered: RefCell<BTreeSet<Boot>>,
}

impl Agent {
    pub async fn start(proxy: usize, journal: Journal, bind: SocketAddr) -> io::Result<Rc<Agent>> {
        let agent = Rc::new(Agent {
            proxy,
            journal,
            address: Cell::new(bind),
            entries: RefCell::default(),
            version: Cell::new(1),
            down: Cell::default(),
            outages: Cell::default(),
            deferred: RefCell::default(),
            changed: Notify::new(),
            accept_task: RefCell::default(),
            connection_tasks: RefCell::default(),
            delivered: RefCell::default(),
        });
        agent.clone().listen(bind).await?;
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Listens at a new address and stops accepting connections at the old one.
    pub async fn listen(self: Rc<Self>, bind: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(bind).await?;
        self.address.set(listener.local_addr()?);
        let this = self.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let handle = tokio::task::spawn_local(this.clone().serve(stream)).abort_handle();
                let mut open = this.connection_tasks.borrow_mut();
                open.retain(|t| !t.is_finished());
                open.push(handle);
            }
        });
        if let Some(old) = self.accept_task.replace(Some(accepting.abort_handle())) {
            old.abort();
            let open = std::mem::take(&mut *self.connection_tasks.borrow_mut());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(OLD_ADDRESS_GRACE).await;
                open.iter().for_each(AbortHandle::abort);
            });
        }
        Ok(())
    }

    /// Starts or ends an outage. During an outage the agent does not respond; changes are published at its end.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        if down {
            self.outages.set(self.outages.get() + 1);
        } else {
            self.deferred.take().into_iter().for_each(|entry| self.publish(entry));
        }
        self.changed.notify_waiters();
    }

    /// Publishes a change of a node's process, unless a newer process of the same name is listed.
    pub fn publish(&self, entry: ListEntry) {
        if self.down.get() {
            return self.deferred.borrow_mut().push(entry);
        }
        let mut entries = self.entries.borrow_mut();
        if let Some((_, listed)) = entries.get(&entry.name) {
            let is_older = entry.boot.boot < listed.boot.boot;
            let is_revived = entry.boot == listed.boot && listed.state == NodeState::Departed;
            if is_older || is_revived {
                return;
            }
        }
        self.version.set(self.version.get() + 1);
        let (boot, state) = (entry.boot, entry.state);
        self.journal.put(Event::Published { proxy: self.proxy, boot, state });
        entries.insert(entry.name.clone(), (self.version.get(), entry));
        let departed: Vec<(u64, String)> = entries
            .iter()
            .filter(|l| l.1 .1.state == NodeState::Departed)
            .map(|(name, (version, _))| (*version, name.clone()))
            .collect();
        if departed.len() > MAX_DEPARTED {
            if let Some((_, name)) = departed.iter().min() {
                entries.remove(name);
            }
        }
        drop(entries);
        self.changed.notify_waiters();
    }

    /// The list in the configuration of a starting proxy; its entries count as delivered.
    pub fn initial_list(&self) -> Value {
        self.delivered.borrow_mut().clear();
        let (entries, listed) = self.snapshot();
        self.record_delivery(&listed, true);
        json!({"index": self.version.get(), "snapshot": true, "endpoints": entries})
    }

    fn snapshot(&self) -> (Vec<Value>, Vec<ListEntry>) {
        let entries = self.entries.borrow();
        let listed: Vec<ListEntry> =
            entries.values().map(|l| l.1.clone()).filter(|l| l.state != NodeState::Departed).collect();
        (listed.iter().map(ListEntry::json).collect(), listed)
    }

    /// Records the delivery of these entries to the proxy; a snapshot also removes all other entries.
    fn record_delivery(&self, entries: &[ListEntry], snapshot: bool) {
        let mut delivered = self.delivered.borrow_mut();
        let record = |boot: Boot, state: NodeState| {
            self.journal.put(Event::Delivered { proxy: self.proxy, boot, state });
        };
        if snapshot {
            let named: BTreeSet<Boot> = entries.iter().map(|l| l.boot).collect();
            for boot in delivered.difference(&named) {
                record(*boot, NodeState::Departed);
            }
            *delivered = named;
        }
        for entry in entries {
            record(entry.boot, entry.state);
            match entry.state {
                NodeState::Departed => delivered.remove(&entry.boot),
                _ => delivered.insert(entry.boot),
            };
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(message) = reader.message().await {
            let Some((body, entries, snapshot)) = self.answer(&message).await else {
                let not_found = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                if reader.get_mut().write_all(not_found).await.is_err() {
                    return;
                }
                continue;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if reader.get_mut().write_all(head.as_bytes()).await.is_err() {
                return;
            }
            self.record_delivery(&entries, snapshot);
        }
    }

    /// The body of the response, its entries, and whether it is a snapshot; `None` for an unknown path.
    async fn answer(&self, message: &Message) -> Option<(String, Vec<ListEntry>, bool)> {
        let (path, query) = message.path().split_once('?').unwrap_or((message.path(), ""));
        if path != "/api/targets" {
            self.journal.put(Event::Unexpected { text: format!("discovery: {}", message.start) });
            return None;
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|p| p.0 == name).and_then(|p| p.1.parse::<u64>().ok())
        };
        let after = number("after").filter(|v| *v <= self.version.get());
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let end = tokio::time::Instant::now() + wait;
        let outages_before = self.outages.get();
        loop {
            // As on a connection to a partitioned host, a call that was pending during an outage is never answered.
            if self.down.get() || self.outages.get() != outages_before {
                std::future::pending::<()>().await;
            }
            let changed = self.changed.notified();
            let version = self.version.get();
            let (entries, listed, snapshot) = match after {
                Some(after) if after < version => {
                    let entries = self.entries.borrow();
                    let changes = entries.values().filter(|l| l.0 > after);
                    let listed: Vec<ListEntry> = changes.map(|l| l.1.clone()).collect();
                    (listed.iter().map(ListEntry::json).collect(), listed, false)
                }
                Some(_) if tokio::time::Instant::now() < end => {
                    let _ = tokio::time::timeout_at(end, changed).await;
                    continue;
                }
                Some(_) => (Vec::new(), Vec::new(), false),
                None => {
                    let (entries, listed) = self.snapshot();
                    (entries, listed, true)
                }
            };
            let list = json!({"index": version, "snapshot": snapshot, "endpoints": entries});
            return Some((list.to_string(), listed, snapshot));
        }
    }
}
