//! JSON objects whose members keep their order and their text.

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;

/// A JSON object, in the order in which it was written.
#[derive(Debug, Default)]
pub(crate) struct RawObject(pub Vec<(String, Box<RawValue>)>);

impl RawObject {
    /// The text of a member.
    pub fn get(&self, name: &str) -> Option<&RawValue> {
        self.0.iter().find(|(member, _)| member == name).map(|(_, value)| value.as_ref())
    }
}

impl<'de> Deserialize<'de> for RawObject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawObject, D::Error> {
        struct Members;

        impl<'de> Visitor<'de> for Members {
            type Value = RawObject;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawObject, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(RawObject(members))
            }
        }

        deserializer.deserialize_map(Members)
    }
}
