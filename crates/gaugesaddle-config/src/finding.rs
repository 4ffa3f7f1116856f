//! Validation findings: the invalid values of a document, with their paths.

use std::fmt;
use thiserror::Error;

/// One validation error of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path in the document (`routes[1] (chat).timeoutMs`), or line and key of a boot file.
    pub path: String,
    /// The expected value.
    pub expected: String,
}

impl Finding {
    /// A finding at `path`, with a description of the expected value.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Finding {
        Finding { path: path.into(), expected: expected.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: expected {}", self.path, self.expected)
    }
}

/// All validation errors of a document, in the order in which they were found.
///
/// `Display` joins them by `; ` on one line, for a log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Findings with a single entry.
    pub(crate) fn single(path: impl Into<String>, expected: impl Into<String>) -> Findings {
        Findings(vec![Finding::new(path, expected)])
    }

    /// The findings, one per line, for a terminal.
    pub fn to_multiline(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (number, finding) in self.0.iter().enumerate() {
            if number > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
