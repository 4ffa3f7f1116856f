//! The backends' load as observed by the proxies, reported by way of the control processes.

use musli::{Decode, Encode};

/// Load of one backend: the sum of what some proxies observe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendLoad {
    /// Hash of its identity. Two backends with equal hashes are added up: each seems busier than it is.
    pub backend: u32,
    /// Work of the requests that have no response yet, in tokens.
    pub work: u32,
    /// Smoothed number of recently failed requests, in sixteenths.
    pub failed: u32,
    /// Smoothed number of recently served requests, in sixteenths.
    pub served: u32,
}
