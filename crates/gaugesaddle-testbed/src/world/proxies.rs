//! The proxies of a run: starting, stopping, killing and terminating them.

use super::{ProxyImplementation, RunningProxy, World, PROXY_READY_TIMEOUT, STOP_GRACE};
use crate::faulty::Faulty;
use crate::lease::Lease;
use crate::process::{send_signal, Process};
use crate::random::mix;
use crate::record::Event;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Port of a proxy for membership datagrams.
const PEER_PORT: u16 = 7946;

impl World {
    pub(super) fn config(&self, proxy: usize, known: &Value) -> Value {
        let limits = &self.s.limits;
        json!({
            "name": format!("p{proxy}"), "listen": self.lease.proxy(proxy).to_string(),
            "discovery": self.agents[proxy].address().to_string(),
            "seed": format!("{:016x}", mix(self.s.seed, 1000 * self.start_count.get() + proxy as u64)),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": known, "settings": self.s.settings(proxy),
        })
    }

    /// The path and the text of a proxy's operator file, if it needs one.
    pub(super) fn operator_file(&self, proxy: usize) -> Option<(PathBuf, String)> {
        let mut text = self.federation.as_ref().map(|j| j.section(proxy)).unwrap_or_default();
        if let Some(datagrams) = &self.datagrams {
            let addresses = datagrams.addresses();
            let own = (0..self.s.proxies).filter(|p| self.s.region(*p) == self.s.region(proxy));
            let all: Vec<String> = own.map(|p| format!("\"{}\"", addresses[p])).collect();
            text += &format!(
                "[peers]\nenabled = true\nlisten = \"{}\"\nown = \"{}\"\naddresses = [{}]\n",
                peer_listen(&self.lease, proxy),
                addresses[proxy],
                all.join(", ")
            );
        }
        if self.s.demand_allocation {
            text += "[shares]\nenabled = true\n";
        }
        if self.s.failover {
            text += "[failover]\nenabled = true\n";
        }
        (!text.is_empty()).then(|| (self.folder.join(format!("p{proxy}.toml")), text))
    }

    pub(super) async fn start_proxy(&self, proxy: usize) -> io::Result<()> {
        if self.proxies.borrow()[proxy].is_some() {
            return Ok(()); // already running
        }
        self.start_count.set(self.start_count.get() + 1);
        self.journal.put(Event::ProxyUp { proxy });
        let agent = &self.agents[proxy];
        let running = match &self.implementation {
            ProxyImplementation::Program(program) => {
                let config = self.config(proxy, &agent.initial_list());
                let mut program = program.clone();
                let operator_file = self.operator_file(proxy);
                if let Some((path, _)) = &operator_file {
                    program.arguments.extend(["--config".into(), path.display().to_string()]);
                }
                let folder = self.folder.clone();
                let name = format!("p{proxy}");
                // Replacing its files and spawning it may block for seconds while builds run on the machine (a file
                // system flushes a file that is truncated and written again). On this thread, that would delay the
                // clients, and responses that arrived in time would be read late.
                let starting = tokio::task::spawn_blocking(move || {
                    if let Some((path, text)) = operator_file {
                        std::fs::write(path, text)?;
                    }
                    Process::start(&program, &folder, &name, &config)
                });
                RunningProxy::Process(starting.await.map_err(io::Error::other)??)
            }
            ProxyImplementation::Faulty(fault) => {
                let (listen, discovery) = (self.lease.proxy(proxy), agent.address());
                RunningProxy::Faulty(Faulty::start(*fault, &self.s, listen, discovery).await?)
            }
        };
        self.proxies.borrow_mut()[proxy] = Some(running);
        self.states.borrow_mut()[proxy] = "up";
        Ok(())
    }

