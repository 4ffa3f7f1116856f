//! Unused dependencies of the workspace's packages.

use crate::files::{files_below, packages, read};
use crate::CheckError;
use std::fmt;
use std::path::Path;

/// Packages whose library name differs from the package name.
const LIBRARY_NAMES: [(&str, &str); 1] = [("spdlog-rs", "spdlog")];

/// A dependency that no source file of its package refers to.
#[derive(Debug, PartialEq, Eq)]
pub struct UnusedDependency {
    /// The package that declares it.
    pub package: String,
    /// The table of the manifest: `dependencies` or `dev-dependencies`.
    pub table: &'static str,
    /// The dependency.
    pub dependency: String,
}

impl fmt::Display for UnusedDependency {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}: {} is in [{}] and unused", self.package, self.dependency, self.table)
    }
}

/// Looks for unused dependencies in all packages of the workspace.
///
/// # Errors
/// A file cannot be read, or a manifest is not valid TOML.
pub fn unused(root: &Path) -> Result<Vec<UnusedDependency>, CheckError> {
    let mut findings = Vec::new();
    for package in packages(root)? {
        let manifest_path = package.join("Cargo.toml");
        let manifest: toml::Table = read(&manifest_path)?
            .parse()
            .map_err(|source| CheckError::Manifest { path: manifest_path, source })?;
        let sources = text_of(&package, &["src"])?;
        let all_sources = text_of(&package, &["src", "tests", "examples", "benches"])?;
        for (table, text) in [("dependencies", &sources), ("dev-dependencies", &all_sources)] {
            let declared = manifest.get(table).and_then(|value| value.as_table());
            for dependency in declared.into_iter().flat_map(|table| table.keys()) {
                if !contains_identifier(text, &library_name(dependency)) {
                    let package = package.file_name().unwrap_or_default().to_string_lossy().into_owned();
                    findings.push(UnusedDependency { package, table, dependency: dependency.clone() });
                }
            }
        }
    }
    Ok(findings)
}

fn text_of(package: &Path, folders: &[&str]) -> Result<String, CheckError> {
    let mut text = String::new();
    for folder in folders {
        for file in files_below(&package.join(folder), "rs")? {
            text.push_str(&read(&file)?);
        }
    }
    Ok(text)
}

fn library_name(dependency: &str) -> String {
    let renamed = LIBRARY_NAMES.iter().find(|(package, _)| *package == dependency);
    renamed.map_or_else(|| dependency.replace('-', "_"), |(_, library)| (*library).to_owned())
}

/// Whether a text contains an identifier as a whole word.
fn contains_identifier(text: &str, identifier: &str) -> bool {
    let is_part = |c: char| c.is_alphanumeric() || c == '_';
    text.match_indices(identifier).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + identifier.len()..].chars().next();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}
