//! The start and the end of the process.

use crate::core::CoreHandle;
use crate::peers::Peers;
use crate::{api, disk, loads, peers, requests, upkeep};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_config::BootSettings;
use gaugesaddle_transport::listen;
use spdlog::info;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Calls under way have so long to be answered after SIGTERM.
const FAREWELL: Duration = Duration::from_millis(400);

/// Serves until SIGTERM.
pub fn run() -> Result<()> {
    let boot = BootSettings::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(boot))
}

async fn serve(boot: BootSettings) -> Result<()> {
    let control = boot.control.ok_or_else(|| eyre!("bind.control: expected an address"))?;
    let (events, mut disk_events) = mpsc::unbounded_channel();
    let disk = match boot.data_dir.clone().filter(|_| boot.limits.disk_mb > 0) {
        Some(folder) => Some(disk::start(folder, boot.limits.disk_mb, events)?),
        None => None,
    };
    let mut peers = Peers::default();
    for seed in boot.seeds.iter().filter(|s| *s.ip() != boot.ip) {
        peers.know(u32::from(*seed.ip()));
    }
    let internal = boot.control_process(u32::from(boot.ip));
    info!("control at {control}, processes at {internal}, disk {}", disk.is_some());
    let core = CoreHandle::new(boot, disk, peers);
    let requests = listen(internal).wrap_err_with(|| format!("listening at {internal}"))?;
    let calls = listen(control).wrap_err_with(|| format!("listening at {control}"))?;
    peers::open_wanted(&core);
    tokio::task::spawn_local(requests::serve(core.clone(), requests));
    tokio::task::spawn_local(api::serve(core.clone(), calls));
    tokio::task::spawn_local(core.clone().run_timer());
    tokio::task::spawn_local(upkeep::run(core.clone()));
    tokio::task::spawn_local(loads::run(core.clone()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            Some(event) = disk_events.recv() => core.disk_event(event),
            _ = hang_up.recv() => info!("SIGHUP: the boot file is read at the next start"),
            _ = terminate.recv() => break,
        }
    }
    info!("SIGTERM: leaving");
    core.transfer_leadership();
    tokio::time::sleep(FAREWELL).await;
    Ok(())
}
