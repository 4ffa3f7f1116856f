//! Start, operation and shutdown of the process.

use crate::state::EdgeState;
use crate::{control_client, http_server, load_reporter, quota_client, readiness};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_config::BootSettings;
use gaugesaddle_inference::ChooserSettings;
use gaugesaddle_transport::listen;
use spdlog::{error, info};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

/// Clients may still be sent here for this long after SIGTERM: the platform checks readiness every second and acts on the
/// second failure.
const CLIENTS_ARRIVE_FOR: Duration = Duration::from_millis(2600);
/// Reserved at the end of the grace period for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Between two checks whether requests are still under way.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Between two sweeps of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until SIGTERM, as the boot file says that `GAUGESADDLE_BOOT` names. `settings` are settings of the choice of
/// backends, of the form `KEY=VALUE`.
///
/// # Errors
/// A boot file or setting that cannot be used, with place and expectation, or an address that cannot be bound.
pub fn run(settings: &[String]) -> Result<()> {
    gaugesaddle_transport::log::set_level_from_environment();
    let boot = BootSettings::read()?;
    let mut chooser_settings = ChooserSettings::default();
    for setting in settings {
        chooser_settings.set(setting)?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(boot, chooser_settings))
}

/// Tasks that are aborted at the shutdown.
struct AbortableTasks {
    control_client: JoinHandle<()>,
    http_server: JoinHandle<()>,
}

async fn serve(boot: BootSettings, chooser_settings: ChooserSettings) -> Result<()> {
    let front_address = boot.front.ok_or_else(|| eyre!("bind.front: expected an address"))?;
    let ready_address = boot.ready.ok_or_else(|| eyre!("bind.ready: expected an address"))?;
    let listener = listen(front_address).wrap_err_with(|| format!("listening at {front_address}"))?;
    let state = Rc::new(EdgeState::new(boot, chooser_settings));
    info!("proxy {} at {front_address}", state.proxy_id);
    let (close, closing) = watch::channel(false);
    let readiness_state = state.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = readiness::serve(readiness_state, ready_address).await {
            error!("listening at {ready_address}: {e}");
        }
    });
    let control_client = tokio::task::spawn_local(control_client::run(state.clone()));
    tokio::task::spawn_local(quota_client::run(state.clone()));
    if chooser_settings.shared_load || chooser_settings.shared_health {
        tokio::task::spawn_local(load_reporter::run(state.clone()));
    }
    let http_server = tokio::task::spawn_local(http_server::serve(state.clone(), listener, closing));
    until_sigterm(&state).await?;
    shut_down(&state, &close, AbortableTasks { control_client, http_server }).await;
    Ok(())
}

async fn until_sigterm(state: &EdgeState) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = tokio::time::sleep(IDLE_SWEEP_INTERVAL) => state.close_stale_connections(),
            _ = hang_up.recv() => info!("SIGHUP: the boot file is read at the next start"),
            _ = terminate.recv() => return Ok(()),
        }
    }
}

/// Lets requests under way end within the grace period.
async fn shut_down(state: &Rc<EdgeState>, close: &watch::Sender<bool>, tasks: AbortableTasks) {
    let grace_period = Duration::from_secs_f64(state.boot.bounds.grace_period_s);
    info!("SIGTERM: {} requests under way", state.active_requests.get());
    state.terminating.set(true);
    let begun = Instant::now();
    // Connections close after their present request; new ones are accepted until the platform sends no more.
    let _ = close.send(true);
    tokio::time::sleep_until(begun + CLIENTS_ARRIVE_FOR.min(grace_period)).await;
    tasks.http_server.abort();
    tasks.control_client.abort();
    control_client::deregister(state.clone()).await;
    while state.active_requests.get() > 0 && begun.elapsed() + EXIT_MARGIN < grace_period {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    info!("exits with {} requests under way", state.active_requests.get());
}
