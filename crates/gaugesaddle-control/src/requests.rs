//! Requests of proxies and of other control processes, over frames.

use crate::core::CoreHandle;
use crate::{changes, loads, peers};
use gaugesaddle_protocol::{Opening, Pull, PullReply, Reply, Request};
use gaugesaddle_transport::{accept, Link, LinkError};
use spdlog::debug;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// An answer is held back for news at most so long.
const MAX_WAIT: u64 = 2000;
/// Time to send an answer; a large configuration over a slow link takes a while.
const SEND: Duration = Duration::from_millis(4000);
/// A connection without a request for so long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Accepts connections for as long as the process lives.
pub async fn serve(core: CoreHandle, listener: TcpListener) {
    loop {
        let (stream, from) = accept(&listener).await;
        let core = core.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = connection(core, Link::new(stream)).await {
                debug!("connection of {from} ends: {:#}", eyre::Report::new(e));
            }
        });
    }
}

async fn connection(core: CoreHandle, mut link: Link) -> Result<(), LinkError> {
    match link.receive_within(IDLE).await? {
        Opening::Peer => peers::listen(core, link).await,
        Opening::Requests => loop {
            let request = link.receive_within(IDLE).await?;
            let reply = answer(&core, request).await;
            link.send(&reply, SEND).await?;
        },
    }
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
        Request::Load { proxy, loads } => Reply::Load { loads: loads::report(core, proxy, loads) },
        Request::Change(order) => Reply::Change(changes::decide(core, *order).await),
        Request::Read => match core.read().await {
            Ok(configuration) => Reply::Read(configuration),
            Err(_) => Reply::Unavailable,
        },
        Request::Status => Reply::Status(Box::new(core.with(|c| c.report()))),
    }
}

/// Renews the proxy's lease and answers when there is news for it, or when it wants an answer anyway.
async fn answer_pull(core: &CoreHandle, mut pull: Pull) -> PullReply {
    core.record_pull(&pull);
    core.record_departed(std::mem::take(&mut pull.departed));
    let until = Instant::now() + Duration::from_millis(u64::from(pull.wait_ms).min(MAX_WAIT));
    let mut changes = core.subscribe();
    loop {
        changes.borrow_and_update();
        if core.with(|c| c.distributor.has_changes(&c.catalog_replica, &pull)) || Instant::now() >= until {
            break;
        }
        let _ = tokio::time::timeout_at(until, changes.changed()).await;
    }
    core.with(|c| {
        let now = c.clock.now();
        c.distributor.answer(now, &c.catalog_replica, &pull, c.replica_status())
    })
}
