//! Failures guarded against: a proxy returns to an older configuration, applies an outdated one, or is never updated
//! again after a delta that does not apply; or the full document is sent for a small change.

use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_distribution::{Distributor, Follower, ReplicaStatus};
use gaugesaddle_protocol::{
    Configuration, DocumentUpdate, Lifecycle, LogPosition, Origin, Pull, PullReply, Registration, Subject,
};

const NOW: u64 = 1_000_000;
/// How long an answer is valid after the call, in milliseconds.
const VALID_MS: u64 = 5000;

fn follower() -> Follower {
    let proxy = Registration {
        id: "p".to_owned(),
        zone: "z".to_owned(),
        subject: Subject::Proxy,
        sequence: 0,
        lifecycle: Lifecycle::Ready,
    };
    Follower::new(NOW, 9, proxy, [1, 2].into_iter())
}

/// A configuration of 200 routes at a position in the log.
fn configuration(term: u64, index: u64, revision: u64) -> Configuration {
    let routes: Vec<String> =
        (0..200).map(|n| format!("{{\"name\":\"r{n}\",\"weight\":{}}}", n * 7)).collect();
    let document = format!("{{\"revision\":{revision},\"routes\":[{}]}}", routes.join(","));
    Configuration { position: LogPosition { term, index }, revision, document: document.into_bytes() }
}

struct Control {
    distributor: Distributor,
    catalog_replica: CatalogReplica,
}

impl Control {
    fn new() -> Control {
        Control {
            distributor: Distributor::default(),
            catalog_replica: CatalogReplica::new(NOW, Origin(1), 4200),
        }
    }

    fn answer(&self, pull: &Pull, fresh: bool) -> PullReply {
        let replica_status = ReplicaStatus { fresh, leader: Some(1), members: vec![1, 2] };
        self.distributor.answer(NOW, &self.catalog_replica, pull, replica_status)
    }
}

fn pull(follower: &mut Follower) -> Pull {
    follower.pull(NOW, Lifecycle::Ready, 350)
}

fn size(reply: &PullReply) -> usize {
    match reply.configuration.as_ref().map(|c| &c.document) {
        Some(DocumentUpdate::Full(document)) => document.len(),
        Some(DocumentUpdate::Delta(delta)) => delta.size(),
        Some(DocumentUpdate::Unchanged) | None => 0,
    }
}

#[test]
fn change_is_sent_as_delta_and_unchanged_document_is_not_sent() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    let full_size = size(&first);
    assert!(proxy.apply(NOW, NOW, VALID_MS, first).configuration);
    control.distributor.apply(&configuration(1, 2, 6));
    let call = pull(&mut proxy);
    assert!(control.distributor.has_changes(&control.catalog_replica, &call));
    let second = control.answer(&call, true);
    assert!(size(&second) * 20 < full_size, "{} of {full_size} bytes", size(&second));
    assert!(proxy.apply(NOW, NOW, VALID_MS, second).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 2, 6)));
    // A new leader commits the same document under its own term.
    control.distributor.apply(&configuration(2, 3, 6));
    let third = control.answer(&pull(&mut proxy), true);
    assert_eq!(third.configuration.as_ref().map(|c| &c.document), Some(&DocumentUpdate::Unchanged));
    assert!(proxy.apply(NOW, NOW, VALID_MS, third).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(2, 3, 6)));
    assert!(!control.distributor.has_changes(&control.catalog_replica, &pull(&mut proxy)));
}

#[test]
fn configuration_from_partitioned_process_or_older_one_is_not_applied() {
    let (mut old, mut new, mut proxy) = (Control::new(), Control::new(), follower());
    old.distributor.apply(&configuration(1, 1, 5));
    new.distributor.apply(&configuration(1, 2, 6));
    let partitioned = old.answer(&pull(&mut proxy), false);
    let applied = proxy.apply(NOW, NOW, VALID_MS, partitioned);
    assert!(!applied.configuration && !applied.fresh);
    assert_eq!(proxy.configuration(), None, "a configuration that may be outdated is not applied");
    let answer = new.answer(&pull(&mut proxy), true);
    assert!(proxy.apply(NOW, NOW, VALID_MS, answer).configuration);
    // An older configuration is not applied from a fresh process either.
    let mut call = pull(&mut proxy);
    call.position = None;
    assert!(!proxy.apply(NOW, NOW, VALID_MS, old.answer(&call, true)).configuration);
    assert_eq!(proxy.position(), Some(LogPosition { term: 1, index: 2 }));
}

#[test]
fn answer_read_after_its_validity_is_dropped() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 5));
    let answer = control.answer(&pull(&mut proxy), true);
    let resumed = NOW + 20_000;
    let applied = proxy.apply(resumed, NOW, VALID_MS, answer.clone());
    assert!(!applied.configuration && !applied.fresh, "an answer from 20 s ago is dropped");
    assert_eq!(proxy.configuration(), None);
    assert!(
        proxy.apply(NOW + VALID_MS, NOW, VALID_MS, answer).configuration,
        "an answer within its validity is applied"
    );
}

