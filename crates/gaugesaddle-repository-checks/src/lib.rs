//! Checks of the repository itself, run with the other tests.
//!
//! - [`dependencies::unused`]: dependencies that a package declares and none of its source files refers to.
//! - [`documents::broken_references`]: files that a document refers to and that do not exist.
//! - [`documents::unknown_tests`]: tests that a document refers to and that do not exist.
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
//! **Guarantees.** A check only reads files; it changes nothing and needs no network. **Bounds.** One file at a time is
//! read into memory; the dependency check keeps the sources of one package.

pub mod dependencies;
pub mod documents;
mod files;
pub mod sources;

pub use files::{repository_root, CheckError};
