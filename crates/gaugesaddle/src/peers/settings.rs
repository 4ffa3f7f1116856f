//! `[peers]` of the operator's file: the tier that this proxy belongs to, and what it may cost.

use gaugesaddle_balancer::Micros;
use gaugesaddle_membership::{Settings, MAX_MEMBERS, MIN_KEY_BYTES};
use serde::Deserialize;
use std::collections::HashSet;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// A larger key file is none.
const MOST_KEY_BYTES: u64 = 4096;

/// `[peers]`. Wants a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// Whether this proxy knows the others.
    pub enabled: bool,
    /// Where it takes their datagrams; by default what the platform tells.
    pub listen: Option<SocketAddr>,
    /// Where each proxy of the tier is reached, in an order that all share; by default what the platform tells.
    pub addresses: Vec<SocketAddr>,
    /// The one of these at which the others reach this proxy; by default `listen`.
    pub own: Option<SocketAddr>,
    /// An address that reaches all of them at once, if there is one.
    pub all: Option<SocketAddr>,
    /// The file of the key that all share; none: loopback addresses only.
    pub key: Option<PathBuf>,
    /// One other proxy is asked each time.
    pub probe_ms: u32,
    /// Without an answer for so long others are asked to ask.
    pub answer_ms: u32,
    /// So many.
    pub indirect: u32,
    /// A suspect has this time to object where several found it silent.
    pub suspect_least_ms: u32,
    /// And this where one did.
    pub suspect_most_ms: u32,
    /// The own record goes to each other proxy no more often than this.
    pub publish_ms: u32,
    /// What records and attempts at lost proxies may take together.
    pub bytes_per_s: u32,
    /// A lost proxy is tried again by each other one at least this often.
    pub retry_ms: u32,
    /// One that is dead or has left is forgotten after this time.
    pub forget_s: u32,
}

impl Default for Peers {
    fn default() -> Peers {
        let s = Settings::default();
        let ms = |span: Micros| (span.0 / 1000) as u32;
        Peers {
            enabled: false,
            listen: None,
            addresses: Vec::new(),
            own: None,
            all: None,
            key: None,
            probe_ms: ms(s.probe_interval),
            answer_ms: ms(s.ack_timeout),
            indirect: s.indirect_probes,
            suspect_least_ms: ms(s.min_suspicion),
            suspect_most_ms: ms(s.max_suspicion),
            publish_ms: ms(s.publish_interval),
            bytes_per_s: s.bytes_per_s,
            retry_ms: ms(s.reconnect_interval),
            forget_s: ms(s.retention) / 1000,
        }
    }
}

impl Peers {
    /// The times and budgets.
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

    /// The first key that can't be: its path and what was expected.
    pub fn check(&self) -> Result<(), (String, String)> {
        let flaw = |key: &str, expected: String| Err((format!("peers.{key}"), expected));
        if let Err(e) = self.settings().check() {
            return flaw(e.field, format!("expected {}", e.expected));
        }
        if let Some(key) = self.key.as_ref().filter(|k| !k.is_absolute()) {
            return flaw("key", format!("expected an absolute path, got {key:?}"));
        }
        if self.addresses.len() > MAX_MEMBERS {
            return flaw(
                "addresses",
                format!("expected up to {MAX_MEMBERS} addresses, got {}", self.addresses.len()),
            );
        }
        let mut seen = HashSet::new();
        if let Some((i, twice)) = self.addresses.iter().enumerate().find(|(_, a)| !seen.insert(**a)) {
            return flaw(&format!("addresses.{i}"), format!("expected each address once, got {twice} twice"));
        }
        if !self.enabled || self.addresses.is_empty() {
            return Ok(());
        }
        let Some(listen) = self.listen else {
            return flaw("listen", "missing, expected the address where this proxy takes datagrams".into());
        };
        let own = self.own.unwrap_or(listen);
        if !self.addresses.contains(&own) {
            let key = if self.own.is_some() { "own" } else { "addresses" };
            return flaw(key, format!("expected a list with this proxy's own address, got none with {own}"));
        }
        let open = self.addresses.iter().chain(&self.all).chain(&self.listen).find(|a| !a.ip().is_loopback());
        match open.filter(|_| self.key.is_none()) {
            Some(address) => flaw(
                "key",
                format!("missing, expected the file of a key, for {address} is no loopback address"),
            ),
            None => Ok(()),
        }
    }

    /// What the key file holds.
    pub fn secret(&self) -> Result<Option<Vec<u8>>, PeersError> {
        self.key.as_deref().map(read_key).transpose()
    }
}

/// Why a proxy can't join its tier.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// A key of the file, beside what the platform tells.
    #[error("{key}: {what}")]
    Key {
        /// Its path.
        key: String,
        /// What was expected.
        what: String,
    },
    /// The key file can't be read.
    #[error("peers.key: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Others than its owner may read or write it.
    #[error("peers.key: expected a file that only its owner may read or write, got {} with mode {mode:04o}", path.display())]
    Mode {
        /// Which.
        path: PathBuf,
        /// Its mode.
        mode: u32,
    },
    /// It is too short to be a secret, or too long to be a key.
    #[error("peers.key: expected {MIN_KEY_BYTES} to {MOST_KEY_BYTES} bytes, got {bytes} in {}", path.display())]
    Length {
        /// Which.
        path: PathBuf,
        /// Its length.
        bytes: u64,
    },
}

fn read_key(path: &Path) -> Result<Vec<u8>, PeersError> {
    let unread = |source| PeersError::Read { path: path.into(), source };
    let file = std::fs::File::open(path).map_err(unread)?;
    let about = file.metadata().map_err(unread)?;
    let mode = about.permissions().mode() & 0o7777;
    if mode & 0o077 != 0 {
        return Err(PeersError::Mode { path: path.into(), mode });
    }
    let mut secret = Vec::new();
    file.take(MOST_KEY_BYTES + 1).read_to_end(&mut secret).map_err(unread)?;
    let bytes = secret.len() as u64;
    if (MIN_KEY_BYTES as u64..=MOST_KEY_BYTES).contains(&bytes) {
        Ok(secret)
    } else {
        Err(PeersError::Length { path: path.into(), bytes })
    }
}

#[cfg(test)]
mod tests;
