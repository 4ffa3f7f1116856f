//! Errors found by the checks of the operator's file.

/// A key of the operator's file whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {finding}")]
pub struct InvalidKey {
    /// The key as a dotted path.
    pub key: String,
    /// The expected and the found value.
    pub finding: String,
}

impl InvalidKey {
    /// Creates an error for a key, given as a dotted path.
    pub fn new(key: impl Into<String>, finding: impl Into<String>) -> InvalidKey {
        InvalidKey { key: key.into(), finding: finding.into() }
    }
}
