//! The operator's own file (TOML): what the platform does not tell. Without it every default holds, and the
//! program does what it did before there was such a file.
//!
//! `deploy/gaugesaddle.toml` lists every key with its unit, range, default and reason; a test holds it to this
//! type. Each subsystem adds a section of its own.

use crate::failover::Failover;
use crate::peers::settings::Peers;
use crate::region::settings::Region;
use crate::shares::Shares;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use std::path::{Path, PathBuf};

/// A larger file is none of ours; reading it whole would cost memory that requests need.
const FILE_BYTES: u64 = 1 << 20;
/// The longest path that a Unix socket can have on the systems that this runs on (`sun_path`, less its end).
const SOCKET_PATH_BYTES: usize = 100;

/// Everything in the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// What is logged.
    pub log: Log,
    /// Where the state of the running proxy can be read.
    pub state: State,
    /// Storms of retries and reconnects.
    pub storm: Storm,
    /// What backends may hold.
    pub limits: Limits,
    /// Other regions as last resort.
    pub region: Region,
    /// The other proxies of the tier.
    pub peers: Peers,
    /// Parts by need.
    pub shares: Shares,
    /// Zones judged and decided in common.
    pub failover: Failover,
}

/// `[limits]`. Wants a restart. What all proxies together may hold on one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// They are learned; else each is a constant of four.
    pub learned: bool,
    /// At least so many requests.
    #[serde(deserialize_with = "held")]
    pub least_per_backend: u32,
    /// At most so many.
    #[serde(deserialize_with = "held")]
    pub most_per_backend: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        // One, or nothing would be learned; a thousand are more than a machine of any size that was tried bears.
        Limits { learned: false, least_per_backend: 1, most_per_backend: 1000 }
    }
}

impl Limits {
    /// For the module.
    pub fn bounds(self) -> gaugesaddle_balancer::LimitBounds {
        gaugesaddle_balancer::LimitBounds {
            learned: self.learned,
            min: f64::from(self.least_per_backend),
            max: f64::from(self.most_per_backend),
        }
    }
}

/// `[storm]`. Wants a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Storm {
    /// Whether storms are watched and damped.
    pub enabled: bool,
    /// No client is told to stay away for longer, in whole seconds.
    #[serde(deserialize_with = "longest")]
    pub longest_retry_after_s: u64,
    /// Sources (accounts or addresses) that are known at once.
    #[serde(deserialize_with = "sources")]
    pub sources: usize,
}

impl Default for Storm {
    fn default() -> Storm {
        // Half a minute spreads some thousand clients of one proxy; 4096 sources take less than a megabyte by estimate.
        Storm { enabled: false, longest_retry_after_s: 30, sources: 4096 }
    }
}

/// `[log]`. Wants a restart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The least level that is written to standard error.
    pub level: Level,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: Level::Info }
    }
}

/// The levels of the log, from the least to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What broke.
    Error,
    /// What may break.
    Warn,
    /// What changed, and counts at most once a second a reason.
    Info,
    /// Single connections.
    Debug,
    /// Everything.
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

/// `[state]`. Taken up at SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct State {
    /// The Unix socket on which `gaugesaddle state` asks; none: it is off.
    #[serde(deserialize_with = "socket_path")]
    pub socket: Option<PathBuf>,
    /// Callers that are served at once; more wait in the system's queue.
    #[serde(deserialize_with = "connections")]
    pub connections: usize,
}

impl Default for State {
    fn default() -> State {
        // A tool and a scraper together; each holds a descriptor that requests could use.
        State { socket: None, connections: 4 }
    }
}

fn socket_path<'de, D: Deserializer<'de>>(from: D) -> Result<Option<PathBuf>, D::Error> {
    let path = PathBuf::deserialize(from)?;
    let length = path.as_os_str().len();
    if !path.is_absolute() || length > SOCKET_PATH_BYTES {
        return Err(D::Error::custom(format!(
            "expected an absolute path of up to {SOCKET_PATH_BYTES} bytes, got {path:?}"
        )));
    }
    Ok(Some(path))
}

fn whole<'de, D: Deserializer<'de>>(from: D, most: u64) -> Result<u64, D::Error> {
    let count = i64::deserialize(from)?;
    let got = u64::try_from(count).ok().filter(|n| (1..=most).contains(n));
    got.ok_or_else(|| D::Error::custom(format!("expected a whole number from 1 to {most}, got {count}")))
}

