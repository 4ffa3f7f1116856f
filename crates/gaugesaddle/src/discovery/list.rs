//! The list of backends as the discovery service sends it.

use crate::serving::exchange::ListedBackend;
use gaugesaddle_balancer::settings::{stable_id, Key, KeyError};
use gaugesaddle_balancer::{Backend, BackendId, BackendState, CellId, KindId, Time, ZoneId};
use serde_json::value::RawValue;
use serde_json::{json, Value};

/// A list in an answer of the discovery service.
#[derive(Clone)]
pub struct List {
    pub index: u64,
    /// Whether it is the full list; otherwise it contains the changes.
    pub full: bool,
    pub targets: Vec<ListedBackend>,
}

/// Limits of a list, which depend on the configured memory.
#[derive(Clone, Copy, Debug)]
pub struct ListLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum number of entries, and of backends at once.
    pub entries: usize,
}

impl ListLimits {
    /// The limits for `memory` bytes. An entry has some 150 bytes, 300 if the document is indented, and a backend in
    /// use takes some 4 KB (in the balancer, the driver and the registry); a quarter of the memory may be used for
    /// that. The minima are what the largest fleets need.
    pub fn of(memory: usize) -> ListLimits {
        ListLimits { bytes: (memory / 16).clamp(1 << 20, 4 << 20), entries: (memory / (16 << 10)).max(2_048) }
    }
}

/// Parses a list that is at `path` in the configuration document, or an answer (`path` is empty). One invalid entry
/// rejects the list, since a partial list would drop backends. Entries are parsed one at a time, to limit the memory
/// for parsed documents.
///
/// # Errors
/// The first invalid value, with its path.
pub fn read(text: &[u8], path: &str, limits: ListLimits) -> Result<List, ListError> {
    #[derive(serde::Deserialize)]
    struct Document<'a> {
        #[serde(default)]
        index: Value,
        #[serde(default)]
        snapshot: Value,
        #[serde(borrow)]
        endpoints: Option<&'a RawValue>,
    }
    let document: Document = serde_json::from_slice(text)?;
    let head = json!({"index": document.index, "snapshot": document.snapshot});
    let root = Key::at(path.into(), &head);
    let endpoints = root.get("endpoints");
    let raw = endpoints.require(document.endpoints, "an array")?.get();
    let entries: Vec<&RawValue> =
        serde_json::from_str(raw).map_err(|_| endpoints.invalid_value("an array", raw))?;
    if entries.len() > limits.entries {
        let expected = format!("no more than {} lines for the memory told", limits.entries);
        return Err(endpoints.invalid_value(&expected, &entries.len().to_string()).into());
    }
    let mut targets = Vec::with_capacity(entries.len());
    for (n, entry) in entries.iter().enumerate() {
        let value: Value = serde_json::from_str(entry.get())?;
        targets.push(target(&endpoints.item(n, &value))?);
    }
    let index = root.get("index");
    let version = index.value().and_then(Value::as_u64);
    Ok(List { index: index.require(version, "a version")?, full: root.get("snapshot").flag()?, targets })
}

/// The error of an invalid list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    #[error("expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// Parses an entry of a list.
fn target(entry: &Key) -> Result<ListedBackend, KeyError> {
    let (status, since) = (entry.get("status"), entry.get("since_ms"));
    let state = match status.text()? {
        "ready" => BackendState::Ready,
        "draining" => BackendState::Draining,
        "gone" => BackendState::Departed,
        _ => return status.require(None, "ready, draining or gone"),
    };
    let started =
        since.require(since.value().map_or(Some(0), serde_json::Value::as_u64), "whole milliseconds")?;
    let address = entry.get("address");
    let (name, zone, kind) =
        (entry.get("name").text()?, entry.get("zone").text()?, entry.get("type").text()?);
    let (cell, weight) = (entry.get("group"), entry.get("weight"));
    let backend = Backend {
        id: BackendId(stable_id(name)),
        zone: ZoneId(stable_id(zone)),
        cell: CellId(cell.require(cell.value().and_then(Value::as_u64), "a group number")?),
        kind: KindId(stable_id(kind)),
        state,
        booted: Some(Time(started.saturating_mul(1000))).filter(|t| t.0 > 0),
        weight: weight.require(Some(weight.real()?).filter(|w| *w >= 0.0), "a weight of 0 or more")?,
    };
    let address = address.require(address.text()?.parse().ok(), "an address")?;
    Ok(ListedBackend { backend, address, name: name.into(), zone: zone.into(), kind: kind.into() })
}
