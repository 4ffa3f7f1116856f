//! Heartbeats of backends and their end.

use crate::core::CoreHandle;
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A heartbeat is at most so long.
pub const MOST_BYTES: usize = 4096;
/// News of a drain is held for the acknowledgements of the other processes for so long.
const SPREAD: Duration = Duration::from_millis(600);
/// Between two looks at the acknowledgements.
const LOOK: Duration = Duration::from_millis(3);
/// A process that has said nothing for so long is not waited for, in milliseconds.
const LIVELY: u64 = 1300;

/// What a heartbeat says, as far as it is used.
#[derive(Debug, Deserialize)]
pub struct Heartbeat {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    sequence: u64,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// The news will live.
    Acknowledged,
    /// It may not: another process should be called.
    NotSpread,
    /// It is no such call.
    Malformed,
}

/// Takes a heartbeat.
pub async fn heartbeat(core: &CoreHandle, id: &str, body: &[u8]) -> Registered {
    let Ok(beat) = serde_json::from_slice::<Heartbeat>(body) else { return Registered::Malformed };
    if id.is_empty() || beat.address.parse::<SocketAddrV4>().is_err() {
        return Registered::Malformed;
    }
    let lifecycle = if beat.state == "draining" { Lifecycle::Draining } else { Lifecycle::Ready };
    let subject = Subject::Backend { service: beat.service, address: beat.address, slots: beat.slots };
    let registration =
        Registration { id: id.to_owned(), zone: beat.zone, subject, sequence: beat.sequence, lifecycle };
    register(core, registration).await
}

/// Takes the end of a backend.
pub async fn deregister(core: &CoreHandle, id: &str) -> Registered {
    let known = core.with(|c| c.catalog.get(id).map(|e| e.registration.clone()));
    let Some(mut registration) = known.filter(|r| matches!(r.subject, Subject::Backend { .. })) else {
        // Nothing is sent to what is not known; where another process knows it, the caller goes there.
        return if core.with(|c| c.is_fresh()) { Registered::Acknowledged } else { Registered::NotSpread };
    };
    registration.lifecycle = Lifecycle::Gone;
    registration.sequence = registration.sequence.saturating_add(1);
    register(core, registration).await
}

async fn register(core: &CoreHandle, registration: Registration) -> Registered {
    let leaving = registration.lifecycle.is_leaving();
    note(core, registration.clone());
    if !core.with(|c| c.is_fresh()) {
        return Registered::NotSpread;
    }
    if !leaving {
        return Registered::Acknowledged;
    }
    let change = core.with(|c| match c.catalog.get(&registration.id) {
        // Another process has accepted it, and this one has it from there: it lives at two at least.
        Some(entry) if entry.origin != c.origin => None,
        Some(entry) => Some(entry.change),
        None => None,
    });
    match change {
        Some(change) => spread(core, change).await,
        None => Registered::Acknowledged,
    }
}

/// Renews the lease, and passes news on.
fn note(core: &CoreHandle, registration: Registration) {
    let news = core.with(|c| {
        let now = c.clock.now();
        c.leases.renew(now, &registration.id, registration.sequence);
        let known = c.catalog.get(&registration.id);
        known.is_none_or(|e| e.origin != c.origin || !same(&e.registration, &registration))
    });
    if news {
        core.accept(registration);
    }
}

/// Equal but for the sequence, which rises with each call.
fn same(a: &Registration, b: &Registration) -> bool {
    a.lifecycle == b.lifecycle && a.subject == b.subject && a.zone == b.zone
}

/// Waits until the processes that live have a change, or a majority has when time is over.
async fn spread(core: &CoreHandle, change: u64) -> Registered {
    let until = tokio::time::Instant::now() + SPREAD;
    loop {
        let (lack, have, voters) = core.with(|c| {
            let now = c.clock.now();
            let (lack, have) = c.peers.acknowledgements(now, change, LIVELY);
            (lack, have, c.replica.as_ref().map_or(0, |r| r.voters().len()))
        });
        let majority = have + 1 > voters / 2;
        if majority && lack == 0 {
            return Registered::Acknowledged;
        }
        if tokio::time::Instant::now() >= until {
            return if majority { Registered::Acknowledged } else { Registered::NotSpread };
        }
        tokio::time::sleep(LOOK).await;
    }
}
