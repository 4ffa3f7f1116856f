//! Everything that the tests and measurements of gaugesaddle need round it, and nothing of its insides.
//!
//! - [`scripted`]: peers whose every byte the test words.
//! - [`program`]: where the built programs are.

pub mod program;
pub mod scripted;
