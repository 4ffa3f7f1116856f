//! The HTTP proxy: start-up, signals and exit codes. Every decision is the library's.
#![forbid(unsafe_code)]

mod clock;
mod config;
mod discovery;
mod driver;
mod form;
mod server;
mod tally;
mod upstream;
mod wire;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

/// Descriptors kept for the listener, discovery, signals, standard streams and the runtime.
const RESERVE: usize = 32;
/// The bodies of open requests may take this part of the memory.
const BODY_PART: usize = 4;

fn main() -> ExitCode {
    let verbose = std::env::var("GAUGESADDLE_LOG").ok().and_then(|l| l.parse().ok());
    let level = verbose.unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("gaugesaddle: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve())
}

/// Caught from before anything slow: uncaught, each of these signals ends the process.
fn catch(kind: SignalKind, name: &str) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("{name}: {e}"))
}

/// Reads the configuration again at each SIGHUP. Only `discovery` is taken up; the proxy goes on serving from
/// the list that it holds, and a file that cannot be used changes nothing.
async fn reload(mut hangup: Signal, running: serde_json::Value, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::load() {
            Ok(newer) => {
                let keys = config::not_taken_up(&running, &newer.document).join(", ");
                let rest =
                    if keys.is_empty() { keys } else { format!("; not taken up before a restart: {keys}") };
                tracing::info!("configuration read again, discovery at {}{rest}", newer.discovery);
                discovery
                    .send_if_modified(|held| std::mem::replace(held, newer.discovery) != newer.discovery);
            }
            Err(text) => tracing::warn!("the configuration stays as it was: {text}"),
        }
    }
}

async fn serve() -> Result<(), String> {
    let hangup = catch(SignalKind::hangup(), "SIGHUP")?;
    let mut terminate = catch(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = catch(SignalKind::interrupt(), "SIGINT")?;
    let config = config::load()?;
    let listener = TcpListener::bind(config.listen).await;
    let listener =
        listener.map_err(|e| format!("listen: expected a free address, got {}: {e}", config.listen))?;
    let clock = clock::Clock::new();
    // Clients and backends share what the rest leaves.
    let clients = (config.sockets - RESERVE) / 2;
    let backends = config.sockets - RESERVE - clients;
    let (sender, inputs) = mpsc::unbounded_channel();
    let (follow, status) = (Rc::new(Notify::new()), Rc::new(driver::Status::default()));
    let serving = status.clone();
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
        body_room: Cell::new(config.memory / BODY_PART),
        inputs: sender.clone(),
        status: status.clone(),
        next: Cell::new(0),
        stopping: Cell::new(false),
        links: RefCell::default(),
        ids: RefCell::default(),
        freed: Notify::new(),
        tally: tally::Tally::new(),
    });
    let watch = discovery::Watch {
        mode: config.module.discovery,
        watching: config.module.discovery == beechworks::Discovery::Push,
        index: config.known.as_ref().map(|k| k.index),
        follow: follow.clone(),
        inputs: sender.clone(),
    };
    if let Some(known) = config.known {
        let _ = sender.send(driver::Input::List(beechworks::ListUpdate::Cached, known.targets));
    }
    let driver =
        driver::Driver::new(clock, config.module, config.seed, config.open_cap, pool, sender, follow, status);
    let driver = driver.map_err(|e| format!("settings: {e}"))?;
    let driver = tokio::task::spawn_local(driver.run(inputs));
    tokio::task::spawn_local(async move {
        // Without its driver the proxy fails what it is sent; it says so, that no more is sent.
        if let Err(e) = driver.await {
            tracing::error!("the driver ended: {e}");
        }
        serving.serving.set(false);
    });
    let (discovery, addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(watch.run(addresses));
    tokio::task::spawn_local(reload(hangup, config.document, discovery));
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    server.run(listener, stop).await;
    Ok(())
}
