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
            least: f64::from(self.least_per_backend),
            most: f64::from(self.most_per_backend),
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
mod tests {
    use super::*;

    fn flaw(text: &str) -> String {
        let (line, key, what) = parse(text).expect_err("unsound");
        format!("{}{what}", place(line, &key))
    }

    #[test]
    fn an_error_names_line_key_and_what_was_expected() {
        let told = flaw("[log]\nlevel = \"info\"\n\n[state]\n# how many\nconnections = 65\n");
        assert_eq!(told, "line 6: state.connections: expected a whole number from 1 to 64, got 65");
        let told = flaw("[state]\nsocket = \"state.sock\"\n");
        assert!(told.starts_with("line 2: state.socket: expected an absolute path"), "{told}");
        let told = flaw("[state]\nsokket = \"/x\"\n");
        assert!(told.starts_with("line 2: state.sokket: unknown field `sokket`"), "{told}");
        assert!(told.contains("expected `socket` or `connections`"), "{told}");
        let told = flaw("[stat]\n");
        assert!(told.contains("unknown field `stat`"), "{told}");
        let told = flaw("[log]\nlevel = \"loud\"\n");
        assert!(told.starts_with("line 2: log.level: unknown variant `loud`"), "{told}");
        let told = flaw("[log]\nlevel = = 3\n");
        assert!(told.starts_with("line 2: "), "{told}");
        let told = flaw("[limits]\nleast_per_backend = 9\nmost_per_backend = 4\n");
        let expected = "limits.most_per_backend: expected no less than limits.least_per_backend (9), got 4";
        assert_eq!(told, expected);
        let told = flaw("[limits]\nleast_per_backend = 0\n");
        assert!(told.ends_with("expected a whole number from 1 to 10000, got 0"), "{told}");
        let told = flaw("[state]\nconnections = -1\n");
        assert!(told.ends_with("got -1"), "{told}");
    }

    /// A section that is sound but for one line.
    fn region(changed: &str, to: &str) -> String {
        let sound = "[region]\nenabled = true\nname = \"north\"\ncertificate = \"/c\"\nkey = \"/k\"\ntrust = \"/t\"\n\
                     listen = \"127.0.0.1:7443\"\nhops = 1\n[region.rule]\nenter_ms = 500\n\
                     [[region.other]]\nname = \"south\"\naddresses = [\"127.0.0.1:7444\"]\nround_trip_ms = 40\n\
                     send = { per_s = 10, in_flight = 5 }\ntake = { per_s = 10, in_flight = 5 }\n\
                     [[region.other]]\nname = \"west\"\naddresses = [\"127.0.0.1:7445\"]\nround_trip_ms = 40\n\
                     send = { per_s = 10, in_flight = 5 }\ntake = { per_s = 10, in_flight = 5 }\n";
        assert!(changed.is_empty() || sound.contains(changed), "{changed}");
        sound.replacen(changed, to, 1)
    }

    #[test]
    fn each_flaw_of_the_regions_is_told_by_its_key() {
        assert!(parse(&region("", "")).is_ok());
        for (line, to, expected) in [
            ("name = \"north\"", "name = \"North\"", "region.name: expected up to 32 lower-case"),
            (
                "name = \"south\"",
                "name = \"north\"",
                "region.other.0.name: expected another region than this",
            ),
            ("name = \"west\"", "name = \"south\"", "region.other.1.name: expected each region once"),
            (
                "127.0.0.1:7445",
                "127.0.0.1:7444",
                "region.other.1.addresses: expected addresses of no other region",
            ),
            (
                "127.0.0.1:7444",
                "127.0.0.1:7443",
                "region.other.0.addresses: expected addresses of no other region",
            ),
            (
                "send = { per_s = 10",
                "send = { per_s = 0",
                "region.other.0.send.per_s: expected 1 to 100000, got 0",
            ),
            ("in_flight = 5", "in_flight = 0", "region.other.0.send.in_flight: expected 1 to 100000, got 0"),
            ("send = { per_s = 10", "send = { per_s = -1", "line 15: region.other.send"),
            ("hops = 1", "hops = 5", "region.hops: expected 1 to 4, got 5"),
            ("enter_ms = 500", "enter_ms = 0", "region.rule.enter_ms: expected 1 to 600000, got 0"),
            (
                "enter_ms = 500",
                "short_below_percent = 90",
                "region.rule.enough_from_percent: expected 91 to 200",
            ),
            ("round_trip_ms = 40", "round_trip_ms = 0", "region.other.0.round_trip_ms: expected 1 to 10000"),
            ("key = \"/k\"", "key = \"k\"", "region.key: expected an absolute path"),
            ("key = \"/k\"", "keys = \"/k\"", "line 5: region.keys: unknown field `keys`"),
        ] {
            let told = flaw(&region(line, to));
            assert!(told.starts_with(expected), "{told}\nfor {expected}");
        }
    }

