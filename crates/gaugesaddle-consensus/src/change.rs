//! Turns an operator's configuration change into a proposal, without I/O.
//!
//! - [`parse_revision`]: whether a change can be parsed at all; called by whichever process receives it.
//! - [`proposal`]: a leader's proposal on top of the configuration that it knows to be committed.
//!
//! A patch is identified like a full configuration, by base and body byte for byte, and is decided on top of a committed
//! state. It is applied here, to the committed document, and the proposal names that document by digest: where another
//! one is in effect when the replica decides, nothing is accepted ([`ProposedDocument::Patched`]). Two patches on one base
//! are therefore never merged: the second one builds on another revision than the current one and is rejected like any
//! change that does.

use crate::{Proposal, ProposedDocument};
use gaugesaddle_config::{ConfigPatch, Finding, Findings};
use gaugesaddle_protocol::{ChangeBody, Configuration, ConfigurationChange, Digest};
use serde::Deserialize;

/// The revision that a change creates.
///
/// # Errors
///
/// The findings of a body that cannot be parsed, or that has no revision.
pub fn parse_revision(body: &ChangeBody) -> Result<u64, Findings> {
    match body {
        ChangeBody::Full(document) => revision_of(document),
        ChangeBody::Patch(patch) => ConfigPatch::parse(patch).map(|patch| patch.revision),
    }
}

/// The proposal for a change, by a leader that knows `committed` to be committed. `validate` checks the configuration that
/// results from a patch; a full one was validated by the process that received it.
///
/// # Errors
///
/// The findings of a body that cannot be parsed, of a patch that cannot be applied, or of `validate`.
pub fn proposal(
    change: ConfigurationChange, committed: Option<&Configuration>,
    validate: impl FnOnce(&[u8]) -> Result<(), Findings>,
) -> Result<Proposal, Findings> {
    let ConfigurationChange { base, body } = change;
    match body {
        ChangeBody::Full(document) => Ok(Proposal::new(base, revision_of(&document)?, document)),
        ChangeBody::Patch(body) => {
            let patch = ConfigPatch::parse(&body)?;
            let content = apply_patch(&patch, base, committed, validate)?;
            Ok(Proposal::from_patch(base, patch.revision, &body, content))
        }
    }
}

/// The document that results from a patch, if its base revision is the committed one. A patch that is invalid on top of a
/// committed revision stays invalid: no other document ever has that revision.
fn apply_patch(
    patch: &ConfigPatch, base: u64, committed: Option<&Configuration>,
    validate: impl FnOnce(&[u8]) -> Result<(), Findings>,
) -> Result<ProposedDocument, Findings> {
    let (revision, current) = match committed {
        Some(configuration) => (configuration.revision, configuration.document.as_slice()),
        None => (0, [].as_slice()),
    };
    if base != revision {
        return Ok(ProposedDocument::Unavailable);
    }
    let document = patch.apply(current)?;
    validate(&document)?;
    Ok(ProposedDocument::Patched { base: Digest::of(current), document })
}

fn revision_of(document: &[u8]) -> Result<u64, Findings> {
    #[derive(Deserialize)]
    struct Revision {
        revision: u64,
    }
    match serde_json::from_slice::<Revision>(document) {
        Ok(parsed) => Ok(parsed.revision),
        Err(_) => Err(Findings(vec![Finding::new("revision", "a whole number")])),
    }
}
