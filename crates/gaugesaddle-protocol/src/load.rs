//! Load of the backends as observed by the proxies, which report it to the control processes.

use musli::{Decode, Encode};

/// Load of one backend, summed over one or more proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendLoad {
    /// Hash of the backend's identity. Backends with equal hashes are added up, so that each appears busier than it is.
    pub backend: u32,
    /// Work of the outstanding requests, in tokens.
    pub work: u32,
    /// Smoothed number of recently failed requests, in sixteenths.
    pub failed: u32,
    /// Smoothed number of recently served requests, in sixteenths.
    pub served: u32,
}
