//! Start and shutdown of the control process.

use crate::core::CoreHandle;
use crate::peer_queues::PeerQueues;
use crate::{disk, http_api, load_reports, maintenance, peer_connections, request_server};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_config::BootSettings;
use gaugesaddle_transport::listen;
use spdlog::info;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Time after SIGTERM for the leadership transfer and for calls in flight.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);

/// Serves until SIGTERM.
///
/// # Errors
///
/// The boot file is invalid, or an address cannot be listened on.
pub fn run() -> Result<()> {
    let boot = BootSettings::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(boot))
}

async fn serve(boot: BootSettings) -> Result<()> {
    let control = boot.control.ok_or_else(|| eyre!("bind.control: expected an address"))?;
    let (events, mut disk_events) = mpsc::unbounded_channel();
    let disk = match boot.data_dir.clone().filter(|_| boot.limits.disk_mb > 0) {
        Some(directory) => Some(disk::start(directory, boot.limits.disk_mb, events)?),
        None => None,
    };
    let mut peers = PeerQueues::default();
    for seed in boot.seeds.iter().filter(|seed| *seed.ip() != boot.ip) {
        peers.add(u32::from(*seed.ip()));
    }
    let peer_address = boot.control_process_address(u32::from(boot.ip));
    let has_disk = disk.is_some();
    info!(
        "listens at {control} for backends and operators, at {peer_address} for processes; disk: {has_disk}"
    );
    let core = CoreHandle::new(boot, disk, peers);
    if !has_disk {
        core.start_as_learner();
    }
    let request_listener = listen(peer_address).wrap_err_with(|| format!("listening at {peer_address}"))?;
    let http_listener = listen(control).wrap_err_with(|| format!("listening at {control}"))?;
    peer_connections::connect_new_peers(&core);
    tokio::task::spawn_local(request_server::serve(core.clone(), request_listener));
    tokio::task::spawn_local(http_api::serve(core.clone(), http_listener));
    tokio::task::spawn_local(core.clone().run_timer());
    tokio::task::spawn_local(maintenance::run(core.clone()));
    tokio::task::spawn_local(load_reports::run(core.clone()));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            Some(event) = disk_events.recv() => core.handle_disk_event(event),
            _ = hangup.recv() => info!("SIGHUP ignored: the boot file is read at the next start"),
            _ = terminate.recv() => break,
        }
    }
    info!("SIGTERM: shutting down");
    core.transfer_leadership();
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    Ok(())
}
