//! Changes of named items of a configuration: which are added, replaced and removed, and the whole that this makes.
//!
//! What a patch does not name keeps its text byte for byte, so that the change travels as small as it is.

use crate::raw_object::RawObject;
use crate::{Finding, Findings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{HashMap, HashSet};

/// Lists that a patch may bring where the configuration it builds on has none.
const LISTS: [&str; 3] = ["routes", "services", "tenants"];
const REVISION: &str = "revision";
const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";

/// An item of a list, with its text.
#[derive(Debug)]
struct Item {
    name: String,
    text: Box<RawValue>,
}

/// What a patch says of one list.
#[derive(Debug)]
struct ListChange<T> {
    list: String,
    items: Vec<T>,
}

/// A change of named items, readable in itself; whether it fits is known only with the configuration it builds on.
#[derive(Debug)]
pub struct ConfigPatch {
    /// The revision it brings.
    pub revision: u64,
    upsert: Vec<ListChange<Item>>,
    remove: Vec<ListChange<String>>,
}

impl ConfigPatch {
    /// Reads a patch. Everything that is wrong with it is found, with list, item and field.
    pub fn parse(document: &[u8]) -> Result<ConfigPatch, Findings> {
        let members = object(document)?;
        let mut reader = Reader::default();
        let mut revision = None;
        let (mut upsert, mut remove) = (Vec::new(), Vec::new());
        let mut seen = HashSet::new();
        for (member, value) in &members.0 {
            if !seen.insert(member.as_str()) {
                reader.found(member, "to be given once");
                continue;
            }
            match member.as_str() {
                REVISION => revision = serde_json::from_str(value.get()).ok(),
                UPSERT => upsert = reader.lists(UPSERT, value, Reader::item),
                REMOVE => remove = reader.lists(REMOVE, value, Reader::name),
                _ => reader.found(member, "revision, upsert or remove"),
            }
        }
        if revision.is_none() {
            reader.found(REVISION, "a whole number");
        }
        match revision {
            Some(revision) if reader.findings.is_empty() => Ok(ConfigPatch { revision, upsert, remove }),
            _ => Err(Findings(reader.findings)),
        }
    }

    /// The whole configuration that it makes of the one it builds on; that may be empty, before the first. What is made
    /// has yet to be checked as a whole.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Findings> {
        let mut members = if base.is_empty() { RawObject::default() } else { object(base)? };
        let mut findings = Vec::new();
        for (list, text) in self.changed_lists(&members, &mut findings) {
            let text = raw(text);
            match members.0.iter_mut().find(|(member, _)| *member == list) {
                Some((_, value)) => *value = text,
                None => members.0.push((list, text)),
            }
        }
        if !findings.is_empty() {
            return Err(Findings(findings));
        }
        let revision = raw(self.revision.to_string());
        match members.0.iter_mut().find(|(member, _)| member == REVISION) {
            Some((_, value)) => *value = revision,
            None => members.0.insert(0, (REVISION.to_owned(), revision)),
        }
        Ok(text_of(&members).into_bytes())
    }

    /// The lists that change, as they are then.
    fn changed_lists(&self, base: &RawObject, findings: &mut Vec<Finding>) -> Vec<(String, String)> {
        let mut names: Vec<&str> = self.upsert.iter().map(|change| change.list.as_str()).collect();
        names.extend(self.remove.iter().map(|change| change.list.as_str()));
        let mut done = HashSet::new();
        names.retain(|name| done.insert(*name));
        names.into_iter().filter_map(|name| self.changed_list(name, base, findings)).collect()
    }

    fn changed_list(
        &self, list: &str, base: &RawObject, findings: &mut Vec<Finding>,
    ) -> Option<(String, String)> {
        let upsert = self.upsert.iter().find(|change| change.list == list);
        let remove = self.remove.iter().find(|change| change.list == list);
        let mut texts = match base.get(list).map(|value| serde_json::from_str(value.get())) {
            Some(Ok(items)) => items,
            None if LISTS.contains(&list) => Vec::new(),
            Some(Err(_)) | None => {
                let place = format!("{}.{list}", if upsert.is_some() { UPSERT } else { REMOVE });
                findings.push(Finding::new(place, "a list of the configuration that it builds on"));
                return None;
            }
        };
        remove_items(list, remove.map_or(&[], |change| &change.items), &mut texts, findings);
        upsert_items(upsert.map_or(&[], |change| &change.items), &mut texts);
        let texts: Vec<&str> = texts.iter().map(|text| text.get()).collect();
        Some((list.to_owned(), format!("[{}]", texts.join(","))))
    }
}