    #[test]
    fn each_flaw_of_the_peers_is_told_by_its_key() {
        let list = |own: &str, rest: &str| {
            format!("[peers]\nenabled = true\nlisten = \"{own}\"\naddresses = [\"127.0.0.1:7946\", \"127.0.0.2:7946\"]\n{rest}")
        };
        assert!(parse(&list("127.0.0.2:7946", "")).is_ok());
        for (text, expected) in [
            (list("127.0.0.3:7946", ""), "peers.addresses: expected a list with this proxy's own address"),
            (
                list("127.0.0.1:7946", "own = \"127.0.0.3:1\"\n"),
                "peers.own: expected a list with this proxy's",
            ),
            (
                list("0.0.0.0:7946", "own = \"127.0.0.1:7946\"\n"),
                "peers.key: missing, expected the file of a key",
            ),
            (list("127.0.0.1:7946", "key = \"k\"\n"), "peers.key: expected an absolute path"),
            (
                list("127.0.0.1:7946", "answer_ms = 300\n"),
                "peers.answer_ms: expected 10 to 5000, below probe_ms",
            ),
            (list("127.0.0.1:7946", "bytes_per_s = 10\n"), "peers.bytes_per_s: expected 1000 to 1000000"),
            (list("127.0.0.1:7946", "probes = 1\n"), "line 5: peers.probes: unknown field `probes`"),
            (list("127.0.0.1:7946", "probe_ms = -1\n"), "line 5: peers.probe_ms: invalid value"),
            (list("127.0.0.1", ""), "line 3: peers.listen: invalid socket address"),
            (
                list("127.0.0.1:7946", "").replace(".2:", ".1:"),
                "peers.addresses.1: expected each address once",
            ),
            ("[shares]\nenabled = true\n".into(), "shares.enabled: expected peers.enabled = true"),
            ("[shares]\nfloor_percent = 101\n".into(), "shares.floor_percent: expected 0 to 100, got 101"),
            ("[shares]\nmost_times = 0\n".into(), "shares.most_times: expected 1 to 1000, got 0"),
            ("[shares]\nover_ms = 5\n".into(), "shares.over_ms: expected 100 to 60000, got 5"),
            ("[failover]\nenabled = true\n".into(), "failover.enabled: expected peers.enabled = true"),
            (
                "[failover]\ntarget_percent = 101\n".into(),
                "failover.target_percent: expected 10 to 100, got 101",
            ),
            ("[peers]\nenabled = true\naddresses = [\"127.0.0.1:1\"]\n".into(), "peers.listen: missing"),
        ] {
            let told = flaw(&text);
            assert!(told.starts_with(expected), "{told}\nfor {expected}");
        }
    }

    #[test]
    fn the_file_that_is_shipped_says_the_defaults_and_every_key() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gaugesaddle.toml");
        assert_eq!(load(&path).expect("sound"), Operator::default(), "as shipped it changes nothing");
        let text = std::fs::read_to_string(path).unwrap();
        // With every commented key switched on it must still be read: no key is told that doesn't exist.
        let on = |l: &str| match l.strip_prefix("#") {
            Some(key) if !key.starts_with(' ') && (key.contains('=') || key.starts_with('[')) => {
                key.to_string()
            }
            _ => l.to_string(),
        };
        let all: Vec<String> = text.lines().map(on).collect();
        let all = parse(&all.join("\n")).expect("every key is known");
        assert!(all.state.socket.is_some());
        assert_eq!(all.region.other.len(), 1);
        assert_eq!(all.peers.addresses.len(), 3);
        for key in [
            "level",
            "socket",
            "connections",
            "enabled",
            "longest_retry_after_s",
            "sources",
            "least_per_backend",
            "most_per_backend",
            "switch",
            "exercise_percent",
            "listen",
            "certificate",
            "key",
            "trust",
            "hops",
            "margin_ms",
            "drain_s",
            "short_below_percent",
            "enough_from_percent",
            "enter_ms",
            "return_ms",
            "send",
            "take",
            "addresses",
            "own",
            "all",
            "probe_ms",
            "answer_ms",
            "indirect",
            "suspect_least_ms",
            "suspect_most_ms",
            "publish_ms",
            "bytes_per_s",
            "retry_ms",
            "forget_s",
            "floor_percent",
            "most_times",
            "least_percent",
            "over_ms",
        ] {
            assert!(
                text.lines().any(|l| l.trim_start_matches('#').starts_with(&format!("{key} ="))),
                "{key}"
            );
        }
    }

    #[test]
    fn an_empty_file_changes_nothing_and_foreign_bytes_are_told() {
        assert_eq!(parse("").unwrap(), Operator::default());
        let file = std::env::temp_dir().join(format!("gaugesaddle-operator-{}", std::process::id()));
        std::fs::write(&file, b"[log]\n\xff\xfe").unwrap();
        let told = load(&file).expect_err("no text").to_string();
        std::fs::remove_file(&file).unwrap();
        assert!(told.ends_with("line 2: expected UTF-8"), "{told}");
        assert!(load(Path::new("/nowhere/at/all")).is_err());
    }
}
