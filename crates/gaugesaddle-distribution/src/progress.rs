//! Distribution at a control process: which of its proxies have the newest configuration.

use gaugesaddle_protocol::{DistributionReport, LogPosition};
use std::collections::BTreeMap;

/// Time without a pull after which a proxy is assumed to follow another process or to have ended, in milliseconds: a
/// few times the longest interval between two pulls.
const PULL_TIMEOUT_MS: u64 = 2500;
/// Maximum number of proxies: in the largest supported fleet, fewer pull from one process.
const MAX_PROXIES: usize = 4096;
/// Maximum number of proxies that a report names.
const MAX_NAMED_PROXIES: usize = 16;

/// The last pull of a proxy.
#[derive(Clone, Debug)]
struct LastPull {
    at_ms: u64,
    /// Position of the configuration in force at the proxy.
    position: Option<LogPosition>,
}

/// The newest configuration of this process.
#[derive(Clone, Copy, Debug)]
struct Newest {
    position: LogPosition,
    revision: u64,
    /// When this process learned that it is committed, in milliseconds.
    applied_ms: u64,
    is_complete: bool,
}

/// All proxies that pull from this process have its newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Revision of the configuration.
    pub revision: u64,
    /// Number of these proxies.
    pub proxies: usize,
    /// Time since this process learned of the commitment, in milliseconds.
    pub duration_ms: u64,
}

/// Progress of the distribution of the newest configuration to the proxies that pull from this process.
#[derive(Clone, Debug, Default)]
pub struct DistributionProgress {
    newest: Option<Newest>,
    /// By the identity of the proxy.
    pulls: BTreeMap<String, LastPull>,
    /// Bytes of the replies that contained the newest configuration.
    sent_bytes: u64,
}

impl DistributionProgress {
    /// Records at `now` (milliseconds) that this process has a newer configuration.
    pub fn record_newest(&mut self, now: u64, position: LogPosition, revision: u64) {
        self.newest = Some(Newest { position, revision, applied_ms: now, is_complete: false });
        self.sent_bytes = 0;
    }

    /// Records a reply of so many bytes that contains the newest configuration.
    pub fn record_sent(&mut self, bytes: usize) {
        self.sent_bytes = self.sent_bytes.saturating_add(bytes as u64);
    }

    /// Records a pull at `now` (milliseconds) of a proxy that has the configuration at `position`. Returns the
    /// completion if this proxy was the last one without the newest configuration.
    pub fn record_pull(&mut self, now: u64, id: &str, position: Option<LogPosition>) -> Option<Completion> {
        self.pulls.retain(|_, pull| now < pull.at_ms + PULL_TIMEOUT_MS);
        if self.pulls.len() < MAX_PROXIES || self.pulls.contains_key(id) {
            self.pulls.insert(id.to_owned(), LastPull { at_ms: now, position });
        }
        let newest = self.newest.filter(|newest| !newest.is_complete)?;
        if self.pulls.values().any(|pull| pull.position < Some(newest.position)) {
            return None;
        }
        self.newest = Some(Newest { is_complete: true, ..newest });
        Some(Completion {
            revision: newest.revision,
            proxies: self.pulls.len(),
            duration_ms: now.saturating_sub(newest.applied_ms),
        })
    }

    /// Removes a proxy that leaves.
    pub fn remove(&mut self, id: &str) {
        self.pulls.remove(id);
    }

    /// The progress at `now` (milliseconds).
    pub fn report(&self, now: u64) -> DistributionReport {
        let Some(newest) = self.newest else { return DistributionReport::default() };
        let pulls = || self.pulls.iter().filter(|(_, pull)| now < pull.at_ms + PULL_TIMEOUT_MS);
        let outdated = || pulls().filter(|(_, pull)| pull.position < Some(newest.position));
        DistributionReport {
            revision: newest.revision,
            age_ms: now.saturating_sub(newest.applied_ms),
            proxies: pulls().count() as u64,
            outdated_proxies: outdated().count() as u64,
            oldest_pull_ms: pulls().map(|(_, pull)| now.saturating_sub(pull.at_ms)).max().unwrap_or(0),
            sent_bytes: self.sent_bytes,
            outdated: outdated().take(MAX_NAMED_PROXIES).map(|(id, _)| id.clone()).collect(),
        }
    }
}
