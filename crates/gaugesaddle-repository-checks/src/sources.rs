//! Conventions for source files that no linter checks.

use crate::files::{files_below, packages, read};
use crate::CheckError;
use std::path::{Path, PathBuf};

/// Finds source files that contain the body of a test module; tests belong in `tests/` or in `NAME/tests.rs`.
///
/// # Errors
/// A file cannot be read.
pub fn inline_test_modules(root: &Path) -> Result<Vec<PathBuf>, CheckError> {
    let mut findings = Vec::new();
    for package in packages(root)? {
        for file in files_below(&package.join("src"), "rs")? {
            if has_inline_test_module(&read(&file)?) {
                findings.push(file);
            }
        }
    }
    Ok(findings)
}

fn has_inline_test_module(source: &str) -> bool {
    let mut after_test_attribute = false;
    for line in source.lines().map(str::trim) {
        if line.starts_with("#[cfg(test)]") {
            after_test_attribute = true;
        } else if !line.starts_with("#[") {
            if after_test_attribute && line.starts_with("mod ") && line.ends_with('{') {
                return true;
            }
            after_test_attribute = false;
        }
    }
    false
}
