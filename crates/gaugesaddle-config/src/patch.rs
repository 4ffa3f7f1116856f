//! Patches: items of a configuration's lists that are added, replaced or removed, identified by their names.
//!
//! The text of all other items is preserved byte for byte, so that the delta between the two documents, which replicas
//! send to each other, stays as small as the patch.

use crate::finding::{Finding, Findings};
use crate::raw_object::RawObject;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{HashMap, HashSet};

/// Lists that a patch may create where the base configuration has none.
const CREATABLE_LISTS: [&str; 3] = ["routes", "services", "tenants"];
/// Members of a patch document.
const REVISION: &str = "revision";
const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";

/// A named item of a list, with its JSON text.
#[derive(Debug)]
struct Item {
    name: String,
    text: Box<RawValue>,
}

/// The changes of one list.
#[derive(Debug)]
struct ListChange<T> {
    list: String,
    items: Vec<T>,
}

/// A patch of a configuration.
///
/// [`ConfigPatch::parse`] checks the patch by itself; [`ConfigPatch::apply`] checks whether the lists and the items to
/// remove exist.
#[derive(Debug)]
pub struct ConfigPatch {
    /// Revision of the patched configuration.
    pub revision: u64,
    upsert: Vec<ListChange<Item>>,
    remove: Vec<ListChange<String>>,
}

impl ConfigPatch {
    /// Parses a patch document.
    ///
    /// # Errors
    ///
    /// All findings, each with list, item and field.
    pub fn parse(document: &[u8]) -> Result<ConfigPatch, Findings> {
        let members = parse_object(document)?;
        let mut reader = Reader::default();
        let mut revision = None;
        let (mut upsert, mut remove) = (Vec::new(), Vec::new());
        let mut seen = HashSet::new();
        for (member, value) in &members.0 {
            if !seen.insert(member.as_str()) {
                reader.report(member, "to be given once");
                continue;
            }
            match member.as_str() {
                REVISION => revision = serde_json::from_str(value.get()).ok(),
                UPSERT => upsert = reader.parse_lists(UPSERT, value, Reader::parse_upserted),
                REMOVE => remove = reader.parse_lists(REMOVE, value, Reader::parse_removed),
                _ => reader.report(member, "revision, upsert or remove"),
            }
        }
        if revision.is_none() {
            reader.report(REVISION, "a whole number");
        }
        match revision {
            Some(revision) if reader.findings.is_empty() => Ok(ConfigPatch { revision, upsert, remove }),
            _ => Err(Findings(reader.findings)),
        }
    }

    /// Applies the patch to the document `base`, which is empty before the first configuration. The result is not
    /// validated yet; that is done by [`OperatorConfig::parse`](crate::OperatorConfig::parse).
    ///
    /// # Errors
    ///
    /// The base is not a JSON object, a list cannot be created, or an item to remove does not exist.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Findings> {
        let mut members = if base.is_empty() { RawObject::default() } else { parse_object(base)? };
        let mut findings = Vec::new();
        for (list, text) in self.changed_lists(&members, &mut findings) {
            let text = raw_value(text);
            match members.0.iter_mut().find(|(member, _)| *member == list) {
                Some((_, value)) => *value = text,
                None => members.0.push((list, text)),
            }
        }
        if !findings.is_empty() {
            return Err(Findings(findings));
        }
        let revision = raw_value(self.revision.to_string());
        match members.0.iter_mut().find(|(member, _)| member == REVISION) {
            Some((_, value)) => *value = revision,
            None => members.0.insert(0, (REVISION.to_owned(), revision)),
        }
        Ok(to_json_text(&members).into_bytes())
    }

    /// Names and patched texts of the lists that change, in the order in which the patch names them.
    fn changed_lists(&self, base: &RawObject, findings: &mut Vec<Finding>) -> Vec<(String, String)> {
        let mut names: Vec<&str> = self.upsert.iter().map(|change| change.list.as_str()).collect();
        names.extend(self.remove.iter().map(|change| change.list.as_str()));
        let mut seen = HashSet::new();
        names.retain(|name| seen.insert(*name));
        names.into_iter().filter_map(|name| self.changed_list(name, base, findings)).collect()
    }

    fn changed_list(
        &self, list: &str, base: &RawObject, findings: &mut Vec<Finding>,
    ) -> Option<(String, String)> {
        let upsert = self.upsert.iter().find(|change| change.list == list);
        let remove = self.remove.iter().find(|change| change.list == list);
        let mut texts = match base.get(list).map(|value| serde_json::from_str(value.get())) {
            Some(Ok(items)) => items,
            None if CREATABLE_LISTS.contains(&list) => Vec::new(),
            Some(Err(_)) | None => {
                let member = if upsert.is_some() { UPSERT } else { REMOVE };
                findings.push(Finding::new(format!("{member}.{list}"), "a list of the base configuration"));
                return None;
            }
        };
        remove_items(list, remove.map_or(&[], |change| &change.items), &mut texts, findings);
        upsert_items(upsert.map_or(&[], |change| &change.items), &mut texts);
        let texts: Vec<&str> = texts.iter().map(|text| text.get()).collect();
        Some((list.to_owned(), format!("[{}]", texts.join(","))))
    }
}

