//! A control process's side: the configuration in force, and what each proxy lacks of it.

use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_protocol::{Configuration, ConfigurationUpdate, Digest, DocumentUpdate, Pull, PullReply};
use std::cell::RefCell;
use std::collections::VecDeque;

/// Earlier versions that are kept for proxies that have not taken a newer one yet.
pub const MAX_VERSIONS: usize = 16;
/// Bytes of those versions together.
pub const MAX_VERSION_BYTES: usize = 4 << 20;
/// Updates that are kept for the next proxies with the same version.
const MAX_UPDATES: usize = 4;

/// How a control process stands, as a proxy is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether it was in touch with a majority of replicas a moment ago.
    pub fresh: bool,
    /// Address of the leader's machine.
    pub leader: Option<u32>,
    /// Addresses of the machines that serve control.
    pub members: Vec<u32>,
}

/// A document with its digest.
#[derive(Clone, Debug)]
struct Version {
    digest: Digest,
    document: Vec<u8>,
}

/// The configuration in force and the versions before it.
#[derive(Clone, Debug, Default)]
pub struct Distributor {
    current: Option<Configuration>,
    /// The newest last.
    versions: VecDeque<Version>,
    /// What brings a version to the newest one; many proxies have the same.
    updates: RefCell<VecDeque<(Digest, DocumentUpdate)>>,
}

impl Distributor {
    /// The configuration in force.
    pub fn current(&self) -> Option<&Configuration> {
        self.current.as_ref()
    }

    /// Takes a configuration that a majority has on its disks; false where it is not newer.
    pub fn take(&mut self, configuration: &Configuration) -> bool {
        if self.current.as_ref().is_some_and(|c| c.position >= configuration.position) {
            return false;
        }
        let digest = Digest::of(&configuration.document);
        if self.versions.back().is_none_or(|v| v.digest != digest) {
            self.versions.push_back(Version { digest, document: configuration.document.clone() });
            self.updates.borrow_mut().clear();
            self.forget_oldest();
        }
        self.current = Some(configuration.clone());
        true
    }

    fn forget_oldest(&mut self) {
        let bytes = |versions: &VecDeque<Version>| versions.iter().map(|v| v.document.len()).sum::<usize>();
        // The newest stays, however long it is.
        while self.versions.len() > 1
            && (self.versions.len() > MAX_VERSIONS || bytes(&self.versions) > MAX_VERSION_BYTES)
        {
            self.versions.pop_front();
        }
    }

    /// Whether a proxy lacks something.
    pub fn has_changes(&self, catalog_replica: &CatalogReplica, pull: &Pull) -> bool {
        self.is_newer(pull) || catalog_replica.has_changes_for(&pull.vector, &pull.digests)
    }

    /// The answer to a proxy's call.
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
        let current = self.current.as_ref().filter(|_| self.is_newer(pull))?;
        let document = match pull.document {
            Some(base) => self.document_for(base, &current.document),
            None => DocumentUpdate::Full(current.document.clone()),
        };
        Some(ConfigurationUpdate { position: current.position, revision: current.revision, document })
    }

    fn document_for(&self, base: Digest, newest: &[u8]) -> DocumentUpdate {
        let mut updates = self.updates.borrow_mut();
        if let Some((_, update)) = updates.iter().find(|(digest, _)| *digest == base) {
            return update.clone();
        }
        let version = self.versions.iter().find(|v| v.digest == base);
        let update = DocumentUpdate::between(version.map(|v| v.document.as_slice()), newest);
        if version.is_some() {
            updates.push_back((base, update.clone()));
            let surplus = updates.len().saturating_sub(MAX_UPDATES);
            updates.drain(..surplus);
        }
        update
    }
}
