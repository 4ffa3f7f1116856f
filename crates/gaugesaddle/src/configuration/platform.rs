//! The platform's configuration: the JSON file that `$BALANCER_CONFIG` names.

use crate::discovery::list::{self, List, ListError, ListLimits};
use crate::membership::Platform;
use gaugesaddle_balancer::settings::{self, Key, KeyError, Names};
use gaugesaddle_balancer::Micros;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the platform's configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The environment names no configuration.
    #[error("BALANCER_CONFIG: missing, expected a file name")]
    NoConfig,
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file is larger than any that could be used.
    #[error("BALANCER_CONFIG: expected at most {MAX_FILE_BYTES} bytes, {} has more", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The file is no JSON.
    #[error("BALANCER_CONFIG: expected JSON in {}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: serde_json::Error,
    },
    /// The value of a key.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The list of backends in it.
    #[error("{0}")]
    Known(#[source] ListError),
    /// A setting that the balancer does not accept.
    #[error("settings: {0}")]
    Balancer(#[from] gaugesaddle_balancer::ConfigError),
}

/// The configuration of a proxy as the platform sets it.
pub struct PlatformConfig {
    /// The proxy's name, for its state; the file may leave it out.
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Address of the admin interface; older deployments have none.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// The list of backends as this proxy last had it.
    pub known: Option<List>,
    /// Limits of a list of backends.
    pub list_limits: ListLimits,
    pub balancer: gaugesaddle_balancer::Config,
    pub names: Names,
    /// Maximum number of open requests; more are rejected before they reach the balancer.
    pub open_cap: usize,
    /// A backend closes a connection that has been idle for this long, at the latest.
    pub conn_idle: Micros,
    /// A connection that is not up after this time counts as failed.
    pub dial_timeout: Micros,
    /// Sends to a backend that drains or has departed must stop within this time.
    pub drain_grace: Micros,
    /// The longest `Retry-After` that clients follow, where the settings have it.
    pub max_retry_after: Option<Micros>,
    /// The longest time that a client waits.
    pub longest: Micros,
    /// The tier of proxies; `None` where the settings allow no messages between them.
    pub peers: Option<Platform>,
    /// The document as it was read.
    pub document: Value,
}

/// The keys that differ and require a restart. `known` is in neither document: the proxy's own list is newer.
pub fn keys_requiring_restart(running: &Value, newer: &Value) -> Vec<String> {
    let mut keys = Vec::new();
    differences(String::new(), running, newer, &mut keys);
    keys.retain(|k| k != "discovery");
    keys
}

/// The paths at which two documents differ.
fn differences(path: String, old: &Value, new: &Value, found: &mut Vec<String>) {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return if old != new {
            found.push(path);
        };
    };
    let only_new = new.keys().filter(|k| !old.contains_key(*k));
    for key in old.keys().chain(only_new) {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let (old, new) = (old.get(key).unwrap_or(&Value::Null), new.get(key).unwrap_or(&Value::Null));
        differences(path, old, new, found);
    }
}

/// Maximum size of the file: the longest list that any memory allows, and settings beside it.
const MAX_FILE_BYTES: u64 = 5 << 20;
/// The time within which sends to a departing backend must stop where the settings have none: the strictest one known.
const DRAIN_GRACE: Micros = Micros(500_000);
/// Fewer descriptors would not suffice for clients, backends and discovery.
const MIN_SOCKETS: u32 = 64;

/// Reads the file that `$BALANCER_CONFIG` names.
///
/// # Errors
/// See [`PlatformError`].
pub fn load() -> Result<PlatformConfig, PlatformError> {
    let path = std::env::var_os("BALANCER_CONFIG").ok_or(PlatformError::NoConfig)?;
    let path = PathBuf::from(path);
    let mut text = Vec::new();
    let read = std::fs::File::open(&path).and_then(|f| f.take(MAX_FILE_BYTES + 1).read_to_end(&mut text));
    if let Err(source) = read {
        return Err(PlatformError::Read { path, source });
    }
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(PlatformError::TooLarge { path });
    }
    // The list is read by itself, and the rest as a document: whole, a long list would take ten times its length.
    let json = |source| PlatformError::Json { path: path.clone(), source };
    let mut parts: BTreeMap<String, &RawValue> = serde_json::from_slice(&text).map_err(json)?;
    let known = parts.remove("known").map(RawValue::get).filter(|text| *text != "null");
    let mut document = serde_json::Map::new();
    for (key, part) in parts {
        document.insert(key, serde_json::from_str(part.get()).map_err(json)?);
    }
    parse(Value::Object(document), known)
}

