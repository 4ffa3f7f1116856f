//! References of documents to files and identifiers of the repository.

use crate::files::{files_below, packages, read};
use crate::CheckError;
use std::collections::HashSet;
use std::fmt;
use std::path::{Path, PathBuf};

/// Extensions by which a word in backticks is recognized as a file.
const EXTENSIONS: [&str; 4] = [".rs", ".md", ".toml", ".txt"];

/// Minimum number of underscores by which a word in backticks is recognized as the name of a test.
const MIN_TEST_NAME_UNDERSCORES: usize = 4;

/// A reference of a document to a file or test that does not exist.
#[derive(Debug, PartialEq, Eq)]
pub struct BrokenReference {
    /// The document.
    pub document: PathBuf,
    /// Line of the reference, from 1.
    pub line: usize,
    /// The name of the file or test in the document.
    pub target: String,
}

impl fmt::Display for BrokenReference {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}: {} does not exist", self.document.display(), self.line, self.target)
    }
}

/// Finds broken references in the documents at the root and below `docs`, except the change log, which refers to past
/// versions.
///
/// It checks links to files, and paths in backticks that contain a slash and end with one of the known extensions. A
/// path may be relative to the root, the document's folder, `docs`, `crates`, or a package, its sources or its tests.
///
/// # Errors
/// A file cannot be read.
pub fn broken_references(root: &Path) -> Result<Vec<BrokenReference>, CheckError> {
    let mut bases = vec![root.to_owned(), root.join("docs"), root.join("crates")];
    for package in packages(root)? {
        bases.push(package.join("src"));
        bases.push(package.join("tests"));
        bases.push(package);
    }
    let mut findings = Vec::new();
    for document in documents(root)? {
        let folder = document.parent().unwrap_or(root).to_owned();
        for (index, line) in read(&document)?.lines().enumerate() {
            for target in references(line) {
                let exists = folder.join(&target).exists() || bases.iter().any(|b| b.join(&target).exists());
                if !exists {
                    findings.push(BrokenReference { document: document.clone(), line: index + 1, target });
                }
            }
        }
    }
    Ok(findings)
}

/// Finds names of tests in backticks (words with at least four underscores) that no source file contains.
///
/// # Errors
/// A file cannot be read.
pub fn unknown_tests(root: &Path) -> Result<Vec<BrokenReference>, CheckError> {
    let mut known = HashSet::new();
    for source in files_below(&root.join("crates"), "rs")? {
        let text = read(&source)?;
        known.extend(
            text.split(|c: char| !is_identifier(c)).filter(|word| is_test_name(word)).map(str::to_owned),
        );
    }
    let mut findings = Vec::new();
    for document in documents(root)? {
        for (index, line) in read(&document)?.lines().enumerate() {
            let quoted =
                line.split('`').skip(1).step_by(2).flat_map(|text| text.split(|c| !is_identifier(c)));
            for name in quoted.filter(|word| is_test_name(word) && !known.contains(*word)) {
                let target = name.to_owned();
                findings.push(BrokenReference { document: document.clone(), line: index + 1, target });
            }
        }
    }
    Ok(findings)
}

/// The documents to check.
fn documents(root: &Path) -> Result<Vec<PathBuf>, CheckError> {
    let mut documents = files_below(&root.join("docs"), "md")?;
    documents.extend(["README.md", "CONTRIBUTING.md"].map(|name| root.join(name)));
    documents.retain(|document| document.is_file());
    Ok(documents)
}

fn is_identifier(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

fn is_test_name(word: &str) -> bool {
    let is_lower_case = !word.chars().any(|c| c.is_ascii_uppercase());
    is_lower_case && word.matches('_').count() >= MIN_TEST_NAME_UNDERSCORES
}

/// The files that a line refers to.
fn references(line: &str) -> Vec<String> {
    let links = line.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let links = links.filter(|target| !target.contains("://") && !target.starts_with('#'));
    let links = links.map(|target| target.split('#').next().unwrap_or_default());
    let quoted = line.split('`').skip(1).step_by(2).flat_map(str::split_whitespace);
    let quoted = quoted.map(|word| word.trim_end_matches([':', ',']));
    let paths = quoted.filter(|word| is_path(word));
    links.chain(paths).filter(|target| !target.is_empty()).map(str::to_owned).collect()
}

fn is_path(word: &str) -> bool {
    let is_plain = word.chars().all(|c| c.is_ascii_alphanumeric() || "_-./".contains(c));
    let has_folder = word.contains('/') && !word.starts_with('/') && !word.starts_with("..");
    let is_placeholder = word.starts_with(|c: char| c.is_ascii_uppercase());
    is_plain && has_folder && !is_placeholder && EXTENSIONS.iter().any(|extension| word.ends_with(extension))
}
