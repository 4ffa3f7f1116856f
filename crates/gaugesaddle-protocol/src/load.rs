//! What proxies tell each other of the backends' load, by way of the control processes.

use musli::{Decode, Encode};

/// What some proxies together see of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendLoad {
    /// A number for its identity. Two backends with one number are taken for one: each looks busier than it is.
    pub backend: u32,
    /// Work that was sent there and has not begun to be answered, in tokens.
    pub work: u32,
    /// Requests that failed there lately, in sixteenths.
    pub failed: u32,
    /// Requests that were answered there lately, in sixteenths.
    pub served: u32,
}
