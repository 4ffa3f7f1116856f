//! Reading the repository's files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error that prevents a check.
#[derive(Debug, Error)]
pub enum CheckError {
    /// A file or folder could not be read.
    #[error("reading {path}: {source}")]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A manifest is not valid TOML.
    #[error("parsing {path}: {source}")]
    Manifest {
        /// The manifest.
        path: PathBuf,
        /// The parser's error.
        source: toml::de::Error,
    },
}

/// The root of the repository in which this package was built.
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

pub(crate) fn read(path: &Path) -> Result<String, CheckError> {
    fs::read_to_string(path).map_err(|source| CheckError::Read { path: path.to_owned(), source })
}

/// The sorted entries of a folder; empty if the folder does not exist.
pub(crate) fn entries(folder: &Path) -> Result<Vec<PathBuf>, CheckError> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let failed = |source| CheckError::Read { path: folder.to_owned(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        paths.push(entry.map_err(failed)?.path());
    }
    paths.sort();
    Ok(paths)
}

/// All files with an extension below a folder, recursively.
pub(crate) fn files_below(folder: &Path, extension: &str) -> Result<Vec<PathBuf>, CheckError> {
    let mut files = Vec::new();
    for path in entries(folder)? {
        if path.is_dir() {
            files.extend(files_below(&path, extension)?);
        } else if path.extension().is_some_and(|e| e == extension) {
            files.push(path);
        }
    }
    Ok(files)
}

/// The folders of the workspace's packages.
pub(crate) fn packages(root: &Path) -> Result<Vec<PathBuf>, CheckError> {
    let folders = entries(&root.join("crates"))?;
    Ok(folders.into_iter().filter(|folder| folder.join("Cargo.toml").is_file()).collect())
}
