//! The operator's file (TOML), with the settings that the platform does not configure. Without it all defaults apply.
//!
//! `deploy/gaugesaddle.toml` lists every key with its unit, range, default and reason; a test compares it with this type.
//! Each optional part of the proxy has its own section.

use crate::configuration::InvalidKey;
use crate::federation::settings::RegionSection;
use crate::membership::allocation::AllocationSection;
use crate::membership::settings::PeersSection;
use crate::membership::zones::FailoverSection;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use std::path::{Path, PathBuf};

/// Maximum size of the file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum length of a Unix socket's path, below the 108 bytes of `sun_path`.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// The contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Logging.
    pub log: Log,
    /// The socket on which the state of the running proxy is published.
    pub state: State,
    /// Detection of retry storms.
    pub storm: Storm,
    /// Concurrency limits of backends.
    pub limits: Limits,
    /// Spillover to other regions as a last resort.
    pub region: RegionSection,
    /// The other proxies of the tier.
    pub peers: PeersSection,
    /// Allocation by demand.
    pub shares: AllocationSection,
    /// Zone failover, decided by all proxies together.
    pub failover: FailoverSection,
}

/// The section `[limits]`: limits of requests in flight to one backend from all proxies together. A change requires a
/// restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Whether the limits are adapted to observed latencies; otherwise each is a constant of four.
    pub learned: bool,
    /// Minimum number of requests in flight.
    #[serde(deserialize_with = "requests_in_flight")]
    pub least_per_backend: u32,
    /// Maximum number of requests in flight.
    #[serde(deserialize_with = "requests_in_flight")]
    pub most_per_backend: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        // With less than one request in flight no latency would be observed; a thousand exceed the capacity of every tested
        // machine.
        Limits { learned: false, least_per_backend: 1, most_per_backend: 1000 }
    }
}

impl Limits {
    /// Converts the section to the limits of the balancer.
    pub fn bounds(self) -> gaugesaddle_balancer::LimitBounds {
        gaugesaddle_balancer::LimitBounds {
            learned: self.learned,
            min: f64::from(self.least_per_backend),
            max: f64::from(self.most_per_backend),
        }
    }
}

/// The section `[storm]`: retry storms. A change requires a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Storm {
    /// Whether retry storms are detected and damped.
    pub enabled: bool,
    /// Maximum `Retry-After`, in seconds.
    #[serde(deserialize_with = "retry_after")]
    pub longest_retry_after_s: u64,
    /// Maximum number of sources (accounts or addresses) that are tracked.
    #[serde(deserialize_with = "sources")]
    pub sources: usize,
}

impl Default for Storm {
    fn default() -> Storm {
        // 30 s spread the retries of several thousand clients of one proxy; 4096 sources use an estimated memory of less
        // than one megabyte.
        Storm { enabled: false, longest_retry_after_s: 30, sources: 4096 }
    }
}

/// The section `[log]`. A change requires a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is written to standard error.
    pub level: Level,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: Level::Info }
    }
}

/// The levels of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures.
    Error,
    /// Conditions that may lead to failures.
    Warn,
    /// Changes of state, and each counter at most once a second.
    Info,
    /// Events of single connections.
    Debug,
    /// All events.
    Trace,
}

impl From<Level> for tracing::Level {
    fn from(level: Level) -> tracing::Level {
        match level {
            Level::Error => tracing::Level::ERROR,
            Level::Warn => tracing::Level::WARN,
            Level::Info => tracing::Level::INFO,
            Level::Debug => tracing::Level::DEBUG,
            Level::Trace => tracing::Level::TRACE,
        }
    }
}

/// The section `[state]`. Changes apply at SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct State {
    /// Path of the Unix socket that `gaugesaddle state` reads; without one the state is not published.
    #[serde(deserialize_with = "socket_path")]
    pub socket: Option<PathBuf>,
    /// Maximum number of clients that are served concurrently; more wait in the socket's backlog.
    #[serde(deserialize_with = "connections")]
    pub connections: usize,
}

impl Default for State {
    fn default() -> State {
        // Enough for a tool and a scraper at the same time; each uses a file descriptor that is not available to requests.
        State { socket: None, connections: 4 }
    }
}

fn socket_path<'de, D: Deserializer<'de>>(from: D) -> Result<Option<PathBuf>, D::Error> {
    let path = PathBuf::deserialize(from)?;
    let length = path.as_os_str().len();
    if !path.is_absolute() || length > MAX_SOCKET_PATH_BYTES {
        return Err(D::Error::custom(format!(
            "expected an absolute path of up to {MAX_SOCKET_PATH_BYTES} bytes, got {path:?}"
        )));
    }
    Ok(Some(path))
}

