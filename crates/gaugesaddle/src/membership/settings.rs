//! The section `[peers]` of the operator's file: the members of the tier, and the timers and limits of the membership.

use super::error::PeersError;
use super::key::read_key;
use crate::configuration::InvalidKey;
use gaugesaddle_balancer::Micros;
use gaugesaddle_membership::{Settings, MAX_MEMBERS};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The section `[peers]`. A change requires a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeersSection {
    /// Whether this proxy takes part in the membership.
    pub enabled: bool,
    /// The address of its socket; by default the platform's `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// The address of each member, in an order common to all members; by default the platform's `peers`.
    pub addresses: Vec<SocketAddr>,
    /// The address in this list at which the other members reach this proxy; by default `listen`.
    pub own: Option<SocketAddr>,
    /// An address that reaches all members, such as a broadcast address, if there is one.
    pub all: Option<SocketAddr>,
    /// The file of the shared key. Without one, only loopback addresses are accepted.
    pub key: Option<PathBuf>,
    /// Interval between probes, in milliseconds.
    pub probe_ms: u32,
    /// Timeout of a direct probe, in milliseconds; after it other members are requested to probe indirectly.
    pub answer_ms: u32,
    /// Number of members that are requested to probe indirectly.
    pub indirect: u32,
    /// Timeout of a suspicion that several members have confirmed, in milliseconds.
    pub suspect_least_ms: u32,
    /// Timeout of a suspicion that only one member has raised, in milliseconds.
    pub suspect_most_ms: u32,
    /// Minimum time between two records of local signals sent to the same member, in milliseconds.
    pub publish_ms: u32,
    /// Bytes per second for all traffic that can be postponed: records, messages, updates, probes of lost members.
    pub bytes_per_s: u32,
    /// Maximum time between two probes of the same lost member, in milliseconds.
    pub retry_ms: u32,
    /// Time in seconds after which the entry of a dead or departed member is deleted.
    pub forget_s: u32,
}

impl Default for PeersSection {
    fn default() -> PeersSection {
        let defaults = Settings::default();
        let ms = |time: Micros| (time.0 / 1000) as u32;
        PeersSection {
            enabled: false,
            listen: None,
            addresses: Vec::new(),
            own: None,
            all: None,
            key: None,
            probe_ms: ms(defaults.probe_interval),
            answer_ms: ms(defaults.ack_timeout),
            indirect: defaults.indirect_probes,
            suspect_least_ms: ms(defaults.min_suspicion),
            suspect_most_ms: ms(defaults.max_suspicion),
            publish_ms: ms(defaults.publish_interval),
            bytes_per_s: defaults.bytes_per_s,
            retry_ms: ms(defaults.reconnect_interval),
            forget_s: ms(defaults.retention) / 1000,
        }
    }
}

impl PeersSection {
    /// Converts the section to the settings of the membership.
    pub fn settings(&self) -> Settings {
        let ms = |value: u32| Micros(u64::from(value) * 1000);
        Settings {
            probe_interval: ms(self.probe_ms),
            ack_timeout: ms(self.answer_ms),
            indirect_probes: self.indirect,
            min_suspicion: ms(self.suspect_least_ms),
            max_suspicion: ms(self.suspect_most_ms),
            publish_interval: ms(self.publish_ms),
            bytes_per_s: self.bytes_per_s,
            reconnect_interval: ms(self.retry_ms),
            retention: Micros(u64::from(self.forget_s) * 1_000_000),
        }
    }

    /// Checks the section.
    ///
    /// # Errors
    /// Returns the first invalid key.
    pub fn check(&self) -> Result<(), InvalidKey> {
        let invalid = |key: &str, finding: String| Err(InvalidKey::new(format!("peers.{key}"), finding));
        if let Err(e) = self.settings().check() {
            return invalid(e.field, format!("expected {}", e.expected));
        }
        if let Some(key) = self.key.as_ref().filter(|k| !k.is_absolute()) {
            return invalid("key", format!("expected an absolute path, got {key:?}"));
        }
        if self.addresses.len() > MAX_MEMBERS {
            return invalid(
                "addresses",
                format!("expected up to {MAX_MEMBERS} addresses, got {}", self.addresses.len()),
            );
        }
        let mut seen = HashSet::new();
        if let Some((i, duplicate)) = self.addresses.iter().enumerate().find(|(_, a)| !seen.insert(**a)) {
            return invalid(
                &format!("addresses.{i}"),
                format!("expected each address once, got {duplicate} twice"),
            );
        }
        if !self.enabled || self.addresses.is_empty() {
            return Ok(());
        }
        let Some(listen) = self.listen else {
            return invalid(
                "listen",
                "missing, expected the address at which this proxy receives datagrams".into(),
            );
        };
        let own = self.own.unwrap_or(listen);
        if !self.addresses.contains(&own) {
            let key = if self.own.is_some() { "own" } else { "addresses" };
            return invalid(
                key,
                format!("expected a list with this proxy's own address, got one without {own}"),
            );
        }
        let mut addresses = self.addresses.iter().chain(&self.all).chain(&self.listen);
        match addresses.find(|address| !address.ip().is_loopback()) {
            Some(address) if self.key.is_none() => invalid(
                "key",
                format!("missing, expected a key file because {address} is not a loopback address"),
            ),
            _ => Ok(()),
        }
    }

    /// Reads the key file, if there is one.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, has a wrong length, or is accessible to users other than its owner.
    pub fn secret(&self) -> Result<Option<Vec<u8>>, PeersError> {
        self.key.as_deref().map(read_key).transpose()
    }
}
