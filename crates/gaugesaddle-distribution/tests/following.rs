//! The failure: a proxy goes back behind a configuration, takes one that was current long ago, or is stuck with one; or a
//! small change travels whole.

use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_distribution::{Distributor, Follower, ReplicaStatus};
use gaugesaddle_protocol::{
    Configuration, DocumentUpdate, Lifecycle, LogPosition, Origin, Pull, PullReply, Registration, Subject,
};

const NOW: u64 = 1_000_000;
/// An answer is good for so long after the call.
const GOOD_FOR: u64 = 5000;

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

/// A configuration of so many routes, the `index`-th in the history of a term.
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
        Some(DocumentUpdate::Delta(patch)) => patch.size(),
        Some(DocumentUpdate::Unchanged) | None => 0,
    }
}

#[test]
fn a_change_travels_as_a_patch_and_the_same_document_not_at_all() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    let whole = size(&first);
    assert!(proxy.take(NOW, NOW, GOOD_FOR, first).configuration);
    control.distributor.take(&configuration(1, 2, 6));
    let call = pull(&mut proxy);
    assert!(control.distributor.has_changes(&control.catalog_replica, &call));
    let second = control.answer(&call, true);
    assert!(size(&second) * 20 < whole, "{} of {whole} bytes", size(&second));
    assert!(proxy.take(NOW, NOW, GOOD_FOR, second).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 2, 6)));
    // A new leader writes what it found under its own term.
    control.distributor.take(&configuration(2, 3, 6));
    let third = control.answer(&pull(&mut proxy), true);
    assert_eq!(third.configuration.as_ref().map(|c| &c.document), Some(&DocumentUpdate::Unchanged));
    assert!(proxy.take(NOW, NOW, GOOD_FOR, third).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(2, 3, 6)));
    assert!(!control.distributor.has_changes(&control.catalog_replica, &pull(&mut proxy)));
}

#[test]
fn nothing_is_taken_from_a_process_that_lost_its_group_and_nothing_older_from_any() {
    let (mut old, mut new, mut proxy) = (Control::new(), Control::new(), follower());
    old.distributor.take(&configuration(1, 1, 5));
    new.distributor.take(&configuration(1, 2, 6));
    let cut_off = old.answer(&pull(&mut proxy), false);
    let taken = proxy.take(NOW, NOW, GOOD_FOR, cut_off);
    assert!(!taken.configuration && !taken.stays);
    assert_eq!(proxy.configuration(), None, "no configuration is better than one that may be old");
    let answer = new.answer(&pull(&mut proxy), true);
    assert!(proxy.take(NOW, NOW, GOOD_FOR, answer).configuration);
    // However sure an older one is of itself.
    let mut call = pull(&mut proxy);
    call.position = None;
    assert!(!proxy.take(NOW, NOW, GOOD_FOR, old.answer(&call, true)).configuration);
    assert_eq!(proxy.position(), Some(LogPosition { term: 1, index: 2 }));
}

#[test]
fn an_answer_that_waited_in_the_socket_of_a_sleeping_proxy_is_void() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 5));
    let answer = control.answer(&pull(&mut proxy), true);
    let woken = NOW + 20_000;
    let taken = proxy.take(woken, NOW, GOOD_FOR, answer.clone());
    assert!(!taken.configuration && !taken.stays, "current twenty seconds ago");
    assert_eq!(proxy.configuration(), None);
    assert!(proxy.take(NOW + GOOD_FOR, NOW, GOOD_FOR, answer).configuration, "one in time is taken");
}

#[test]
fn a_patch_that_does_not_fit_is_followed_by_the_whole() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.take(NOW, NOW, GOOD_FOR, first);
    control.distributor.take(&configuration(1, 2, 6));
    let mut spoilt = control.answer(&pull(&mut proxy), true);
    let (base, other) = (configuration(1, 1, 77), configuration(1, 1, 78));
    let foreign = DocumentUpdate::between(Some(&base.document), &other.document);
    assert!(matches!(foreign, DocumentUpdate::Delta(_)));
    if let Some(update) = &mut spoilt.configuration {
        update.document = foreign;
    }
    assert!(!proxy.take(NOW, NOW, GOOD_FOR, spoilt).configuration);
    assert_eq!(proxy.position(), Some(LogPosition { term: 1, index: 1 }), "what it has stays in force");
    let next = control.answer(&pull(&mut proxy), true);
    assert!(matches!(next.configuration.as_ref().map(|c| &c.document), Some(DocumentUpdate::Full(_))));
    assert!(proxy.take(NOW, NOW, GOOD_FOR, next).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 2, 6)));
}

