//! JSON objects that preserve the order and the text of their members.

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;

/// A JSON object as a list of members, in document order.
#[derive(Debug, Default)]
pub(crate) struct RawObject(pub(crate) Vec<(String, Box<RawValue>)>);

impl RawObject {
    /// The JSON text of a member, the first of that name.
    pub(crate) fn get(&self, name: &str) -> Option<&RawValue> {
        self.0.iter().find(|(member, _)| member == name).map(|(_, value)| value.as_ref())
    }
}

impl<'de> Deserialize<'de> for RawObject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawObject, D::Error> {
        struct MembersVisitor;

        impl<'de> Visitor<'de> for MembersVisitor {
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

        deserializer.deserialize_map(MembersVisitor)
    }
}
