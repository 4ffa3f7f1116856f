//! The failure: a patch is applied to another configuration than its base, or a repeated change is not recognized.

use gaugesaddle_consensus::change::{parse_revision, proposal};
use gaugesaddle_consensus::ProposedDocument;
use gaugesaddle_protocol::{ChangeBody, Configuration, ConfigurationChange, Digest, LogPosition};

const DOCUMENT: &[u8] = br#"{"revision":4,"routes":[{"name":"a"}]}"#;
const PATCH: &[u8] = br#"{"revision":5,"upsert":{"routes":[{"name":"b"}]}}"#;

fn committed(revision: u64, document: &[u8]) -> Configuration {
    Configuration { position: LogPosition { term: 1, index: 1 }, revision, document: document.to_vec() }
}

fn patch(base: u64) -> ConfigurationChange {
    ConfigurationChange { base, body: ChangeBody::Patch(PATCH.to_vec()) }
}

#[test]
fn a_patch_is_applied_only_to_its_base_revision() {
    let on = |configuration: Option<&Configuration>, base| {
        proposal(patch(base), configuration, |_| Ok(())).expect("readable").content
    };
    let current = committed(4, DOCUMENT);
    let document = br#"{"revision":5,"routes":[{"name":"a"},{"name":"b"}]}"#.to_vec();
    assert_eq!(on(Some(&current), 4), ProposedDocument::Patched { base: Digest::of(DOCUMENT), document });
    assert_eq!(
        on(Some(&committed(3, DOCUMENT)), 4),
        ProposedDocument::Unavailable,
        "an older state than its base"
    );
    assert_eq!(
        on(Some(&committed(5, DOCUMENT)), 4),
        ProposedDocument::Unavailable,
        "a newer state than its base"
    );
    assert_eq!(on(None, 4), ProposedDocument::Unavailable);
    assert!(matches!(on(None, 0), ProposedDocument::Patched { .. }), "base 0 is the empty document");
}

#[test]
fn the_digest_identifies_a_change_whatever_is_committed() {
    let current = committed(4, DOCUMENT);
    let later = committed(5, DOCUMENT);
    let digest = |change: ConfigurationChange, on: &Configuration| {
        proposal(change, Some(on), |_| Ok(())).map(|p| p.digest).ok()
    };
    assert_eq!(digest(patch(4), &current), digest(patch(4), &later));
    assert_ne!(digest(patch(4), &current), digest(patch(3), &current), "on another base");
    let full = ConfigurationChange { base: 4, body: ChangeBody::Full(PATCH.to_vec()) };
    assert_ne!(
        digest(patch(4), &current),
        digest(full, &current),
        "a full configuration with the same bytes"
    );
}

#[test]
fn the_result_of_a_patch_is_validated_as_a_full_configuration() {
    let current = committed(4, DOCUMENT);
    let mut validated = Vec::new();
    let result = proposal(patch(4), Some(&current), |document| {
        validated = document.to_vec();
        gaugesaddle_config::OperatorConfig::parse(document).map(|_| ())
    });
    assert!(validated.starts_with(br#"{"revision":5,"#), "the result is validated, not the patch");
    assert!(result.is_err(), "its routes have no service");
    assert!(parse_revision(&ChangeBody::Patch(b"{}".to_vec())).is_err());
    assert_eq!(parse_revision(&ChangeBody::Patch(PATCH.to_vec())).ok(), Some(5));
}