#[test]
fn a_proxy_far_behind_gets_the_whole() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 1));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.take(NOW, NOW, GOOD_FOR, first);
    for index in 2..200 {
        control.distributor.take(&configuration(1, index, index));
    }
    let last = control.answer(&pull(&mut proxy), true);
    assert!(proxy.take(NOW, NOW, GOOD_FOR, last).configuration);
    assert_eq!(proxy.configuration(), Some(&configuration(1, 199, 199)));
}

#[test]
fn the_first_call_to_a_process_tells_what_has_left() {
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
    assert!(proxy.take(NOW, NOW, GOOD_FOR, answer).registrations);
    assert!(pull(&mut proxy).departed.is_empty(), "once is enough");
    let first = proxy.pull(NOW, Lifecycle::Ready, 0);
    assert_eq!(first.departed.iter().map(|r| r.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
}

#[test]
fn a_proof_is_as_old_as_the_call_that_brought_it_and_what_its_process_may_lag_behind() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 5));
    assert!(!proxy.is_proven_within(NOW, 5000), "nothing is known yet");
    let first = control.answer(&pull(&mut proxy), true);
    // Read four seconds after the call was made.
    proxy.take(NOW + 4000, NOW, GOOD_FOR, first);
    assert!(proxy.is_proven_within(NOW + 4399, 5000));
    assert!(!proxy.is_proven_within(NOW + 4400, 5000), "600 before the call");
    // Without news it is a proof all the same.
    let again = control.answer(&pull(&mut proxy), true);
    proxy.take(NOW + 1300, NOW + 1000, GOOD_FOR, again);
    assert!(proxy.is_proven_within(NOW + 5399, 5000) && !proxy.is_proven_within(NOW + 5400, 5000));
    // An answer that comes late proves less than what is known already.
    let late = control.answer(&pull(&mut proxy), true);
    proxy.take(NOW + 1400, NOW + 100, GOOD_FOR, late);
    assert!(proxy.is_proven_within(NOW + 5399, 5000));
}

#[test]
fn neither_a_stale_process_nor_an_answer_that_cannot_be_used_proves_anything() {
    let (mut control, mut proxy) = (Control::new(), follower());
    control.distributor.take(&configuration(1, 1, 5));
    let first = control.answer(&pull(&mut proxy), true);
    proxy.take(NOW, NOW, GOOD_FOR, first);
    let later = NOW + 3000;
    let stale = control.answer(&pull(&mut proxy), false);
    proxy.take(later, later, GOOD_FOR, stale);
    assert!(!proxy.is_proven_within(later, 3000), "a process that lost its group");
    let waited = control.answer(&pull(&mut proxy), true);
    proxy.take(later + GOOD_FOR + 1, later, GOOD_FOR, waited);
    assert!(!proxy.is_proven_within(later, 3000), "an answer that waited in the socket of a sleeping proxy");
    control.distributor.take(&configuration(1, 2, 6));
    let mut unusable = control.answer(&pull(&mut proxy), true);
    let another = "{another,".repeat(40);
    let update = unusable.configuration.as_mut().expect("a change");
    update.document = DocumentUpdate::between(Some(another.as_bytes()), format!("{another}x").as_bytes());
    assert!(matches!(update.document, DocumentUpdate::Delta(_)));
    proxy.take(later, later, GOOD_FOR, unusable);
    assert_eq!(proxy.configuration().map(|c| c.revision), Some(5));
    assert!(!proxy.is_proven_within(later, 3000), "a change that could not be taken");
}

#[test]
fn a_process_that_calls_itself_current_lags_behind_no_more_than_is_counted() {
    let settings = gaugesaddle_consensus::Settings::default();
    assert_eq!(
        gaugesaddle_distribution::FOLLOWER_LEASE_MS,
        settings.follower_lease_ms.max(settings.leader_lease_ms)
    );
}