/// Index of each named item; of several with the same name, the first.
fn indices_by_name(texts: &[Box<RawValue>]) -> HashMap<String, usize> {
    let mut indices = HashMap::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        if let Some(name) = name_of(text) {
            indices.entry(name).or_insert(index);
        }
    }
    indices
}

fn remove_items(list: &str, names: &[String], texts: &mut Vec<Box<RawValue>>, findings: &mut Vec<Finding>) {
    let indices = indices_by_name(texts);
    let mut removed = HashSet::new();
    for (position, name) in names.iter().enumerate() {
        match indices.get(name) {
            Some(index) => {
                removed.insert(*index);
            }
            None => {
                let path = format!("{REMOVE}.{list}[{position}] ({name})");
                findings.push(Finding::new(path, "the name of an item of the base configuration"));
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
    let indices = indices_by_name(texts);
    for item in items {
        match indices.get(&item.name) {
            Some(index) => texts[*index] = item.text.clone(),
            None => texts.push(item.text.clone()),
        }
    }
}

/// The name of an item; `None` where the text is not an object with a non-empty name.
fn name_of(text: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Named {
        name: String,
    }
    serde_json::from_str::<Named>(text.get()).ok().map(|named| named.name).filter(|name| !name.is_empty())
}

fn parse_object(document: &[u8]) -> Result<RawObject, Findings> {
    serde_json::from_slice(document)
        .map_err(|e| Findings::single(format!("line {}, column {}", e.line(), e.column()), "a JSON object"))
}

/// The raw value of a text. Callers compose it of valid JSON texts, so the fallback for an invalid text is not reached.
fn raw_value(text: String) -> Box<RawValue> {
    RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// JSON text of an object, without white space between members.
fn to_json_text(members: &RawObject) -> String {
    let member = |(name, value): &(String, Box<RawValue>)| {
        format!("{}:{}", serde_json::Value::from(name.as_str()), value.get())
    };
    let members: Vec<String> = members.0.iter().map(member).collect();
    format!("{{{}}}", members.join(","))
}

/// Parser state of a patch document.
#[derive(Default)]
struct Reader {
    findings: Vec<Finding>,
    /// List and name of each item seen: a patch may name an item once.
    seen_items: HashSet<(String, String)>,
}

impl Reader {
    fn report(&mut self, path: impl Into<String>, expected: &str) {
        self.findings.push(Finding::new(path, expected));
    }

    /// Parses the lists of the member `upsert` or `remove`; `parse_item` is called with the list, path and text of each
    /// item.
    fn parse_lists<T>(
        &mut self, member: &str, value: &RawValue,
        parse_item: fn(&mut Reader, &str, &str, &RawValue) -> Option<T>,
    ) -> Vec<ListChange<T>> {
        let Ok(lists) = serde_json::from_str::<RawObject>(value.get()) else {
            self.report(member, "an object of lists");
            return Vec::new();
        };
        let mut changes: Vec<ListChange<T>> = Vec::new();
        for (list, items) in lists.0 {
            let path = format!("{member}.{list}");
            if changes.iter().any(|change| change.list == list) {
                self.report(path, "to be given once");
                continue;
            }
            let Ok(items) = serde_json::from_str::<Vec<Box<RawValue>>>(items.get()) else {
                self.report(path, "a list");
                continue;
            };
            let mut parsed_items = Vec::with_capacity(items.len());
            for (index, text) in items.iter().enumerate() {
                parsed_items.extend(parse_item(self, &list, &format!("{path}[{index}]"), text));
            }
            changes.push(ListChange { list, items: parsed_items });
        }
        changes
    }

    fn parse_upserted(&mut self, list: &str, path: &str, text: &RawValue) -> Option<Item> {
        let Some(name) = name_of(text) else {
            self.report(path, "an object with a name");
            return None;
        };
        self.check_unique(list, path, &name);
        Some(Item { name, text: text.to_owned() })
    }

    fn parse_removed(&mut self, list: &str, path: &str, text: &RawValue) -> Option<String> {
        let Ok(name) = serde_json::from_str::<String>(text.get()) else {
            self.report(path, "a name");
            return None;
        };
        self.check_unique(list, path, &name);
        Some(name)
    }

    fn check_unique(&mut self, list: &str, path: &str, name: &str) {
        if !self.seen_items.insert((list.to_owned(), name.to_owned())) {
            self.report(format!("{path} ({name})"), "a name that occurs once in the patch for this list");
        }
    }
}
