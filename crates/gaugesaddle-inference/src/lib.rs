//! Selects the backend for an inference request, without I/O: HALB divides the traffic among speed classes, and a backend
//! is drawn uniformly within the class.
//!
//! A speed class is a group of backends that are treated as equally fast. For one prompt, a backend that has the prompt's
//! shared prefix in its cache is faster than one that has to compute it again, so the cached and the uncached backends of
//! a service are different classes for that prompt. The expected latency of a class is the observed time per token times
//! the number of tokens to compute. HALB's formula determines how much traffic spills over from cached to uncached
//! backends as the request rate of the prefix grows. The proxies agree on the backends that cache a prefix without
//! communication: all of them rank the backends by the same hash of prefix and backend ([`affinity`]).
//!
//! # Main types
//!
//! - [`Chooser`] owns the observed latencies and arrival rates of one service and route, and makes a [`Choice`] among
//!   [`Candidate`]s, given a [`FleetView`]. [`ChooserSettings`] are its parameters.
//! - [`PromptBlocks`] describes a request's prompt as its client reports it; [`Prompt`] is the summary used for a choice.
//! - [`PromptSizes`] reserves backends for long prompts.
//! - [`EventBoundary`] tracks whether a stream has ended inside an event.
//! - [`EventScanner`] splits a stream into complete events, so that it can be resumed after the last forwarded one.
//!
//! # Example
//!
//! ```rust
//! use gaugesaddle_inference::{affinity, Candidate, Chooser, ChooserSettings, FleetView, Prompt, PromptBlocks};
//! use rand_core::RngCore;
//! # struct Random(u64);
//! # impl RngCore for Random {
//! #     fn next_u32(&mut self) -> u32 { self.next_u64() as u32 }
//! #     fn next_u64(&mut self) -> u64 { self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1); self.0 }
//! #     fn fill_bytes(&mut self, bytes: &mut [u8]) { bytes.fill_with(|| self.next_u64() as u8) }
//! # }
//! # let mut random = Random(7);
//!
//! let blocks = PromptBlocks::parse("5c1e07a2:4000,e4402b7d:250").expect("ID:TOKENS, separated by commas");
//! let prompt = Prompt::from(&blocks);
//! let candidates: Vec<Candidate> = ["i-1", "i-2", "i-3"]
//!     .map(|id| Candidate { identity: affinity::identity(id), slots: 64, backlog_tokens: 0.0 })
//!     .into();
//! let view = FleetView { proxies: 1, inflow_tokens: 4000.0, objective_ms: 800.0 };
//!
//! let chooser = Chooser::new(ChooserSettings::default());
//! let choice = chooser.choose(0, &candidates, prompt, view, &mut random).expect("there are candidates");
//! assert!(choice.is_cached, "at low load the prompt goes to the backend that caches its prefix");
//! ```
//!
//! # Guarantees
//!
//! Two proxies with the same candidates agree on the candidates that cache a prefix. If a candidate is removed, only the
//! prompts that it cached move. Parsing client headers never panics.
//!
//! # Bounds
//!
//! A [`Chooser`] tracks the rates of at most 8192 prefixes, a [`PromptBlocks`] has at most 64 blocks, an
//! [`EventScanner`] buffers at most [`MAX_EVENT_BYTES`] and the bytes of one call.

pub mod affinity;
mod chooser;
mod event_boundary;
mod event_scanner;
mod latency_bands;
mod prompt;
mod prompt_sizes;
mod rate;
mod settings;
mod speed_class;

pub use chooser::{Candidate, Choice, Chooser, FleetView};
pub use event_boundary::{EventBoundary, StreamPosition};
pub use event_scanner::{EventScanner, MAX_EVENT_BYTES};
pub use prompt::{Prompt, PromptBlock, PromptBlocks, TokenUsage};
pub use prompt_sizes::PromptSizes;
pub use rate::Rate;
pub use settings::{ChooserSettings, InvalidSetting};
pub use speed_class::{BackendSize, OVERHEAD_TOKENS};
