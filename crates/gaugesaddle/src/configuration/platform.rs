//! The platform's configuration: the JSON file at the path in `$BALANCER_CONFIG`.

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

/// An error of the platform's configuration.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// `$BALANCER_CONFIG` is not set.
    #[error("BALANCER_CONFIG: missing, expected a file name")]
    NoConfig,
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is larger than the maximum.
    #[error("BALANCER_CONFIG: expected a file of at most {MAX_FILE_BYTES} bytes, {} has more", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The file is not valid JSON.
    #[error("BALANCER_CONFIG: expected JSON in {}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The error of the JSON parser, with its position.
        source: serde_json::Error,
    },
    /// The value of a key is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The list of backends in the file is invalid.
    #[error("{0}")]
    Known(#[source] ListError),
    /// The balancer rejects a setting.
    #[error("settings: {0}")]
    Balancer(#[from] gaugesaddle_balancer::ConfigError),
}

/// The configuration of a proxy as the platform sets it.
pub struct PlatformConfig {
    /// The proxy's name, for the published state; empty if the file has none.
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Address of the admin interface, which older deployments do not have.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Maximum memory of the process, in bytes.
    pub memory: usize,
    /// The last list of backends that this proxy received.
    pub known: Option<List>,
    /// Size limits of a list of backends.
    pub list_limits: ListLimits,
    pub balancer: gaugesaddle_balancer::Config,
    pub names: Names,
    /// Maximum number of open requests; more are rejected before they reach the balancer.
    pub open_cap: usize,
    /// Idle time after which a backend closes a connection at the latest.
    pub conn_idle: Micros,
    /// Timeout of establishing a connection to a backend.
    pub dial_timeout: Micros,
    /// Time within which sends to a draining or departed backend must stop.
    pub drain_grace: Micros,
    /// Maximum `Retry-After` that clients follow, where the settings have it.
    pub max_retry_after: Option<Micros>,
    /// Maximum time that a client waits for a response: the longest deadline of all classes.
    pub longest: Micros,
    /// The tier of proxies; `None` if the settings do not allow messages between them.
    pub peers: Option<Platform>,
    /// The document without the list of backends.
    pub document: Value,
}

/// Returns the keys that differ and require a restart. Neither document contains `known`, since the running proxy's list is
/// newer. A change of `discovery` requires no restart.
pub fn keys_requiring_restart(running: &Value, newer: &Value) -> Vec<String> {
    let mut keys = Vec::new();
    differences(String::new(), running, newer, &mut keys);
    keys.retain(|key| key != "discovery");
    keys
}

/// Appends the paths at which two documents differ.
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

/// Maximum size of the file: the longest list of backends that any memory limit allows, and the settings.
const MAX_FILE_BYTES: u64 = 5 << 20;
/// Default time within which sends to a draining or departed backend must stop: the strictest known value.
const DRAIN_GRACE: Micros = Micros(500_000);
/// Minimum number of file descriptors for clients, backends and discovery.
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
    // The list of backends is parsed separately: as a part of the document, a long list would use ten times its length in
    // memory.
    let json = |source| PlatformError::Json { path: path.clone(), source };
    let mut parts: BTreeMap<String, &RawValue> = serde_json::from_slice(&text).map_err(json)?;
    let known = parts.remove("known").map(RawValue::get).filter(|text| *text != "null");
    let mut document = serde_json::Map::new();
    for (key, part) in parts {
        document.insert(key, serde_json::from_str(part.get()).map_err(json)?);
    }
    parse(Value::Object(document), known)
}

/// Reloads the file for a proxy that was started with the document `running`. A file with another proxy's name is rejected.
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

/// Reads the address at the key, or from `$BALANCER_ADMIN` if the key is not set.
fn admin(key: &Key) -> Result<Option<SocketAddr>, KeyError> {
    if is_set(key) {
        return address(key).map(Some);
    }
    let Some(value) = std::env::var("BALANCER_ADMIN").ok().filter(|a| !a.is_empty()) else { return Ok(None) };
    let document = serde_json::json!({ "BALANCER_ADMIN": value });
    address(&Key::root(&document).get("BALANCER_ADMIN")).map(Some)
}

/// Reads the settings of the tier; `None` if the settings do not allow messages between proxies.
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

/// Parses the document; `known` is the JSON text of the list of backends, which the document does not contain.
fn parse(document: Value, known: Option<&str>) -> Result<PlatformConfig, PlatformError> {
    let root = Key::root(&document);
    let (seed, settings) = (root.get("seed"), root.get("settings"));
    let memory = (root.get("limits").get("memory_mb").count()? as usize).saturating_mul(1 << 20);
    let list_limits = ListLimits::of(memory);
    let known = known.map(|text| list::read(text.as_bytes(), "known", list_limits)).transpose();
    let known = known.map_err(PlatformError::Known)?;
    let sockets = root.get("limits").get("sockets");
    let socket_count = Some(sockets.count()?).filter(|count| *count >= MIN_SOCKETS);
    let (balancer, names) = settings::read(&settings)?;
    balancer.validate()?;
    let limits = settings.get("limits");
    let mut longest = Micros(0);
    for class in settings.get("profiles").list()? {
        longest = longest.max(class.get("deadline_us").micros()?);
    }
    let peers = peers(&root, &limits)?;
    let seed_value = u64::from_str_radix(seed.text()?, 16).ok();
    Ok(PlatformConfig {
        name: root.get("name").value().and_then(Value::as_str).unwrap_or_default().into(),
        listen: address(&root.get("listen"))?,
        discovery: address(&root.get("discovery"))?,
        admin: admin(&root.get("admin"))?,
        seed: seed.require(seed_value, "up to 16 hex digits")?,
        sockets: sockets.require(socket_count, "at least 64")? as usize,
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