    pub(super) async fn wait_until_ready(&self, proxy: usize) -> io::Result<()> {
        let end = tokio::time::Instant::now() + PROXY_READY_TIMEOUT;
        while tokio::time::Instant::now() < end {
            let faulty = match &self.proxies.borrow()[proxy] {
                Some(RunningProxy::Faulty(f)) => Some(f.is_ready()),
                _ => None,
            };
            let ready = match faulty {
                Some(ready) => ready,
                None => ready(self.lease.proxy(proxy)).await,
            };
            if ready {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let log = match &self.proxies.borrow()[proxy] {
            Some(RunningProxy::Process(p)) => p.log().join("\n"),
            _ => String::new(),
        };
        Err(io::Error::other(format!("proxy {proxy} did not become ready: {log}")))
    }

    /// Records the processes that exited without being asked to.
    pub(super) fn watch_proxies(&self) {
        for proxy in 0..self.s.proxies {
            let mut proxies = self.proxies.borrow_mut();
            let Some(RunningProxy::Process(process)) = &mut proxies[proxy] else { continue };
            if self.states.borrow()[proxy] == "ending" {
                continue; // it was asked to terminate
            }
            if process.ended().is_some() {
                self.logs.borrow_mut()[proxy].extend(process.log());
                proxies[proxy] = None;
                self.states.borrow_mut()[proxy] = "crashed";
                self.journal.put(Event::ProxyEnded { proxy, clean: false });
            }
        }
    }

    /// Stops a proxy (SIGSTOP) or continues it (SIGCONT).
    pub(super) async fn stop_proxy(&self, proxy: usize, stop: bool) {
        let id = match &self.proxies.borrow()[proxy] {
            Some(RunningProxy::Process(process)) => process.id(),
            _ => return,
        };
        // Blocks, so it must not run on the thread that drives the clients.
        let signal = |name| tokio::task::spawn_blocking(move || send_signal(id, name));
        // The stop is recorded before it takes effect and the continuation after it, so that the audit never assumes
        // that a stopped proxy runs.
        if stop {
            self.journal.put(Event::ProxyStopped { proxy });
            let _ = signal("STOP").await;
        } else {
            let _ = signal("CONT").await;
            self.journal.put(Event::ProxyContinued { proxy });
        }
        self.states.borrow_mut()[proxy] = if stop { "stopped" } else { "up" };
    }

    pub(super) async fn kill_proxy(&self, proxy: usize) {
        let running = self.proxies.borrow_mut()[proxy].take();
        match running {
            Some(RunningProxy::Process(mut process)) => {
                self.journal.put(Event::ProxyKilled { proxy });
                // Waits for the exit, so it must not run on the thread that drives the clients.
                let killing = tokio::task::spawn_blocking(move || {
                    process.kill();
                    process.log()
                });
                let log = killing.await.unwrap_or_default();
                self.logs.borrow_mut()[proxy].extend(log);
            }
            Some(RunningProxy::Faulty(faulty)) => {
                self.journal.put(Event::ProxyKilled { proxy });
                faulty.stop();
            }
            None => return,
        }
        self.states.borrow_mut()[proxy] = "down";
    }

    /// Sends SIGTERM, waits for the grace period, and sends SIGKILL if the process has not exited by then.
    pub(super) async fn terminate_proxy(&self, proxy: usize) {
        if self.proxies.borrow()[proxy].is_none() {
            return;
        }
        self.states.borrow_mut()[proxy] = "ending";
        self.journal.put(Event::ProxyTerminated { proxy });
        match &self.proxies.borrow()[proxy] {
            Some(RunningProxy::Process(process)) => {
                let _ = process.signal("TERM");
            }
            Some(RunningProxy::Faulty(faulty)) => faulty.stop(),
            None => return,
        }
        let longest = self.s.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        // The accepting phase of 0.5 s, the longest deadline, and the additional grace period of the platform.
        let end = tokio::time::Instant::now() + Duration::from_secs_f64(longest / 1e3 + 0.5) + STOP_GRACE;
        let ended_cleanly = loop {
            let ended = match &mut self.proxies.borrow_mut()[proxy] {
                Some(RunningProxy::Process(process)) => process.ended(),
                _ => Some(true),
            };
            match ended {
                Some(ended_cleanly) => break ended_cleanly,
                None if tokio::time::Instant::now() >= end => break false,
                None => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        if let Some(RunningProxy::Process(mut process)) = self.proxies.borrow_mut()[proxy].take() {
            process.kill();
            self.logs.borrow_mut()[proxy].extend(process.log());
        }
        self.journal.put(Event::ProxyEnded { proxy, clean: ended_cleanly });
        self.states.borrow_mut()[proxy] = "down";
    }

    pub(super) async fn move_discovery(&self) {
        for agent in &self.agents {
            if let Err(e) = agent.clone().listen(self.lease.peer()).await {
                self.journal.put(Event::Unexpected { text: format!("discovery did not move: {e}") });
            }
        }
        for (proxy, running) in self.proxies.borrow().iter().enumerate() {
            if let Some(RunningProxy::Process(process)) = running {
                let known = json!({"index": 0, "snapshot": true, "endpoints": []});
                let _ = process.reload(&self.config(proxy, &known));
            }
        }
    }
}

/// Address of a proxy for membership datagrams.
pub(super) fn peer_listen(lease: &Lease, proxy: usize) -> SocketAddr {
    SocketAddr::new(lease.proxy(proxy).ip(), PEER_PORT)
}

/// Whether a proxy reports ready.
async fn ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut reader = crate::http::Reader::new(TcpStream::connect(address).await?);
        reader.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        reader.message().await
    };
    let answer = tokio::time::timeout(Duration::from_millis(500), ask).await;
    matches!(answer, Ok(Ok(message)) if message.status() == Some(200))
}
