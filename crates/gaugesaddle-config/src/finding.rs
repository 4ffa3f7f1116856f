//! What is wrong with a document, and where.

use std::fmt;
use thiserror::Error;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line and key, or path in the document.
    pub place: String,
    /// What was expected there.
    pub expected: String,
}

impl Finding {
    /// A finding.
    pub fn new(place: impl Into<String>, expected: impl Into<String>) -> Finding {
        Finding { place: place.into(), expected: expected.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: expected {}", self.place, self.expected)
    }
}

/// Everything that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// A line for each.
    pub fn lines(&self) -> String {
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