fn connections<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    whole(from, 64).map(|n| n as usize)
}

fn longest<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    whole(from, 600)
}

fn held<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    whole(from, 10_000).map(|n| n as u32)
}

fn sources<'de, D: Deserializer<'de>>(from: D) -> Result<usize, D::Error> {
    whole(from, 1_000_000).map(|n| n as usize)
}

/// Why the operator's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It can't be read.
    #[error("{}: expected a readable file: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is too large to be one.
    #[error("{}: expected a file of up to {FILE_BYTES} bytes, got {bytes}", file.display())]
    Large {
        /// The file.
        file: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A key or the form.
    #[error("{}: {}{what}", file.display(), place(*line, key))]
    Form {
        /// The file.
        file: PathBuf,
        /// The line, from 1, where it is known.
        line: Option<usize>,
        /// The key, as a path with dots, where it is known.
        key: String,
        /// What was expected.
        what: String,
    },
}

fn place(line: Option<usize>, key: &str) -> String {
    let line = line.map(|n| format!("line {n}: ")).unwrap_or_default();
    if key.is_empty() {
        line
    } else {
        format!("{line}{key}: ")
    }
}

/// Reads and checks the file.
pub fn load(file: &Path) -> Result<Operator, OperatorError> {
    let unread = |source| OperatorError::Read { file: file.into(), source };
    let bytes = std::fs::metadata(file).map_err(unread)?.len();
    if bytes > FILE_BYTES {
        return Err(OperatorError::Large { file: file.into(), bytes });
    }
    let text = std::fs::read(file).map_err(unread)?;
    let text = String::from_utf8(text).map_err(|e| OperatorError::Form {
        file: file.into(),
        line: Some(1 + e.as_bytes()[..e.utf8_error().valid_up_to()].iter().filter(|b| **b == b'\n').count()),
        key: String::new(),
        what: "expected UTF-8".into(),
    })?;
    parse(&text).map_err(|(line, key, what)| OperatorError::Form { file: file.into(), line, key, what })
}

/// The line (from 1), the key and what is wrong.
type Flaw = (Option<usize>, String, String);

fn parse(text: &str) -> Result<Operator, Flaw> {
    let read = read(text)?;
    let Limits { least_per_backend: least, most_per_backend: most, .. } = read.limits;
    if least > most {
        let what = format!("expected no less than limits.least_per_backend ({least}), got {most}");
        return Err((None, "limits.most_per_backend".into(), what));
    }
    read.region.check().map_err(|(key, what)| (None, key, what))?;
    read.peers.check().map_err(|(key, what)| (None, key, what))?;
    read.shares.check(read.peers.enabled).map_err(|(key, what)| (None, key, what))?;
    read.failover.check(read.peers.enabled).map_err(|(key, what)| (None, key, what))?;
    Ok(read)
}

fn read(text: &str) -> Result<Operator, Flaw> {
    toml::from_str(text).map_err(|e: toml::de::Error| {
        let at = e.span().map(|s| s.start.min(text.len()));
        let line = at.map(|at| 1 + text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count());
        let key = line.map(|n| key_at(text, n)).unwrap_or_default();
        (line, key, e.message().trim_end().to_string())
    })
}

/// The key that a line sets, with the section above it: the parser's error knows only the place.
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

/// The keys that differ and are not taken up before a restart.
pub fn not_taken_up(running: &Operator, newer: &Operator) -> Vec<&'static str> {
    let mut keys = Vec::new();
    if running.log.level != newer.log.level {
        keys.push("log.level");
    }
    if running.storm != newer.storm {
        keys.push("storm");
    }
    if running.limits != newer.limits {
        keys.push("limits");
    }
    // The switch and the exercise are taken up.
    let mut held = newer.region.clone();
    (held.switch, held.exercise_percent) = (running.region.switch, running.region.exercise_percent);
    if running.region != held {
        keys.push("region");
    }
    if running.peers != newer.peers {
        keys.push("peers");
    }
    if running.shares != newer.shares {
        keys.push("shares");
    }
    if running.failover != newer.failover {
        keys.push("failover");
    }
    keys
}

#[cfg(test)]
mod tests;
