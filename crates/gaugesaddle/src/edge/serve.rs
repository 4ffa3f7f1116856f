//! The start and the end of the process.

use super::fleet::Fleet;
use super::{follow, front, lending, load, ready};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_config::BootSettings;
use gaugesaddle_inference::ChooserSettings;
use gaugesaddle_transport::listen;
use spdlog::{error, info};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Clients may still be sent here for so long after SIGTERM: the platform asks every second and wants two misses.
const ENTRY: Duration = Duration::from_millis(2600);
/// Kept of the grace period for the end itself.
const MARGIN: Duration = Duration::from_millis(500);
/// Between two looks at what is still under way.
const LOOK: Duration = Duration::from_millis(100);
/// Between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// Serves until SIGTERM; settings of the choice are texts of the form `KEY=VALUE`.
pub fn run(settings: &[String]) -> Result<()> {
    gaugesaddle_transport::log::start();
    let boot = BootSettings::read()?;
    let mut chooser = ChooserSettings::default();
    for setting in settings {
        chooser.set(setting)?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(boot, chooser))
}

async fn serve(boot: BootSettings, settings: ChooserSettings) -> Result<()> {
    let at = boot.front.ok_or_else(|| eyre!("bind.front: expected an address"))?;
    let ready_at = boot.ready.ok_or_else(|| eyre!("bind.ready: expected an address"))?;
    let grace = Duration::from_secs_f64(boot.bounds.grace_period_s);
    let listener = listen(at).wrap_err_with(|| format!("listening at {at}"))?;
    let fleet = Rc::new(Fleet::new(boot, settings));
    info!("proxy {} at {at}", fleet.proxy);
    let (close, closing) = watch::channel(false);
    let asked = fleet.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = ready::serve(asked, ready_at).await {
            error!("listening at {ready_at}: {e}");
        }
    });
    let following = tokio::task::spawn_local(follow::run(fleet.clone()));
    tokio::task::spawn_local(lending::run(fleet.clone()));
    if settings.shared_load || settings.shared_health {
        tokio::task::spawn_local(load::run(fleet.clone()));
    }
    let accepting = tokio::task::spawn_local(front::serve(fleet.clone(), listener, closing));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP) => fleet.sweep(),
            _ = hang_up.recv() => info!("SIGHUP: the boot file is read at the next start"),
            _ = terminate.recv() => break,
        }
    }
    info!("SIGTERM: {} requests under way", fleet.active.get());
    fleet.terminating.set(true);
    let begun = Instant::now();
    // Connections close after their present request; new ones are still taken until the platform sends no more.
    let _ = close.send(true);
    tokio::time::sleep_until(begun + ENTRY.min(grace)).await;
    accepting.abort();
    following.abort();
    follow::farewell(fleet.clone()).await;
    while fleet.active.get() > 0 && begun.elapsed() + MARGIN < grace {
        tokio::time::sleep(LOOK).await;
    }
    info!("ends with {} requests under way", fleet.active.get());
    Ok(())
}
