//! Start and shutdown of the control process.
//!
//! After SIGTERM the process leaves the group of voters before it exits, since a voter that is gone for good makes the
//! next loss one too many until the leader removes it.

use crate::core::CoreHandle;
use crate::disk::DiskEvent;
use crate::peer_queues::PeerQueues;
use crate::{disk, http_api, load_reports, maintenance, peer_connections, request_server};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_config::BootSettings;
use gaugesaddle_consensus::Departure;
use gaugesaddle_transport::listen;
use spdlog::{info, warn};
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Minimum time between SIGTERM and the exit, for requests in flight.
const SHUTDOWN_MIN: Duration = Duration::from_millis(400);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Interval between checks whether the group has confirmed the departure.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until SIGTERM.
///
/// # Errors
///
/// The boot file is invalid, or listening on an address fails.
pub fn run() -> Result<()> {
    let boot = BootSettings::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(boot))
}

async fn serve(boot: BootSettings) -> Result<()> {
    let control = boot.control.ok_or_else(|| eyre!("bind.control: expected an address"))?;
    let grace_period = Duration::from_secs_f64(boot.bounds.grace_period_s);
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
        "starting: {control} for backends and operators, {peer_address} for proxies and peers; disk: {has_disk}"
    );
    let core = CoreHandle::new(boot, disk, peers);
    if !has_disk {
        core.start_without_disk();
    }
    let request_listener = listen(peer_address).wrap_err_with(|| format!("listening on {peer_address}"))?;
    let http_listener = listen(control).wrap_err_with(|| format!("listening on {control}"))?;
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
            _ = hangup.recv() => info!("ignoring SIGHUP: changes of the boot file apply at the next start"),
            _ = terminate.recv() => break,
        }
    }
    shut_down(&core, &mut disk_events, grace_period).await;
    Ok(())
}

/// Leaves the group of voters, within the grace period. The process votes and acknowledges states meanwhile, since the
/// removal may need it.
async fn shut_down(
    core: &CoreHandle, disk_events: &mut mpsc::UnboundedReceiver<DiskEvent>, grace_period: Duration,
) {
    info!("received SIGTERM; leaving the group of voters");
    let begun = Instant::now();
    let latest_exit = grace_period.saturating_sub(EXIT_MARGIN).max(SHUTDOWN_MIN);
    core.begin_departure();
    let is_pending = || core.departure() == Some(Departure::Pending);
    while begun.elapsed() < SHUTDOWN_MIN || (is_pending() && begun.elapsed() < latest_exit) {
        tokio::select! {
            Some(event) = disk_events.recv() => core.handle_disk_event(event),
            () = tokio::time::sleep(DEPARTURE_CHECK_INTERVAL) => {}
        }
        // If the disk failed and was reopened meanwhile, this is another replica object.
        core.begin_departure();
    }
    match core.departure() {
        Some(Departure::Left) => info!("left the group of voters; exiting"),
        Some(Departure::Required) => info!("the group needs this voter, which remains one; exiting"),
        Some(Departure::Pending) => {
            warn!("no leader has confirmed the departure: this process may remain a voter");
        }
        None => info!("exiting without a replica"),
    }
}
