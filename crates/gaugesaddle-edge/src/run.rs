//! Startup, operation and shutdown of the process.

use crate::http_server::ServerPhase;
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

/// Time after SIGTERM for which the platform may still route clients to this proxy: it checks readiness every second and
/// acts on the second failed check.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time limit for announcing at the end of a shutdown that this proxy is leaving. Within the exit margin.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(350);
/// Time before the exit at which requests that still wait for tokens are rejected.
const REJECTION_MARGIN: Duration = Duration::from_millis(300);
/// Interval between checks for active requests during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between sweeps of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until SIGTERM, configured by the boot file that `GAUGESADDLE_BOOT` names. `settings` are parameters of the choice
/// of backends, in the form `KEY=VALUE`.
///
/// # Errors
/// The boot file or a setting is invalid (the error names the place and the expected value), or an address cannot be
/// bound.
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

/// Tasks that are aborted at shutdown.
struct AbortableTasks {
    control_client: JoinHandle<()>,
    http_server: JoinHandle<()>,
}

async fn serve(boot: BootSettings, chooser_settings: ChooserSettings) -> Result<()> {
    let front_address = boot.front.ok_or_else(|| eyre!("bind.front: expected an address"))?;
    let ready_address = boot.ready.ok_or_else(|| eyre!("bind.ready: expected an address"))?;
    let listener = listen(front_address).wrap_err_with(|| format!("listening at {front_address}"))?;
    let state = Rc::new(EdgeState::new(boot, chooser_settings));
    info!("proxy {} listens at {front_address}", state.proxy_id);
    let (phase, phase_changes) = watch::channel(ServerPhase::Serving);
    let readiness_state = state.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = readiness::serve(readiness_state, ready_address).await {
            error!("listening at {ready_address} failed, readiness is not reported: {e}");
        }
    });
    let control_client = tokio::task::spawn_local(control_client::run(state.clone()));
    tokio::task::spawn_local(quota_client::run(state.clone()));
    if chooser_settings.shared_load || chooser_settings.shared_health {
        tokio::task::spawn_local(load_reporter::run(state.clone()));
    }
    let http_server = tokio::task::spawn_local(http_server::serve(state.clone(), listener, phase_changes));
    wait_for_sigterm(&state).await?;
    shut_down(&state, &phase, AbortableTasks { control_client, http_server }).await;
    Ok(())
}

async fn wait_for_sigterm(state: &EdgeState) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = tokio::time::sleep(IDLE_SWEEP_INTERVAL) => state.close_stale_connections(),
            _ = hang_up.recv() => info!("SIGHUP ignored: the boot file is read at the next start"),
            _ = terminate.recv() => return Ok(()),
        }
    }
}

/// Waits for active requests to complete, within the grace period.
///
/// The proxy follows the control plane until then: it still sends retries and resumed streams, which must not reach backends
/// that have left meanwhile, nor use revoked API keys. It also remains registered, since these requests use its parts of the
/// retry budgets and of the backends' connections.
async fn shut_down(state: &Rc<EdgeState>, phase: &watch::Sender<ServerPhase>, tasks: AbortableTasks) {
    let grace_period = Duration::from_secs_f64(state.boot.bounds.grace_period_s);
    info!("SIGTERM received: shutting down, {} active requests", state.active_requests.get());
    state.terminating.set(true);
    let begun = Instant::now();
    // New connections are accepted until the platform has observed that this proxy is not ready.
    let _ = phase.send(ServerPhase::Draining);
    tokio::time::sleep_until(begun + READINESS_PROPAGATION_TIME.min(grace_period)).await;
    tasks.http_server.abort();
    let _ = phase.send(ServerPhase::Closing);
    while state.active_requests.get() > 0 && begun.elapsed() + EXIT_MARGIN < grace_period {
        if begun.elapsed() + EXIT_MARGIN + REJECTION_MARGIN >= grace_period {
            state.end_token_wait();
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    tasks.control_client.abort();
    let deregistration = control_client::deregister(state.clone());
    if tokio::time::timeout(DEREGISTRATION_TIMEOUT, deregistration).await.is_err() {
        info!("deregistration timed out: the lease of this proxy will expire");
    }
    info!("shutdown complete: {} active requests are abandoned", state.active_requests.get());
}
