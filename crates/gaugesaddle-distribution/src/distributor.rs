//! Distribution at a control process: the configuration in force, and the updates for proxies with older versions.

use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_protocol::{Configuration, ConfigurationUpdate, Digest, DocumentUpdate, Pull, PullReply};
use std::cell::RefCell;
use std::collections::VecDeque;

/// Maximum number of versions, the newest included, from which a proxy can be brought up to date by a delta.
pub const MAX_VERSIONS: usize = 16;
/// Maximum size of those versions in total, in bytes; the newest one is retained regardless of its size.
pub const MAX_VERSION_BYTES: usize = 4 << 20;
/// Maximum number of computed updates that are reused for proxies with the same version.
const MAX_CACHED_UPDATES: usize = 4;

/// The state of a control process, as reported to proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether it was in contact with a majority of replicas within its lease.
    pub fresh: bool,
    /// Address of the leader's machine.
    pub leader: Option<u32>,
    /// Addresses of the machines that run control processes.
    pub members: Vec<u32>,
}

/// A document with its digest.
#[derive(Clone, Debug)]
struct Version {
    digest: Digest,
    document: Vec<u8>,
}

/// An update to the newest version.
#[derive(Clone, Debug)]
struct CachedUpdate {
    /// Digest of the version that it applies to.
    base: Digest,
    update: DocumentUpdate,
}

/// The configuration in force and the versions before it.
#[derive(Clone, Debug, Default)]
pub struct Distributor {
    current: Option<Configuration>,
    /// In order of age, the newest last.
    versions: VecDeque<Version>,
    /// In order of computation. Many proxies have the same version, and a delta is expensive to compute.
    cached_updates: RefCell<VecDeque<CachedUpdate>>,
}

impl Distributor {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Applies a committed configuration; false where it is not newer than the one in force.
    pub fn apply(&mut self, configuration: &Configuration) -> bool {
        if self.current.as_ref().is_some_and(|c| c.position >= configuration.position) {
            return false;
        }
        let digest = Digest::of(&configuration.document);
        if self.versions.back().is_none_or(|v| v.digest != digest) {
            self.versions.push_back(Version { digest, document: configuration.document.clone() });
            self.cached_updates.borrow_mut().clear();
            self.drop_oldest_versions();
        }
        self.current = Some(configuration.clone());
        true
    }

    fn drop_oldest_versions(&mut self) {
        // The newest version is retained regardless of its size: it is the base of the next delta.
        while self.versions.len() > 1 {
            let bytes: usize = self.versions.iter().map(|v| v.document.len()).sum();
            if self.versions.len() <= MAX_VERSIONS && bytes <= MAX_VERSION_BYTES {
                break;
            }
            self.versions.pop_front();
        }
    }

    /// Whether the proxy that sent a pull lacks a configuration or changes of the catalog.
    pub fn has_changes(&self, catalog_replica: &CatalogReplica, pull: &Pull) -> bool {
        self.is_newer(pull) || catalog_replica.has_changes_for(&pull.vector, &pull.digests)
    }

    /// The answer to a proxy's pull at `now` (milliseconds).
    pub fn answer(
        &self, now: u64, catalog_replica: &CatalogReplica, pull: &Pull, replica_status: ReplicaStatus,
    ) -> PullReply {
        PullReply {
            fresh: replica_status.fresh,
            leader: replica_status.leader,
            members: replica_status.members,
            configuration: self.update_for(pull),
            delta: catalog_replica.changes_for(now, &pull.vector, &pull.digests).unwrap_or_default(),
        }
    }

    fn is_newer(&self, pull: &Pull) -> bool {
        self.current.as_ref().is_some_and(|c| Some(c.position) > pull.position)
    }

    fn update_for(&self, pull: &Pull) -> Option<ConfigurationUpdate> {
        let current = self.current.as_ref()?;
        if !self.is_newer(pull) {
            return None;
        }
        let document = match pull.document {
            Some(base) => self.document_update(base, &current.document),
            None => DocumentUpdate::Full(current.document.clone()),
        };
        Some(ConfigurationUpdate { position: current.position, revision: current.revision, document })
    }

    /// The update from the version with the digest `base` to the newest one; the full document where that version is not
    /// retained.
    fn document_update(&self, base: Digest, newest: &[u8]) -> DocumentUpdate {
        let mut cached_updates = self.cached_updates.borrow_mut();
        if let Some(cached) = cached_updates.iter().find(|cached| cached.base == base) {
            return cached.update.clone();
        }
        let version = self.versions.iter().find(|v| v.digest == base);
        let update = DocumentUpdate::between(version.map(|v| v.document.as_slice()), newest);
        if version.is_some() {
            cached_updates.push_back(CachedUpdate { base, update: update.clone() });
            let surplus = cached_updates.len().saturating_sub(MAX_CACHED_UPDATES);
            cached_updates.drain(..surplus);
        }
        update
    }
}
