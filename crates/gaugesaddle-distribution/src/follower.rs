//! Distribution at a proxy: the configuration and the catalog received, and the control process to call.

use crate::Members;
use gaugesaddle_catalog::Catalog;
use gaugesaddle_protocol::{
    Configuration, ConfigurationUpdate, Digest, Lifecycle, LogPosition, Pull, PullReply, Registration,
    Subject,
};

/// How often a pull carries the digests of the catalog's ranges, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 3000;
/// Time without an answer from a control process in contact with a majority after which seeds are resolved again, and
/// minimum time between two such discoveries, in milliseconds.
const DISCOVERY_INTERVAL_MS: u64 = 2000;

/// Maximum time by which a fresh answer may lag behind the newest committed configuration, in milliseconds: the lease
/// of a Raft follower (`gaugesaddle-consensus`, `Settings::follower_lease_ms`).
pub const FOLLOWER_LEASE_MS: u64 = 600;

/// Maximum number of departed backends reported in the first call to a process: the number that departs within the
/// retention time of departed registrations when all backends of a large fleet are replaced within an hour.
const MAX_DEPARTED: usize = 512;

/// The effect of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The configuration is newer, or the same one at a later position in the log.
    pub configuration: bool,
    /// At least one registration has changed.
    pub registrations: bool,
    /// The process is in contact with a majority: the next call goes to it again.
    pub fresh: bool,
}

/// A proxy's view of the control plane.
#[derive(Clone, Debug)]
pub struct Follower {
    /// This proxy's registration; its sequence rises with each call.
    proxy: Registration,
    members: Members,
    catalog: Catalog,
    configuration: Option<Configuration>,
    /// Digest of its document; `None` requests the full document.
    document_digest: Option<Digest>,
    leader: Option<u32>,
    /// The control process that gave the last fresh reply.
    source: Option<u32>,
    /// The latest time, in milliseconds of this machine's monotonic clock, at which the configuration is known to have
    /// been the newest one acknowledged.
    proven_ms: Option<u64>,
    /// When digests were last sent, in milliseconds.
    last_digest_ms: u64,
    /// When seeds were last resolved, in milliseconds.
    last_discovery_ms: u64,
}

impl Follower {
    /// A proxy on the machine `own_ip` that starts at `now` (milliseconds) and knows only the addresses of the seeds.
    pub fn new(now: u64, own_ip: u32, proxy: Registration, seeds: impl Iterator<Item = u32>) -> Follower {
        Follower {
            proxy,
            members: Members::new(own_ip, now, seeds),
            catalog: Catalog::default(),
            configuration: None,
            document_digest: None,
            leader: None,
            source: None,
            proven_ms: None,
            last_digest_ms: now,
            last_discovery_ms: now,
        }
    }

    /// The backends and proxies known.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The configuration applied last.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Position of that configuration in the log.
    pub fn position(&self) -> Option<LogPosition> {
        self.configuration.as_ref().map(|c| c.position)
    }

    /// Whether the configuration was the newest one acknowledged less than `bound_ms` milliseconds ago.
    ///
    /// The proof dates from the time of the call less [`FOLLOWER_LEASE_MS`], by which the process that answered may lag
    /// behind. If an answer is delayed or either process is suspended, the configuration can only be taken for older
    /// than it is.
    pub fn is_proven_within(&self, now: u64, bound_ms: u64) -> bool {
        self.proven_ms.is_some_and(|at| now < at + bound_ms)
    }

    /// Time since the configuration was known to be the newest one acknowledged, in milliseconds; `None` before the
    /// first proof. The configuration may still be that one.
    pub fn proof_age_ms(&self, now: u64) -> Option<u64> {
        self.proven_ms.map(|at| now.saturating_sub(at))
    }

    /// Address of the leader's machine, where it is known.
    pub fn leader(&self) -> Option<u32> {
        self.leader
    }

    /// The control process to call next.
    pub fn choose(&self, now: u64) -> Option<u32> {
        self.members.choose(now)
    }

    /// As [`Follower::choose`], without the processes that are `called` already.
    pub fn choose_except(&self, now: u64, called: &[u32]) -> Option<u32> {
        self.members.choose_except(now, called)
    }

    /// The control process that gave the last fresh reply; `None` before the first, and once it has failed.
    pub fn source(&self) -> Option<u32> {
        self.source
    }

