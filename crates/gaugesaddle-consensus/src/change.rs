//! What the leader proposes for an operator's order, decided without I/O.
//!
//! - [`read`]: whether an order can be read at all; asked by whichever process it comes to.
//! - [`proposal`]: the proposal of a leader, on top of the configuration that it knows to be committed.
//!
//! A patch is an order like a whole configuration: it is known again by base and body, byte for byte, and is decided on
//! top of a committed state. What it makes is made here, out of the committed document, and the proposal names that
//! document by digest: where another one is in force by the time the replica decides, nothing is taken
//! ([`ProposedDocument::Edited`]). Two patches on one base are so never merged: the second one builds on another revision than
//! the current one, and is refused like any order that does.

use crate::{Proposal, ProposedDocument};
use gaugesaddle_config::{ConfigPatch, Finding, Findings};
use gaugesaddle_protocol::{ChangeBody, Configuration, ConfigurationChange, Digest};
use serde::Deserialize;

/// The revision that an order brings, where it can be read in itself.
pub fn read(body: &ChangeBody) -> Result<u64, Findings> {
    match body {
        ChangeBody::Full(document) => revision_of(document),
        ChangeBody::Patch(patch) => ConfigPatch::parse(patch).map(|patch| patch.revision),
    }
}

/// What a leader proposes, that knows `committed` to be on a majority of disks. `check` says what is wrong with a whole
/// configuration; a whole one that was sent as such was checked where it came in.
pub fn proposal(
    order: ConfigurationChange, committed: Option<&Configuration>,
    check: impl FnOnce(&[u8]) -> Result<(), Findings>,
) -> Result<Proposal, Findings> {
    let ConfigurationChange { base, body } = order;
    match body {
        ChangeBody::Full(document) => Ok(Proposal::new(base, revision_of(&document)?, document)),
        ChangeBody::Patch(body) => {
            let patch = ConfigPatch::parse(&body)?;
            let content = made(&patch, base, committed, check)?;
            Ok(Proposal::edit(base, patch.revision, &body, content))
        }
    }
}

/// The whole that a patch makes, where the configuration that it builds on is at hand. What is wrong with a patch on top
/// of a committed revision stays wrong: nothing else ever has that revision.
fn made(
    patch: &ConfigPatch, base: u64, committed: Option<&Configuration>,
    check: impl FnOnce(&[u8]) -> Result<(), Findings>,
) -> Result<ProposedDocument, Findings> {
    let (revision, current) = committed.map_or((0, [].as_slice()), |c| (c.revision, c.document.as_slice()));
    if base != revision {
        return Ok(ProposedDocument::Unavailable);
    }
    let document = patch.apply(current)?;
    check(&document)?;
    Ok(ProposedDocument::Edited { base: Digest::of(current), document })
}

fn revision_of(document: &[u8]) -> Result<u64, Findings> {
    #[derive(Deserialize)]
    struct Revision {
        revision: u64,
    }
    let unread = |_| Findings(vec![Finding::new("revision", "a whole number")]);
    serde_json::from_slice::<Revision>(document).map(|r| r.revision).map_err(unread)
}
