//! Which backend gets a request: HALB over kinds, and a uniform draw inside the kind, without I/O.
//!
//! A kind is a group that is treated as equally fast. For one prompt, a backend that keeps the prompt's shared part
//! is faster than one that has to read it again; so the *warm* and the *cold* backends of a service are two kinds of
//! that prompt, each with the latency expected of it (learned for a token read, times the tokens that it
//! would have to read), and the formula decides how much spills from warm to cold as
//! the prompt's own traffic grows. Who is warm needs no message: all proxies rank the backends by the same hash of
//! prompt part and backend.
//!
//! - [`Chooser`]: shares and draw, latencies learned, arrival rates.
//! - [`warmth`]: the ranking.
//! - [`PromptSizes`]: backends kept for long prompts.
//! - [`events`]: the events of a stream, for passing on whole and for continuing.
//! - [`PromptParts`]: what a request says of its prompt.

mod bands;
mod chooser;
pub mod events;
mod prompt;
mod rate;
mod settings;
mod sizes;
pub mod warmth;

pub use chooser::{Candidate, Choice, Chooser, Reader, Surroundings, OVERHEAD_TOKENS};
pub use prompt::{Prompt, PromptParts, TokenUsage};
pub use rate::Rate;
pub use settings::{ChooserSettings, UnknownSetting};
pub use sizes::PromptSizes;
