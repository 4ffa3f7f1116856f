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

/// Interval at which a successor process checks whether it can serve.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or a system call that the proxy requires fails.
pub fn run(file: Option<PathBuf>, operator: OperatorConfig) -> Result<(), Error> {
    let level = std::env::var("GAUGESADDLE_LOG").ok().and_then(|level| level.parse().ok());
    let level: tracing::Level = level.unwrap_or(operator.log.level.into());
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::system("create the async runtime"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(file, operator))
}

/// The signals that the proxy handles. A signal without a handler ends the process, so the handlers are installed
/// before any slow operation.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Signals, Error> {
        let install = |kind, name| signal(kind).map_err(Error::system(name));
        Ok(Signals {
            hangup: install(SignalKind::hangup(), "install the SIGHUP handler")?,
            terminate: install(SignalKind::terminate(), "install the SIGTERM handler")?,
            interrupt: install(SignalKind::interrupt(), "install the SIGINT handler")?,
        })
    }
}

/// Waits for SIGTERM or SIGINT; returns whether another process replaces this one.
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
    // A successor listens only once it has backends: before that, clients of its predecessor would have to wait.
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
