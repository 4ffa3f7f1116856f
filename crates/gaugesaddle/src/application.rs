//! The serving proxy: start-up, signals and shutdown.

mod listeners;
mod reload;
mod startup;

pub use listeners::ListenError;

use crate::configuration::operator::OperatorConfig;
use crate::error::Error;
use crate::membership::Tier;
use crate::operations::hot_restart::HotRestart;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// How often a process that replaces another checks whether it can serve.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or the system refuses something that the proxy requires.
pub fn run(file: Option<PathBuf>, operator: OperatorConfig) -> Result<(), Error> {
    let level = std::env::var("GAUGESADDLE_LOG").ok().and_then(|level| level.parse().ok());
    let level: tracing::Level = level.unwrap_or(operator.log.level.into());
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::system("runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(file, operator))
}

/// The signals that the proxy handles. Until its handler is installed each of them ends the process, so they are installed
/// before anything slow.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Signals, Error> {
        let install = |kind, name| signal(kind).map_err(Error::system(name));
        Ok(Signals {
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}

/// Waits for the signal to stop; returns whether another process succeeds this one.
async fn stop_requested(
    mut terminate: Signal, mut interrupt: Signal, hot_restart: Rc<HotRestart>, tier: Option<Rc<Tier>>,
) -> bool {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let has_successor = hot_restart.has_successor();
    if let Some(tier) = tier.filter(|_| !has_successor) {
        tier.leave();
    }
    has_successor
}

async fn serve(file: Option<PathBuf>, operator: OperatorConfig) -> Result<(), Error> {
    let Signals { hangup, terminate, interrupt } = Signals::install()?;
    let proxy = startup::start(file, operator, hangup).await?;
    let stop = stop_requested(terminate, interrupt, proxy.hot_restart.clone(), proxy.tier.clone());
    tokio::pin!(stop);
    // Clients of the process before this one would wait here for backends that it does not know yet.
    while proxy.is_successor && !proxy.registry.serving.get() {
        tokio::select! {
            _ = &mut stop => return Ok(()),
            () = tokio::time::sleep(SUCCESSOR_POLL_INTERVAL) => {}
        }
    }
    let listener = proxy.socket.listen()?;
    proxy.registry.listening.set(true);
    proxy.listening.notify_one();
    if proxy.has_hot_restarts {
        tokio::task::spawn_local(proxy.hot_restart.await_successors(proxy.remote_commands));
    }
    proxy.server.clone().run(listener, stop).await;
    if let Some(regions) = proxy.regions {
        regions.drained(proxy.server.rules.max_patience).await;
    }
    Ok(())
}
