//! The finding of a check of the operator's file.

/// A key of the operator's file whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {finding}")]
pub struct InvalidKey {
    /// The key, as a path with dots.
    pub key: String,
    /// What was expected, and what was found.
    pub finding: String,
}

impl InvalidKey {
    /// A finding at a key.
    pub fn new(key: impl Into<String>, finding: impl Into<String>) -> InvalidKey {
        InvalidKey { key: key.into(), finding: finding.into() }
    }
}
