//! `$BALANCER_CONFIG` into a checked struct.

use crate::discovery::{self, List, Room};
use crate::error::Error;
use crate::peers::Platform;
use gaugesaddle_balancer::settings::{self, Key, KeyError, Names};
use gaugesaddle_balancer::Micros;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;

/// Everything that the deployment tells a proxy.
pub struct Config {
    /// The proxy's name, for its state; the file may leave it out.
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where the platform's operators ask; on older deployments nowhere.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// The list of backends as this proxy last had it.
    pub known: Option<List>,
    /// What a list of discovery may have.
    pub room: Room,
    pub module: gaugesaddle_balancer::Config,
    pub names: Names,
    /// Requests that may be open at once; more are turned away before the module.
    pub open_cap: usize,
    /// A backend closes a connection that has been idle for this long, at the latest.
    pub conn_idle: Micros,
    /// A connection that is not up after this time counts as failed.
    pub dial_timeout: Micros,
    /// Sends to a backend that drains or is gone must stop within this time.
    pub drain_grace: Micros,
    /// The longest `Retry-After` that clients follow, where the settings tell it.
    pub max_retry_after: Option<Micros>,
    /// The longest time that a client waits.
    pub longest: Micros,
    /// The tier of proxies; `None` where the settings refuse words between them.
    pub peers: Option<Platform>,
    /// The document as it was read.
    pub document: Value,
}

/// The keys whose new values a running proxy does not take up. `known` is none of them, and stands in neither: the list
/// that the proxy holds is newer.
pub fn not_taken_up(running: &Value, newer: &Value) -> Vec<String> {
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

/// The longest file that is read: the longest list that any memory has room for, and settings beside it.
const MOST_BYTES: u64 = 5 << 20;
/// Where the settings do not tell the time in which sends to a backend that leaves must stop: the strictest one known.
const DRAIN_GRACE: Micros = Micros(500_000);
/// Fewer descriptors leave no room for clients, backends and discovery.
const LEAST_SOCKETS: u32 = 64;

/// Reads the file that `$BALANCER_CONFIG` names.
pub fn load() -> Result<Config, Error> {
    let path = std::env::var_os("BALANCER_CONFIG").ok_or(Error::NoConfig)?;
    let (what, path) = ("BALANCER_CONFIG", std::path::PathBuf::from(path));
    let mut text = Vec::new();
    let read = std::fs::File::open(&path).and_then(|f| f.take(MOST_BYTES + 1).read_to_end(&mut text));
    if let Err(source) = read {
        return Err(Error::Read { what, path, source });
    }
    if text.len() as u64 > MOST_BYTES {
        return Err(Error::Long { what, path, most: MOST_BYTES });
    }
    // The list is read by itself, and the rest as a document: whole, a long list would take ten times its length.
    let json = |source| Error::Json { what, path: path.clone(), source };
    let mut parts: BTreeMap<String, &RawValue> = serde_json::from_slice(&text).map_err(json)?;
    let known = parts.remove("known").map(RawValue::get).filter(|text| *text != "null");
    let mut document = serde_json::Map::new();
    for (key, part) in parts {
        document.insert(key, serde_json::from_str(part.get()).map_err(json)?);
    }
    parse(Value::Object(document), known)
}

/// Reads it again for a proxy that runs by that document. Another proxy's file in its place is refused: nothing in it is
/// meant for this one.
pub fn load_again(running: &Value) -> Result<Config, Error> {
    let newer = load()?;
    let name = |document: &Value| document.get("name").unwrap_or(&Value::Null).to_string();
    let (own, other) = (name(running), name(&newer.document));
    if own != other {
        return Err(Key::root(&newer.document).get("name").unfit(&own, &other).into());
    }
    Ok(newer)
}

fn address(key: &Key) -> Result<SocketAddr, KeyError> {
    let parsed = key.text()?.parse().ok();
    key.want(parsed, "an IP address and a port")
}

/// Whether the key is there and says anything.
fn is_told(key: &Key) -> bool {
    key.value().is_some_and(|v| !v.is_null())
}

/// The key, or `$BALANCER_ADMIN` where there is none.
fn admin(key: &Key) -> Result<Option<SocketAddr>, KeyError> {
    if is_told(key) {
        return address(key).map(Some);
    }
    let Some(told) = std::env::var("BALANCER_ADMIN").ok().filter(|a| !a.is_empty()) else { return Ok(None) };
    let told = serde_json::json!({ "BALANCER_ADMIN": told });
    address(&Key::root(&told).get("BALANCER_ADMIN")).map(Some)
}

/// What is told of the other proxies, where the settings allow words with them.
fn peers(root: &Key, limits: &Key) -> Result<Option<Platform>, KeyError> {
    if limits.get("peers").value().and_then(Value::as_bool) != Some(true) {
        return Ok(None);
    }
    let told = |key: &str| {
        let key = root.get(key);
        is_told(&key).then(|| address(&key)).transpose()
    };
    let key = root.get("peers");
    let addresses =
        if is_told(&key) { key.list()?.iter().map(address).collect::<Result<_, _>>()? } else { Vec::new() };
    Ok(Some(Platform { listen: told("peer_listen")?, addresses, all: told("peers_all")? }))
}

/// `known`: the text of that key.
fn parse(document: Value, known: Option<&str>) -> Result<Config, Error> {
    let root = Key::root(&document);
    let (seed, settings) = (root.get("seed"), root.get("settings"));
    let memory = (root.get("limits").get("memory_mb").count()? as usize).saturating_mul(1 << 20);
    let room = Room::of(memory);
    let known = known.map(|text| discovery::read(text.as_bytes(), "known", room)).transpose();
    let known = known.map_err(Error::Known)?;
    let sockets = root.get("limits").get("sockets");
    let enough = Some(sockets.count()?).filter(|n| *n >= LEAST_SOCKETS);
    let (module, names) = settings::read(&settings)?;
    module.validate()?;
    let limits = settings.get("limits");
    let mut longest = Micros(0);
    for class in settings.get("profiles").list()? {
        longest = longest.max(class.get("deadline_us").micros()?);
    }
    let peers = peers(&root, &limits)?;
    let hex = u64::from_str_radix(seed.text()?, 16).ok();
    Ok(Config {
        name: root.get("name").value().and_then(Value::as_str).unwrap_or_default().into(),
        listen: address(&root.get("listen"))?,
        discovery: address(&root.get("discovery"))?,
        admin: admin(&root.get("admin"))?,
        seed: seed.want(hex, "up to 16 hex digits")?,
        sockets: sockets.want(enough, "at least 64")? as usize,
        memory,
        known,
        room,
        module,
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