#[test]
fn delta_that_does_not_apply_is_followed_by_full_document() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.apply(NOW, NOW, VALID_MS, first);
    control.distributor.apply(&configuration(1, 2, 6));
    let mut mismatched = control.answer(&pull(&mut proxy), true);
    let (base, other) = (configuration(1, 1, 77), configuration(1, 1, 78));
    let foreign = DocumentUpdate::between(Some(&base.document), &other.document);
    assert!(matches!(foreign, DocumentUpdate::Delta(_)));
    if let Some(update) = &mut mismatched.configuration {
        update.document = foreign;
    }
    assert!(!proxy.apply(NOW, NOW, VALID_MS, mismatched).configuration);
    assert_eq!(
        proxy.position(),
        Some(LogPosition { term: 1, index: 1 }),
        "the previous configuration stays in force"
    );
    let next = control.answer(&pull(&mut proxy), true);
    assert!(matches!(next.configuration.as_ref().map(|c| &c.document), Some(DocumentUpdate::Full(_))));
    assert!(proxy.apply(NOW, NOW, VALID_MS, next).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 2, 6)));
}

#[test]
fn proxy_without_retained_version_gets_full_document() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 1));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.apply(NOW, NOW, VALID_MS, first);
    for index in 2..200 {
        control.distributor.apply(&configuration(1, index, index));
    }
    let last = control.answer(&pull(&mut proxy), true);
    assert!(proxy.apply(NOW, NOW, VALID_MS, last).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 199, 199)));
}

#[test]
fn first_pull_from_a_process_reports_departed_backends() {
    let (mut control, mut proxy) = (Control::new(), follower());
    let backend = Registration {
        id: "i-1".to_owned(),
        zone: "z".to_owned(),
        subject: Subject::Backend { service: "s".to_owned(), address: "10.0.0.1:80".to_owned(), slots: 1 },
        sequence: 4,
        lifecycle: Lifecycle::Draining,
    };
    control.catalog_replica.record(NOW, backend);
    let answer = control.answer(&pull(&mut proxy), true);
    assert!(proxy.apply(NOW, NOW, VALID_MS, answer).registrations);
    assert!(pull(&mut proxy).departed.is_empty(), "only the first call reports them");
    let first = proxy.pull(NOW, Lifecycle::Ready, 0);
    assert_eq!(first.departed.iter().map(|r| r.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
}

#[test]
fn proof_dates_from_the_call_less_the_follower_lease() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 5));
    assert!(!proxy.is_proven_within(NOW, 5000), "there is no configuration to prove yet");
    let first = control.answer(&pull(&mut proxy), true);
    // The answer is read four seconds after the call was made.
    proxy.apply(NOW + 4000, NOW, VALID_MS, first);
    assert!(proxy.is_proven_within(NOW + 4399, 5000));
    assert!(!proxy.is_proven_within(NOW + 4400, 5000), "the proof dates from 600 ms before the call");
    // An answer without changes also proves that the configuration is current.
    let again = control.answer(&pull(&mut proxy), true);
    proxy.apply(NOW + 1300, NOW + 1000, VALID_MS, again);
    assert!(proxy.is_proven_within(NOW + 5399, 5000) && !proxy.is_proven_within(NOW + 5400, 5000));
    // An answer to an earlier call does not move the proof back.
    let late = control.answer(&pull(&mut proxy), true);
    proxy.apply(NOW + 1400, NOW + 100, VALID_MS, late);
    assert!(proxy.is_proven_within(NOW + 5399, 5000));
}

#[test]
fn stale_late_or_inapplicable_answer_proves_nothing() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.apply(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.apply(NOW, NOW, VALID_MS, first);
    let later = NOW + 3000;
    let stale = control.answer(&pull(&mut proxy), false);
    proxy.apply(later, later, VALID_MS, stale);
    assert!(!proxy.is_proven_within(later, 3000), "an answer from a process without a majority");
    let delayed = control.answer(&pull(&mut proxy), true);
    proxy.apply(later + VALID_MS + 1, later, VALID_MS, delayed);
    assert!(!proxy.is_proven_within(later, 3000), "an answer past its validity");
    control.distributor.apply(&configuration(1, 2, 6));
    let mut inapplicable = control.answer(&pull(&mut proxy), true);
    let another = "{another,".repeat(40);
    let update = inapplicable.configuration.as_mut().expect("the answer contains a configuration");
    update.document = DocumentUpdate::between(Some(another.as_bytes()), format!("{another}x").as_bytes());
    assert!(matches!(update.document, DocumentUpdate::Delta(_)));
    proxy.apply(later, later, VALID_MS, inapplicable);
    assert_eq!(proxy.configuration().map(|c| c.revision), Some(5));
    assert!(!proxy.is_proven_within(later, 3000), "a delta that does not apply");
}

#[test]
fn follower_lease_matches_consensus_leases() {
    let settings = gaugesaddle_consensus::Settings::default();
    assert_eq!(
        gaugesaddle_distribution::FOLLOWER_LEASE_MS,
        settings.follower_lease_ms.max(settings.leader_lease_ms)
    );
}