/// Where each named item stands; of several with one name the first.
fn places(texts: &[Box<RawValue>]) -> HashMap<String, usize> {
    let mut places = HashMap::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        if let Some(name) = name_of(text) {
            places.entry(name).or_insert(index);
        }
    }
    places
}

fn remove_items(list: &str, names: &[String], texts: &mut Vec<Box<RawValue>>, findings: &mut Vec<Finding>) {
    let places = places(texts);
    let mut removed = HashSet::new();
    for (index, name) in names.iter().enumerate() {
        match places.get(name) {
            Some(place) => {
                removed.insert(*place);
            }
            None => {
                let place = format!("{REMOVE}.{list}[{index}] ({name})");
                findings.push(Finding::new(place, "the name of an item of the configuration it builds on"));
            }
        }
    }
    let mut index = 0;
    texts.retain(|_| {
        index += 1;
        !removed.contains(&(index - 1))
    });
}

fn upsert_items(items: &[Item], texts: &mut Vec<Box<RawValue>>) {
    let places = places(texts);
    for item in items {
        match places.get(&item.name) {
            Some(place) => texts[*place] = item.text.clone(),
            None => texts.push(item.text.clone()),
        }
    }
}

fn name_of(text: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Named {
        name: String,
    }
    serde_json::from_str::<Named>(text.get()).ok().map(|named| named.name).filter(|name| !name.is_empty())
}

fn object(document: &[u8]) -> Result<RawObject, Findings> {
    serde_json::from_slice(document).map_err(|e| {
        let place = format!("line {}, column {}", e.line(), e.column());
        Findings(vec![Finding::new(place, "a JSON object")])
    })
}

/// Text that was composed of JSON texts.
fn raw(text: String) -> Box<RawValue> {
    RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

fn text_of(members: &RawObject) -> String {
    let member = |(name, value): &(String, Box<RawValue>)| {
        format!("{}:{}", serde_json::Value::from(name.as_str()), value.get())
    };
    let members: Vec<String> = members.0.iter().map(member).collect();
    format!("{{{}}}", members.join(","))
}

/// Collects what is wrong.
#[derive(Default)]
struct Reader {
    findings: Vec<Finding>,
    /// Names seen, by list: an item is added, replaced or removed once.
    names: HashSet<(String, String)>,
}

impl Reader {
    fn found(&mut self, place: impl Into<String>, expected: &str) {
        self.findings.push(Finding::new(place, expected));
    }

    /// The lists of `upsert` or `remove`.
    fn lists<T>(
        &mut self, member: &str, value: &RawValue, read: fn(&mut Reader, &str, &str, &RawValue) -> Option<T>,
    ) -> Vec<ListChange<T>> {
        let Ok(lists) = serde_json::from_str::<RawObject>(value.get()) else {
            self.found(member, "an object of lists");
            return Vec::new();
        };
        let mut changes: Vec<ListChange<T>> = Vec::new();
        for (list, items) in lists.0 {
            let place = format!("{member}.{list}");
            if changes.iter().any(|change| change.list == list) {
                self.found(place, "to be given once");
                continue;
            }
            let Ok(items) = serde_json::from_str::<Vec<Box<RawValue>>>(items.get()) else {
                self.found(place, "a list");
                continue;
            };
            let mut read_items = Vec::with_capacity(items.len());
            for (index, text) in items.iter().enumerate() {
                read_items.extend(read(self, &list, &format!("{place}[{index}]"), text));
            }
            let items = read_items;
            changes.push(ListChange { list, items });
        }
        changes
    }

    fn item(&mut self, list: &str, place: &str, text: &RawValue) -> Option<Item> {
        let Some(name) = name_of(text) else {
            self.found(place, "an object with a name");
            return None;
        };
        self.once(list, place, &name);
        Some(Item { name, text: text.to_owned() })
    }

    fn name(&mut self, list: &str, place: &str, text: &RawValue) -> Option<String> {
        let Ok(name) = serde_json::from_str::<String>(text.get()) else {
            self.found(place, "a name");
            return None;
        };
        self.once(list, place, &name);
        Some(name)
    }

    fn once(&mut self, list: &str, place: &str, name: &str) {
        if !self.names.insert((list.to_owned(), name.to_owned())) {
            self.found(format!("{place} ({name})"), "a name that the patch gives once in this list");
        }
    }
}