fn integer<'de, D: Deserializer<'de>>(from: D, max: u64) -> Result<u64, D::Error> {
    let count = i64::deserialize(from)?;
    let got = u64::try_from(count).ok().filter(|n| (1..=max).contains(n));
    got.ok_or_else(|| D::Error::custom(format!("expected a whole number from 1 to {max}, got {count}")))
}

fn connections<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    integer(from, 64).map(|n| n as usize)
}

fn retry_after<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    integer(from, 600)
}

fn requests_in_flight<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    integer(from, 10_000).map(|n| n as u32)
}

fn sources<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    integer(from, 1_000_000).map(|n| n as usize)
}

/// An error of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The file cannot be read.
    #[error("{}: expected a readable file: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is too large.
    #[error("{}: expected a file of up to {MAX_FILE_BYTES} bytes, got {bytes}", file.display())]
    Large {
        /// The file.
        file: PathBuf,
        /// Its size in bytes.
        bytes: u64,
    },
    /// The syntax or the value of a key is invalid.
    #[error("{}: {error}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The error, with its line and key where they are known.
        error: InvalidContents,
    },
}

/// An error in the contents of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidContents {
    /// The line, counted from 1; `None` if it is unknown.
    pub line: Option<usize>,
    /// The key as a dotted path; empty if it is unknown.
    pub key: String,
    /// The expected and the found value.
    pub finding: String,
}

impl std::fmt::Display for InvalidContents {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.finding)
    }
}

impl From<InvalidKey> for InvalidContents {
    fn from(InvalidKey { key, finding }: InvalidKey) -> InvalidContents {
        InvalidContents { line: None, key, finding }
    }
}

/// Reads and checks the file.
///
/// # Errors
/// Returns an error if the file cannot be read or is invalid; see [`InvalidContents`].
pub fn load(file: &Path) -> Result<OperatorConfig, OperatorError> {
    let unreadable = |source| OperatorError::Read { file: file.into(), source };
    let invalid = |error| OperatorError::Invalid { file: file.into(), error };
    let bytes = std::fs::metadata(file).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(OperatorError::Large { file: file.into(), bytes });
    }
    let text = std::fs::read(file).map_err(unreadable)?;
    let text = String::from_utf8(text).map_err(|e| {
        let line = line_at(e.as_bytes(), e.utf8_error().valid_up_to());
        invalid(InvalidContents { line: Some(line), key: String::new(), finding: "expected UTF-8".into() })
    })?;
    parse(&text).map_err(invalid)
}

/// Returns the line, counted from 1, at an offset in bytes.
fn line_at(text: &[u8], offset: usize) -> usize {
    1 + text[..offset].iter().filter(|byte| **byte == b'\n').count()
}

fn parse(text: &str) -> Result<OperatorConfig, InvalidContents> {
    let config = deserialize(text)?;
    let Limits { least_per_backend: min, most_per_backend: max, .. } = config.limits;
    if min > max {
        let finding = format!("expected no less than limits.least_per_backend ({min}), got {max}");
        return Err(InvalidKey::new("limits.most_per_backend", finding).into());
    }
    config.region.check()?;
    config.peers.check()?;
    config.shares.check(config.peers.enabled)?;
    config.failover.check(config.peers.enabled)?;
    Ok(config)
}

fn deserialize(text: &str) -> Result<OperatorConfig, InvalidContents> {
    toml::from_str(text).map_err(|e: toml::de::Error| {
        let line = e.span().map(|span| line_at(text.as_bytes(), span.start.min(text.len())));
        let key = line.map(|line| key_at(text, line)).unwrap_or_default();
        InvalidContents { line, key, finding: e.message().trim_end().to_string() }
    })
}

/// Returns the key that a line sets, with its section, since an error of the parser has only an offset.
fn key_at(text: &str, line: usize) -> String {
    let mut section = "";
    let mut key = "";
    for line in text.lines().take(line) {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            (section, key) = (name.trim_matches(['[', ' ']), "");
        } else if !line.starts_with('#') {
            if let Some((name, _)) = line.split_once('=') {
                key = name.trim();
            }
        }
    }
    let parts = [section, key].into_iter().filter(|p| !p.is_empty());
    parts.collect::<Vec<_>>().join(".")
}

/// Returns the keys and sections that differ and require a restart.
pub fn keys_requiring_restart(running: &OperatorConfig, newer: &OperatorConfig) -> Vec<&'static str> {
    // The switch and the exercise percentage apply without a restart.
    let mut region = newer.region.clone();
    (region.switch, region.exercise_percent) = (running.region.switch, running.region.exercise_percent);
    let differences = [
        ("log.level", running.log.level != newer.log.level),
        ("storm", running.storm != newer.storm),
        ("limits", running.limits != newer.limits),
        ("region", running.region != region),
        ("peers", running.peers != newer.peers),
        ("shares", running.shares != newer.shares),
        ("failover", running.failover != newer.failover),
    ];
    differences.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
}

#[cfg(test)]
mod tests;
