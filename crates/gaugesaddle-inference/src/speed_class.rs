//! Speed classes: groups of backends that are treated as equally fast for a prompt.

use crate::Prompt;

/// Fixed cost of a request, expressed in tokens that could be computed in the same time.
pub const OVERHEAD_TOKENS: f64 = 300.0;
/// Fraction of the shared tokens that a fallback backend is expected to compute: it has them cached if it served the prefix
/// before.
const FALLBACK_UNCACHED_FRACTION: f64 = 0.5;

/// Whether a backend is expected to have a prompt's shared prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheState {
    /// The backend has the prefix.
    Cached,
    /// The backend has the prefix if traffic spilled over to it while the backends that cache the prefix were overloaded.
    PossiblyCached,
    /// The backend does not have the prefix.
    Uncached,
}

/// Key of a speed class, for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpeedClass {
    pub slots: u32,
    pub cache: CacheState,
    /// Latency band of the backlog.
    pub band: u32,
}

/// The key under which latencies are recorded. The time per token does not depend on the cache state or the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendSize {
    slots: u32,
}

impl From<&SpeedClass> for BackendSize {
    fn from(class: &SpeedClass) -> BackendSize {
        BackendSize { slots: class.slots }
    }
}

/// The backends of a class.
#[derive(Debug, Default)]
pub struct Members {
    /// Indices of the members among the candidates.
    pub indices: Vec<usize>,
    /// Mean backlog of the members, in tokens.
    pub mean_backlog: f64,
}

impl Members {
    pub fn add(&mut self, index: usize, backlog: f64) {
        self.indices.push(index);
        self.mean_backlog += (backlog - self.mean_backlog) / self.indices.len() as f64;
    }
}

/// Work of a request at a backend, in tokens. Shared tokens that have to be computed count `recompute_weight` times.
pub fn work_tokens(prompt: Prompt, cache: CacheState, recompute_weight: f64) -> f64 {
    let own = prompt.own_tokens() as f64;
    let shared = prompt.shared_tokens as f64;
    let uncached_fraction = match cache {
        CacheState::Cached => 0.0,
        CacheState::PossiblyCached => FALLBACK_UNCACHED_FRACTION,
        CacheState::Uncached => 1.0,
    };
    OVERHEAD_TOKENS + own + shared * uncached_fraction * recompute_weight
}
