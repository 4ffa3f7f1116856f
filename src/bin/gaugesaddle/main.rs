//! The HTTP proxy: start-up, signals and exit codes. Every decision is the library's.
#![forbid(unsafe_code)]

mod clock;
mod config;
mod discovery;
mod driver;
mod server;
mod upstream;

use std::cell::{Cell, RefCell};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, Notify};

/// Descriptors kept for the listener, discovery, signals, standard streams and the runtime.
const RESERVE: usize = 32;

fn main() -> ExitCode {
    let verbose = std::env::var("GAUGESADDLE_LOG").ok().and_then(|l| l.parse().ok());
    let level = verbose.unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    match config::load().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("gaugesaddle: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: config::Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: config::Config) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
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
        names: config.names,
        classes: config.module.classes.clone(),
        tick: config.module.tick,
        most: clients,
        longest: config.longest,
        inputs: sender.clone(),
        status: status.clone(),
        next: Cell::new(0),
        stopping: Cell::new(false),
        links: RefCell::default(),
        freed: Notify::new(),
    });
    let watch = discovery::Watch {
        address: config.discovery,
        mode: config.module.discovery,
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
    tokio::task::spawn_local(watch.run());
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    server.run(listener, stop).await;
    Ok(())
}