    /// Records that a process gave a fresh reply and is called again.
    pub fn record_source(&mut self, ip: u32) {
        self.source = Some(ip);
    }

    /// Records that a call failed, or that the process was not in contact with a majority.
    pub fn record_failure(&mut self, now: u64, ip: u32) {
        self.members.record_failure(now, ip);
        self.source = self.source.filter(|source| *source != ip);
    }

    /// Whether seeds should be resolved again, since no process in contact with a majority answers. Returning true
    /// records a discovery, so that it happens at most once per interval.
    pub fn needs_discovery(&mut self, now: u64) -> bool {
        let is_lost = self.members.last_fresh_ms().is_none_or(|at| now >= at + DISCOVERY_INTERVAL_MS);
        let is_due = now >= self.last_discovery_ms + DISCOVERY_INTERVAL_MS;
        if !is_lost || !is_due {
            return false;
        }
        self.last_discovery_ms = now;
        true
    }

    /// Adds the addresses that seeds were resolved to.
    pub fn add_seeds(&mut self, now: u64, seeds: impl Iterator<Item = u32>) {
        self.members.add(now, seeds);
    }

    /// The next call: it renews the proxy's lease and requests the changes that it lacks. The process waits up to
    /// `wait_ms` milliseconds for changes; the first call to a process has 0, and reports the departed backends.
    pub fn pull(&mut self, now: u64, lifecycle: Lifecycle, wait_ms: u32) -> Pull {
        self.proxy.sequence = self.proxy.sequence.saturating_add(1);
        self.proxy.lifecycle = lifecycle;
        let is_first = wait_ms == 0;
        Pull {
            proxy: self.proxy.clone(),
            vector: self.catalog.vector().clone(),
            position: self.position(),
            document: self.document_digest,
            digests: self.due_digests(now),
            departed: if is_first { self.departed_backends() } else { Vec::new() },
            wait_ms,
        }
    }

    /// The catalog's digests once per interval, else none.
    fn due_digests(&mut self, now: u64) -> Vec<u64> {
        if now < self.last_digest_ms + DIGEST_INTERVAL_MS {
            return Vec::new();
        }
        self.last_digest_ms = now;
        self.catalog.digests()
    }

    /// Backends known to drain or to have departed.
    fn departed_backends(&self) -> Vec<Registration> {
        let is_departed = |r: &&Registration| r.lifecycle.is_leaving() && r.subject != Subject::Proxy;
        self.catalog.iter().filter(is_departed).take(MAX_DEPARTED).cloned().collect()
    }

    /// Applies the answer to a call made at `called_ms` that is valid for `valid_ms` milliseconds from then.
    ///
    /// An answer read later is dropped: it may have waited in the socket buffer of a suspended process, and its content
    /// may be outdated by then.
    pub fn apply(&mut self, now: u64, called_ms: u64, valid_ms: u64, reply: PullReply) -> Applied {
        if now > called_ms + valid_ms {
            return Applied::default();
        }
        self.members.add(now, reply.members.iter().copied());
        self.catalog.purge(now);
        // After a gap the vector does not advance, so the next call requests the missing changes.
        let merged = self.catalog.merge(now, reply.delta);
        let mut applied = Applied { registrations: merged.changed, ..Applied::default() };
        self.leader = reply.leader;
        // A process that is not in contact with a majority may have an older version than the one in force.
        if !reply.fresh {
            return applied;
        }
        applied.fresh = true;
        self.members.record_fresh(now);
        if let Some(update) = reply.configuration.filter(|update| Some(update.position) > self.position()) {
            if !self.apply_configuration(update) {
                return applied;
            }
            applied.configuration = true;
        }
        if self.configuration.is_some() {
            let proven_ms = called_ms.saturating_sub(FOLLOWER_LEASE_MS);
            self.proven_ms = self.proven_ms.max(Some(proven_ms));
        }
        applied
    }

    /// Applies a newer configuration; false where its delta does not fit, then the next call requests the full
    /// document.
    fn apply_configuration(&mut self, update: ConfigurationUpdate) -> bool {
        let base = self.configuration.as_ref().map(|c| c.document.as_slice());
        let Ok(document) = update.document.apply(base) else {
            self.document_digest = None;
            return false;
        };
        self.document_digest = Some(Digest::of(&document));
        let ConfigurationUpdate { position, revision, .. } = update;
        self.configuration = Some(Configuration { position, revision, document });
        true
    }
}
