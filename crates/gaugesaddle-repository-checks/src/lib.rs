//! Checks of the repository itself, run with the other tests.
//!
//! - [`dependencies::unused`]: dependencies that a package declares and no source of it names.
//! - [`documents::broken_references`]: files that a document names and that do not exist.
//! - [`documents::unknown_tests`]: tests that a document names and that do not exist.
//! - [`sources::inline_test_modules`]: test modules inside source files.
//!
//! ```no_run
//! let root = gaugesaddle_repository_checks::repository_root();
//! for finding in gaugesaddle_repository_checks::dependencies::unused(&root)? {
//!     println!("{finding}");
//! }
//! # Ok::<(), gaugesaddle_repository_checks::CheckError>(())
//! ```
//!
//! **Guarantees.** A check reads files and nothing else; it changes nothing and needs no network. **Bounds.** Files are read
//! whole, one at a time.

pub mod dependencies;
pub mod documents;
mod files;
pub mod sources;

pub use files::{repository_root, CheckError};
