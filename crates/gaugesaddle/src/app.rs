//! Start-up, signals and the end of a serving proxy.

use crate::driver::{Driver, Parts};
use crate::error::Error;
use crate::exchange::Input;
use crate::operator::{self, Operator};
use crate::registry::{Bounds, Registry};
use crate::{clock, config, discovery, form, server, state, upstream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

/// Descriptors kept for the listener, discovery, signals, standard streams and the runtime.
const RESERVE: usize = 32;
/// The bodies of open requests may take this part of the memory.
const BODY_PART: usize = 4;

/// Serves until SIGTERM or SIGINT.
pub fn run(file: Option<PathBuf>, operator: Operator) -> Result<(), Error> {
    let told = std::env::var("GAUGESADDLE_LOG").ok().and_then(|l| l.parse().ok());
    let level: tracing::Level = told.unwrap_or(operator.log.level.into());
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::system("runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(file, operator))
}

/// Caught from before anything slow: uncaught, each of these signals ends the process.
fn catch(kind: SignalKind, doing: &'static str) -> Result<Signal, Error> {
    signal(kind).map_err(Error::system(doing))
}

/// What a running proxy takes up at SIGHUP.
struct Reload {
    /// The platform's document and the operator's file as they were at the start.
    document: serde_json::Value,
    file: Option<PathBuf>,
    operator: Operator,
    discovery: watch::Sender<SocketAddr>,
    state: watch::Sender<operator::State>,
}

impl Reload {
    /// Reads both files again at each SIGHUP. If one of them cannot be used, nothing changes; the proxy goes on
    /// serving from the list that it holds.
    async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let operator = self.file.as_deref().map_or(Ok(Operator::default()), operator::load);
            match (config::load(), operator) {
                (Ok(newer), Ok(operator)) => self.take_up(&newer, operator),
                (Err(e), _) => tracing::warn!("the configuration stays as it was: {e}"),
                (_, Err(e)) => tracing::warn!("the configuration stays as it was: {e}"),
            }
        }
    }

    fn take_up(&self, newer: &config::Config, operator: Operator) {
        let mut keys = config::not_taken_up(&self.document, &newer.document);
        keys.extend(operator::not_taken_up(&self.operator, &operator).into_iter().map(String::from));
        let keys = keys.join(", ");
        let rest = if keys.is_empty() { keys } else { format!("; not taken up before a restart: {keys}") };
        tracing::info!("configuration read again, discovery at {}{rest}", newer.discovery);
        self.discovery.send_if_modified(|held| std::mem::replace(held, newer.discovery) != newer.discovery);
        let state = operator.state;
        self.state.send_if_modified(|held| std::mem::replace(held, state.clone()) != state);
    }
}

async fn serve(file: Option<PathBuf>, operator: Operator) -> Result<(), Error> {
    let hangup = catch(SignalKind::hangup(), "SIGHUP")?;
    let mut terminate = catch(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = catch(SignalKind::interrupt(), "SIGINT")?;
    let config = config::load()?;
    let (key, expected, at) = ("listen", "a free address", config.listen.to_string());
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| Error::Listen { key, expected, at, source })?;
    let bound = operator.state.socket.as_deref().map(state::bind).transpose()?;
    let clock = clock::Clock::new();
    // Clients and backends share what the rest leaves; the state's callers take from the clients' part.
    let callers = operator.state.socket.as_ref().map_or(0, |_| operator.state.connections + 1);
    let clients = ((config.sockets - RESERVE) / 2).saturating_sub(callers).max(1);
    let backends = config.sockets - RESERVE - (config.sockets - RESERVE) / 2;
    let body_bytes = config.memory / BODY_PART;
    let bounds = Bounds { connections: clients, upstream_sockets: backends, body_bytes };
    let registry = Rc::new(Registry::new(&config.name, config.names.classes(), &bounds, clock.now()));
    let (sender, inputs) = mpsc::unbounded_channel();
    let follow = Rc::new(Notify::new());
    let pool = Rc::new(upstream::Pool::new(clock, config.dial_timeout, config.conn_idle, backends));
    let server = Rc::new(server::Server {
        clock,
        rules: form::Rules {
            names: config.names,
            classes: config.module.classes.clone(),
            longest: config.longest,
        },
        tick: config.module.tick,
        most: clients,
        kept: config.sockets / server::KEPT_PART,
        body_room: Cell::new(body_bytes),
        inputs: sender.clone(),
        registry: registry.clone(),
        next: Cell::new(0),
        links: RefCell::default(),
        ids: RefCell::default(),
        freed: Notify::new(),
    });
    let watch = discovery::Watch {
        mode: config.module.discovery,
        watching: config.module.discovery == beechworks::Discovery::Push,
        index: config.known.as_ref().map(|k| k.index),
        follow: follow.clone(),
        inputs: sender.clone(),
    };
    if let Some(known) = config.known {
        let (update, index) = (beechworks::ListUpdate::Cached, Some(known.index));
        let _ = sender.send(Input::List { update, index, targets: known.targets });
    }
    let storm = operator.storm.enabled.then(|| {
        let told = config.max_retry_after.map(|max| (max.0 / 1_000_000).max(1));
        let longest_s = operator.storm.longest_retry_after_s.min(told.unwrap_or(u64::MAX));
        let settings = gaugesaddle_storm::Settings { longest_s, sources: operator.storm.sources };
        gaugesaddle_storm::Storm::new(settings, config.seed)
    });
    let storm = storm.transpose().map_err(Error::Storm)?;
    let driver = Driver::new(Parts {
        storm,
        clock,
        config: beechworks::Config { limits: operator.limits.bounds(), ..config.module },
        seed: config.seed,
        open_cap: config.open_cap,
        upstreams: Rc::new(upstream::Http1(pool)),
        inputs: sender,
        follow,
        registry: registry.clone(),
    })?;
    let driver = tokio::task::spawn_local(driver.run(inputs));
    let serving = registry.clone();
    tokio::task::spawn_local(async move {
        // Without its driver the proxy fails what it is sent; it says so, that no more is sent.
        if let Err(e) = driver.await {
            tracing::error!("the driver ended: {e}");
        }
        serving.serving.set(false);
    });
    let (discovery, addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(watch.run(addresses));
    let (state, settings) = watch::channel(operator.state.clone());
    tokio::task::spawn_local(state::serve(registry, clock, settings, bound));
    let reload = Reload { document: config.document, file, operator, discovery, state };
    tokio::task::spawn_local(reload.run(hangup));
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    server.run(listener, stop).await;
    Ok(())
}