/// Reads the file again for a proxy that was started with the document `running`. Another proxy's file is rejected.
///
/// # Errors
/// See [`PlatformError`].
pub fn load_again(running: &Value) -> Result<PlatformConfig, PlatformError> {
    let newer = load()?;
    let name = |document: &Value| document.get("name").unwrap_or(&Value::Null).to_string();
    let (own, other) = (name(running), name(&newer.document));
    if own != other {
        return Err(Key::root(&newer.document).get("name").invalid_value(&own, &other).into());
    }
    Ok(newer)
}

fn address(key: &Key) -> Result<SocketAddr, KeyError> {
    let parsed = key.text()?.parse().ok();
    key.require(parsed, "an IP address and a port")
}

/// Whether the key is present and not null.
fn is_set(key: &Key) -> bool {
    key.value().is_some_and(|v| !v.is_null())
}

/// The key, or `$BALANCER_ADMIN` where there is none.
fn admin(key: &Key) -> Result<Option<SocketAddr>, KeyError> {
    if is_set(key) {
        return address(key).map(Some);
    }
    let Some(value) = std::env::var("BALANCER_ADMIN").ok().filter(|a| !a.is_empty()) else { return Ok(None) };
    let document = serde_json::json!({ "BALANCER_ADMIN": value });
    address(&Key::root(&document).get("BALANCER_ADMIN")).map(Some)
}

/// The other proxies, where the settings allow messages between them.
fn peers(root: &Key, limits: &Key) -> Result<Option<Platform>, KeyError> {
    if limits.get("peers").value().and_then(Value::as_bool) != Some(true) {
        return Ok(None);
    }
    let optional_address = |key: &str| {
        let key = root.get(key);
        is_set(&key).then(|| address(&key)).transpose()
    };
    let key = root.get("peers");
    let addresses =
        if is_set(&key) { key.list()?.iter().map(address).collect::<Result<_, _>>()? } else { Vec::new() };
    Ok(Some(Platform {
        listen: optional_address("peer_listen")?,
        addresses,
        all: optional_address("peers_all")?,
    }))
}

/// `known`: the text of that key.
fn parse(document: Value, known: Option<&str>) -> Result<PlatformConfig, PlatformError> {
    let root = Key::root(&document);
    let (seed, settings) = (root.get("seed"), root.get("settings"));
    let memory = (root.get("limits").get("memory_mb").count()? as usize).saturating_mul(1 << 20);
    let list_limits = ListLimits::of(memory);
    let known = known.map(|text| list::read(text.as_bytes(), "known", list_limits)).transpose();
    let known = known.map_err(PlatformError::Known)?;
    let sockets = root.get("limits").get("sockets");
    let enough = Some(sockets.count()?).filter(|n| *n >= MIN_SOCKETS);
    let (balancer, names) = settings::read(&settings)?;
    balancer.validate()?;
    let limits = settings.get("limits");
    let mut longest = Micros(0);
    for class in settings.get("profiles").list()? {
        longest = longest.max(class.get("deadline_us").micros()?);
    }
    let peers = peers(&root, &limits)?;
    let hex = u64::from_str_radix(seed.text()?, 16).ok();
    Ok(PlatformConfig {
        name: root.get("name").value().and_then(Value::as_str).unwrap_or_default().into(),
        listen: address(&root.get("listen"))?,
        discovery: address(&root.get("discovery"))?,
        admin: admin(&root.get("admin"))?,
        seed: seed.require(hex, "up to 16 hex digits")?,
        sockets: sockets.require(enough, "at least 64")? as usize,
        memory,
        known,
        list_limits,
        balancer,
        names,
        open_cap: limits.get("open_cap").count()? as usize,
        conn_idle: limits.get("conn_idle_us").micros()?,
        dial_timeout: limits.get("dial_timeout_us").micros()?,
        drain_grace: match settings.get("rules").get("stop_sending_within_us") {
            key if key.value().is_some() => key.micros()?,
            _ => DRAIN_GRACE,
        },
        max_retry_after: limits.get("max_retry_after_us").value().and_then(Value::as_u64).map(Micros),
        longest,
        peers,
        document,
    })
}
