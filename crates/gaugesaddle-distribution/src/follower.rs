//! A proxy's side: what it has taken, and whom it asks.

use crate::Members;
use gaugesaddle_catalog::Catalog;
use gaugesaddle_protocol::{
    Configuration, Digest, Lifecycle, LogPosition, Pull, PullReply, Registration, Subject,
};

/// Digests of the catalog's ranges go with a call so often, in milliseconds.
const COMPARE: u64 = 3000;
/// Without a process in touch with a majority for so long, other seeds are looked for, in milliseconds.
const LOST: u64 = 2000;

/// A process that calls itself current has all that was committed so long before it says so, in milliseconds: the lease of
/// a follower of the replicas' leader (`gaugesaddle-consensus`, `Settings::follower_lease`).
pub const FOLLOWER_LEASE_MS: u64 = 600;

/// What has left is told at the first call to a process, up to so many: as many as leave in the time for which they are
/// known, where all backends of a large fleet are replaced within the hour.
const MAX_LEFT: usize = 512;

/// What an answer brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// A newer configuration, or the same one at a later place in the history.
    pub configuration: bool,
    /// Some registration is another than before.
    pub registrations: bool,
    /// The process is in touch with a majority: it is asked again.
    pub stays: bool,
}

/// What a proxy has taken from the control plane.
#[derive(Clone, Debug)]
pub struct Follower {
    /// This proxy's registration; its sequence rises with each call.
    proxy: Registration,
    members: Members,
    catalog: Catalog,
    configuration: Option<Configuration>,
    /// Digest of its document; `None`: the next one must come whole.
    document: Option<Digest>,
    leader: Option<u32>,
    /// When a process in touch with a majority answered last.
    fresh_at: Option<u64>,
    /// The newest time, by this machine's steady clock, at which the configuration taken last is known to have been the
    /// newest one acknowledged.
    proven_at: Option<u64>,
    compared: u64,
    /// When seeds were looked for last.
    sought: u64,
}

impl Follower {
    /// A proxy on the machine `own` that knows nothing but these addresses.
    pub fn new(now: u64, own: u32, proxy: Registration, seeds: impl Iterator<Item = u32>) -> Follower {
        Follower {
            proxy,
            members: Members::new(own, now, seeds),
            catalog: Catalog::default(),
            configuration: None,
            document: None,
            leader: None,
            fresh_at: None,
            proven_at: None,
            compared: now,
            sought: now,
        }
    }

    /// Backends and proxies as far as they are known.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The configuration taken last.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Place of that configuration in the history.
    pub fn position(&self) -> Option<LogPosition> {
        self.configuration.as_ref().map(|c| c.position)
    }

    /// Whether the configuration taken last was the newest one acknowledged less than so many milliseconds ago.
    ///
    /// The proof is a call's own time, less what the process that answered it may lag behind: an answer that waited, or a
    /// process that slept at either end, only makes it look older than it is.
    pub fn is_proven_within(&self, now: u64, bound: u64) -> bool {
        self.proven_at.is_some_and(|at| now < at + bound)
    }

    /// Address of the leader's machine, as far as it is known.
    pub fn leader(&self) -> Option<u32> {
        self.leader
    }

    /// The process to ask.
    pub fn choose(&self, now: u64) -> Option<u32> {
        self.members.choose(now)
    }

    /// A process failed, or was not in touch with a majority.
    pub fn failed(&mut self, now: u64, ip: u32) {
        self.members.failed(now, ip);
    }

    /// Whether seeds should be looked for, since no process in touch answers; at most once in a while.
    pub fn needs_discovery(&mut self, now: u64) -> bool {
        let lost = self.fresh_at.is_none_or(|at| now >= at + LOST);
        let seeks = lost && now >= self.sought + LOST;
        if seeks {
            self.sought = now;
        }
        seeks
    }

    /// Takes the seeds that were found.
    pub fn add_seeds(&mut self, now: u64, seeds: impl Iterator<Item = u32>) {
        self.members.name(now, seeds);
    }

    /// The next call: the proxy's lease is renewed, and what it lacks is asked for. The first one to a process is answered
    /// without a wait.
    pub fn pull(&mut self, now: u64, lifecycle: Lifecycle, wait_ms: u32) -> Pull {
        self.proxy.sequence = self.proxy.sequence.saturating_add(1);
        self.proxy.lifecycle = lifecycle;
        let compares = now >= self.compared + COMPARE;
        if compares {
            self.compared = now;
        }
        Pull {
            proxy: self.proxy.clone(),
            vector: self.catalog.vector().clone(),
            position: self.position(),
            document: self.document,
            digests: if compares { self.catalog.digests() } else { Vec::new() },
            departed: if wait_ms == 0 { self.left() } else { Vec::new() },
            wait_ms,
        }
    }

    /// What is known to have left.
    fn left(&self) -> Vec<Registration> {
        let left = self.catalog.iter().filter(|r| r.lifecycle.is_leaving() && r.subject != Subject::Proxy);
        left.take(MAX_LEFT).cloned().collect()
    }

    /// Takes the answer to a call that was made at `asked` and is good for so long.
    ///
    /// One that is read later waited in the socket of a process that slept: what it calls current was so long ago.
    pub fn take(&mut self, now: u64, asked: u64, good_for: u64, reply: PullReply) -> Applied {
        if now > asked + good_for {
            return Applied::default();
        }
        self.members.name(now, reply.members.iter().copied());
        self.catalog.purge(now);
        // After a gap the vector stays, and the next call asks for all that is missing.
        let mut taken =
            Applied { registrations: self.catalog.merge(now, reply.delta).changed, ..Applied::default() };
        self.leader = reply.leader;
        // A process that has lost its group may hold a version behind the one in force elsewhere.
        if !reply.fresh {
            return taken;
        }
        taken.stays = true;
        self.fresh_at = Some(now);
        if let Some(update) = reply.configuration.filter(|update| Some(update.position) > self.position()) {
            let base = self.configuration.as_ref().map(|c| c.document.as_slice());
            match update.document.apply(base) {
                Ok(document) => {
                    self.document = Some(Digest::of(&document));
                    let (position, revision) = (update.position, update.revision);
                    self.configuration = Some(Configuration { position, revision, document });
                    taken.configuration = true;
                }
                Err(_) => {
                    self.document = None;
                    return taken;
                }
            }
        }
        if self.configuration.is_some() {
            self.proven_at = self.proven_at.max(Some(asked.saturating_sub(FOLLOWER_LEASE_MS)));
        }
        taken
    }
}
