//! Serves requests of proxies and of other control processes, over frames.

use crate::core::CoreHandle;
use crate::{change_handler, load_reports, peer_connections};
use gaugesaddle_consensus::NotLeader;
use gaugesaddle_protocol::frame::Compression;
use gaugesaddle_protocol::{ConnectionPreface, Pull, PullReply, Reply, Request};
use gaugesaddle_transport::{accept, Link, LinkError};
use spdlog::{debug, warn};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Maximum time for which a pull waits for changes (long polling), in ms.
const MAX_PULL_WAIT_MS: u64 = 2000;
/// Time-out for sending a reply; sized for a large configuration over a slow link.
const SEND_TIMEOUT: Duration = Duration::from_millis(4000);
/// Idle time-out of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the process ends.
pub async fn serve(core: CoreHandle, listener: TcpListener) {
    loop {
        let (stream, from) = accept(&listener).await;
        let core = core.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_connection(core.clone(), Link::new(stream)).await {
                log_malformed(&core, from, &e);
                debug!("connection from {from} closed: {:#}", eyre::Report::new(e));
            }
        });
    }
}

/// Logs a message that cannot be decoded, at most once a minute for each peer. The sender runs another build, or uses
/// another protocol.
fn log_malformed(core: &CoreHandle, from: SocketAddr, error: &LinkError) {
    let SocketAddr::V4(address) = from else { return };
    let ip = u32::from(*address.ip());
    let line = core.with(|c| {
        let now = c.clock.now();
        c.malformed_messages.log_line(now, ip, error)
    });
    if let Some(line) = line {
        warn!("{line}");
    }
}

async fn serve_connection(core: CoreHandle, mut link: Link) -> Result<(), LinkError> {
    match link.receive_within(IDLE_TIMEOUT).await? {
        ConnectionPreface::Peer => peer_connections::receive(core, link).await,
        ConnectionPreface::Requests => serve_requests(&core, link).await,
        ConnectionPreface::CompressedRequests => {
            link.set_compression(Compression::Supported);
            serve_requests(&core, link).await
        }
    }
}

async fn serve_requests(core: &CoreHandle, mut link: Link) -> Result<(), LinkError> {
    loop {
        let request = link.receive_within(IDLE_TIMEOUT).await?;
        let reply = answer(core, request).await;
        let sent_bytes = link.send(&reply, SEND_TIMEOUT).await?;
        if has_configuration(&reply) {
            core.with(|c| c.distribution_progress.record_sent(sent_bytes));
        }
    }
}

fn has_configuration(reply: &Reply) -> bool {
    matches!(reply, Reply::Pull(reply) if reply.configuration.is_some())
}

async fn answer(core: &CoreHandle, request: Request) -> Reply {
    match request {
        Request::Pull(pull) => Reply::Pull(Box::new(answer_pull(core, *pull).await)),
        Request::Quota { machine, requests } => core.with(|c| {
            if !c.allocates_quota() {
                return Reply::Unavailable;
            }
            let now = c.clock.now();
            Reply::Quota { grants: c.allocator.allocate(now, &machine, &requests) }
        }),
        Request::Load { proxy, loads } => Reply::Load { loads: load_reports::record(core, proxy, loads) },
        Request::Change(change) => Reply::Change(change_handler::decide(core, *change).await),
        Request::Read => match core.read().await {
            Ok(configuration) => Reply::Read(configuration),
            Err(NotLeader) => Reply::Unavailable,
        },
        Request::Status => Reply::Status(Box::new(core.with(|c| c.status_report()))),
        Request::Distribution => {
            Reply::Distribution(Box::new(core.with(|c| c.distribution_progress.report(c.clock.now()))))
        }
    }
}

/// Renews the proxy's lease and replies once there are changes for the proxy, or at the deadline of its pull.
async fn answer_pull(core: &CoreHandle, mut pull: Pull) -> PullReply {
    core.record_pull(&pull);
    core.record_departed(std::mem::take(&mut pull.departed));
    let wait_ms = u64::from(pull.wait_ms).min(MAX_PULL_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut changes = core.subscribe();
    loop {
        changes.borrow_and_update();
        let has_changes = core.with(|c| c.distributor.has_changes(&c.catalog_replica, &pull));
        if has_changes || Instant::now() >= deadline {
            break;
        }
        // The next iteration checks for both changes and the deadline.
        let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
    }
    core.with(|c| {
        let now = c.clock.now();
        c.distributor.answer(now, &c.catalog_replica, &pull, c.replica_status())
    })
}
