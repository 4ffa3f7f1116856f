//! The failure: a patch is merged with another configuration than the one it names, or the same order is not known again.

use gaugesaddle_consensus::change::{proposal, read};
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
fn a_patch_is_made_only_of_the_revision_that_it_names() {
    let on = |configuration: Option<&Configuration>, base| {
        proposal(patch(base), configuration, |_| Ok(())).expect("readable").content
    };
    let current = committed(4, DOCUMENT);
    let document = br#"{"revision":5,"routes":[{"name":"a"},{"name":"b"}]}"#.to_vec();
    assert_eq!(on(Some(&current), 4), ProposedDocument::Edited { base: Digest::of(DOCUMENT), document });
    assert_eq!(
        on(Some(&committed(3, DOCUMENT)), 4),
        ProposedDocument::Unavailable,
        "a state behind the one it names"
    );
    assert_eq!(
        on(Some(&committed(5, DOCUMENT)), 4),
        ProposedDocument::Unavailable,
        "a state behind which it is too late"
    );
    assert_eq!(on(None, 4), ProposedDocument::Unavailable);
    assert!(matches!(on(None, 0), ProposedDocument::Edited { .. }), "before the first there is nothing");
}

#[test]
fn the_same_order_is_known_again_whatever_is_in_force_and_no_other_is_taken_for_it() {
    let current = committed(4, DOCUMENT);
    let later = committed(5, DOCUMENT);
    let digest = |order: ConfigurationChange, on: &Configuration| {
        proposal(order, Some(on), |_| Ok(())).map(|p| p.digest).ok()
    };
    assert_eq!(digest(patch(4), &current), digest(patch(4), &later));
    assert_ne!(digest(patch(4), &current), digest(patch(3), &current), "on another base");
    let whole = ConfigurationChange { base: 4, body: ChangeBody::Full(PATCH.to_vec()) };
    assert_ne!(digest(patch(4), &current), digest(whole, &current), "a whole configuration with these bytes");
}

#[test]
fn what_a_patch_makes_is_checked_as_a_whole() {
    let current = committed(4, DOCUMENT);
    let mut seen = Vec::new();
    let result = proposal(patch(4), Some(&current), |made| {
        seen = made.to_vec();
        gaugesaddle_config::OperatorConfig::parse(made).map(|_| ())
    });
    assert!(seen.starts_with(br#"{"revision":5,"#), "the whole is checked, not the patch");
    assert!(result.is_err(), "its routes name no service");
    assert!(read(&ChangeBody::Patch(b"{}".to_vec())).is_err());
    assert_eq!(read(&ChangeBody::Patch(PATCH.to_vec())).ok(), Some(5));
}
