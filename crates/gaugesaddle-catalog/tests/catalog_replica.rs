//! Failures guarded against: a backend's departure is acknowledged and then unknown, because a change was lost on its way,
//! its process ended, or a partitioned process acknowledged it.

use gaugesaddle_catalog::peers::PEER_RESPONSIVE_MS;
use gaugesaddle_catalog::{Acknowledgement, AcknowledgementDecision, CatalogReplica, ReplicationStatus};
use gaugesaddle_protocol::{
    CatalogDelta, Lifecycle, Origin, PeerMessage, Pull, Registration, Subject, VersionVector,
};

const NOW: u64 = 1_000_000;
const LEASE_MS: u64 = 4200;
/// Number of voters of the group.
const VOTERS: usize = 3;

fn registration(id: &str, sequence: u64, lifecycle: Lifecycle) -> Registration {
    let subject = Subject::Backend { service: "s".to_owned(), address: "10.0.0.1:80".to_owned(), slots: 4 };
    Registration { id: id.to_owned(), zone: "z".to_owned(), subject, sequence, lifecycle }
}

/// Three processes that have registered one another; process `n` runs on machine `n`.
fn processes() -> Vec<CatalogReplica> {
    let mut all: Vec<CatalogReplica> =
        (0..3).map(|n| CatalogReplica::new(NOW - PEER_RESPONSIVE_MS, Origin(n + 1), LEASE_MS)).collect();
    for at in 0..3u64 {
        for other in (0..3).filter(|other| *other != at) {
            all[at as usize].register_peer(other as u32, Origin(other + 1));
            assert!(all[at as usize].record_contact(NOW, other as u32, Origin(other + 1)));
        }
    }
    all
}

/// Delivers a message, then the responses to it, and so on until there are none.
fn deliver(all: &mut [CatalogReplica], now: u64, from: usize, to: usize, message: PeerMessage) {
    let outcome = all[to].apply(now, from as u32, message);
    for response in outcome.responses {
        deliver(all, now, to, from, response);
    }
}

fn lifecycle_of(catalog_replica: &CatalogReplica, id: &str) -> Option<Lifecycle> {
    catalog_replica.catalog().get(id).map(|e| e.registration.lifecycle)
}

#[test]
fn later_change_does_not_acknowledge_a_lost_one() {
    let mut all = processes();
    let ready = all[0].record(NOW, registration("a", 1, Lifecycle::Ready)).expect("a change");
    for to in 1..3 {
        deliver(&mut all, NOW, 0, to, PeerMessage::Push(ready.clone()));
    }
    let drain = all[0].record(NOW + 1, registration("a", 2, Lifecycle::Draining)).expect("a change");
    deliver(&mut all, NOW + 1, 0, 1, PeerMessage::Push(drain));
    assert_eq!(
        all[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Majority,
        "the third does not have it"
    );
    // A later change does arrive there.
    let other = all[0].record(NOW + 2, registration("b", 1, Lifecycle::Ready)).expect("a change");
    let responses = all[2].apply(NOW + 2, 0, PeerMessage::Push(other)).responses;
    let acknowledges = |response: &PeerMessage| matches!(response, PeerMessage::Acknowledge { .. });
    assert!(!responses.iter().any(acknowledges), "nothing after a gap is acknowledged: {responses:?}");
    assert_eq!(all[0].replication_status(NOW + 2, "a", VOTERS), ReplicationStatus::Majority);
    assert!(
        !all[2].has_changes_for(all[0].catalog().vector(), &[]),
        "its vector does not cover the lost change"
    );
    // It requests the missing change.
    for response in responses {
        deliver(&mut all, NOW + 2, 2, 0, response);
    }
    assert_eq!(lifecycle_of(&all[2], "a"), Some(Lifecycle::Draining));
    assert_eq!(all[0].replication_status(NOW + 3, "a", VOTERS), ReplicationStatus::Full);
}

#[test]
fn departure_is_acknowledged_only_by_a_fresh_process() {
    let mut all = processes();
    let call = registration("a", 1, Lifecycle::Draining);
    let waiting = Acknowledgement::new(NOW, &call);
    let drain = all[0].record(NOW, call).expect("a change");
    let decide = |all: &[CatalogReplica], now, fresh| waiting.decide(now, &all[0], fresh, VOTERS);
    assert_eq!(decide(&all, NOW, true), AcknowledgementDecision::Wait);
    assert_eq!(decide(&all, NOW, false), AcknowledgementDecision::Reject);
    assert_eq!(decide(&all, waiting.deadline(), true), AcknowledgementDecision::Reject, "no peer has it");
    deliver(&mut all, NOW + 1, 0, 1, PeerMessage::Push(drain.clone()));
    assert_eq!(
        decide(&all, NOW + 1, true),
        AcknowledgementDecision::Wait,
        "a responsive peer does not have it"
    );
    assert_eq!(
        decide(&all, waiting.deadline(), true),
        AcknowledgementDecision::Acknowledge,
        "a majority has it, and the third does not respond"
    );
    assert_eq!(
        decide(&all, waiting.deadline(), false),
        AcknowledgementDecision::Reject,
        "partitioned meanwhile"
    );
    deliver(&mut all, NOW + 2, 0, 2, PeerMessage::Push(drain));
    assert_eq!(decide(&all, NOW + 2, true), AcknowledgementDecision::Acknowledge);
    let ready = Acknowledgement::new(NOW, &registration("b", 1, Lifecycle::Ready));
    assert_eq!(
        ready.decide(NOW, &all[0], true, VOTERS),
        AcknowledgementDecision::Acknowledge,
        "a ready backend needs no replication"
    );
}

#[test]
fn departure_of_unknown_backend_reaches_all_processes() {
    let mut all = processes();
    // The second process knows the backend, the first one has just started.
    let ready = all[1].record(NOW, registration("a", 7, Lifecycle::Ready)).expect("a change");
    let departed = all[0].departure_of("a").expect("a backend");
    let departure = all[0].record(NOW + 1, departed).expect("a change");
    assert_eq!(
        all[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Minority,
        "nobody else has it yet"
    );
    for to in 1..3 {
        deliver(&mut all, NOW + 1, 0, to, PeerMessage::Push(departure.clone()));
    }
    assert_eq!(lifecycle_of(&all[1], "a"), Some(Lifecycle::Departed));
    // An older change that arrives late does not bring it back.
    for to in [0, 2] {
        deliver(&mut all, NOW + 2, 1, to, PeerMessage::Push(ready.clone()));
        assert_eq!(lifecycle_of(&all[to], "a"), Some(Lifecycle::Departed));
    }
}

fn pull(id: &str, vector: &VersionVector) -> Pull {
    let proxy = Registration { subject: Subject::Proxy, ..registration(id, 1, Lifecycle::Ready) };
    let vector = vector.clone();
    Pull {
        proxy,
        vector,
        position: None,
        document: None,
        digests: Vec::new(),
        departed: Vec::new(),
        wait_ms: 350,
    }
}

/// All control processes may end right after an acknowledgement: then only the proxies know the departure.
#[test]
fn departure_is_fully_replicated_only_when_proxies_have_it() {
    let mut all = processes();
    for process in &mut all {
        let at_start = process.catalog().vector().clone();
        process.record_pull(NOW, &pull("p", &at_start));
    }
    let drain = all[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("a change");
    for to in 1..3 {
        deliver(&mut all, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(all[0].replication_status(NOW, "a", VOTERS), ReplicationStatus::Minority, "no proxy has it");
    for to in 1..3 {
        let known = all[to].catalog().vector().clone();
        for (ip, message) in all[to].record_pull(NOW + 5, &pull("p", &known)) {
            assert_eq!(ip, 0, "the acknowledgement goes to its origin");
            deliver(&mut all, NOW + 5, to, 0, message);
        }
    }
    assert_eq!(
        all[0].replication_status(NOW + 5, "a", VOTERS),
        ReplicationStatus::Majority,
        "the proxy that follows this process does not have it"
    );
    let known = all[0].catalog().vector().clone();
    all[0].record_pull(NOW + 6, &pull("p", &known));
    assert_eq!(all[0].replication_status(NOW + 6, "a", VOTERS), ReplicationStatus::Full);
    // A proxy that is no longer responsive does not delay the status.
    let next = all[0].record(NOW + 7, registration("b", 1, Lifecycle::Draining)).expect("a change");
    for to in 1..3 {
        deliver(&mut all, NOW + 7 + PEER_RESPONSIVE_MS, 0, to, PeerMessage::Push(next.clone()));
        assert!(all[0].record_contact(NOW + 7 + PEER_RESPONSIVE_MS, to as u32, Origin(to as u64 + 1)));
    }
    assert_eq!(all[0].replication_status(NOW + 7 + PEER_RESPONSIVE_MS, "b", VOTERS), ReplicationStatus::Full);
}

#[test]
fn starting_process_acknowledges_no_departure() {
    let mut starting = CatalogReplica::new(NOW, Origin(1), LEASE_MS);
    starting.record(NOW, registration("a", 1, Lifecycle::Draining));
    assert_eq!(
        starting.replication_status(NOW + PEER_RESPONSIVE_MS - 1, "a", 1),
        ReplicationStatus::Minority,
        "its proxies may not have pulled yet"
    );
    assert_eq!(starting.replication_status(NOW + PEER_RESPONSIVE_MS, "a", 1), ReplicationStatus::Full);
}

#[test]
fn restarted_peer_has_no_changes() {
    let mut all = processes();
    let drain = all[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("a change");
    for to in 1..3 {
        deliver(&mut all, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(all[0].replication_status(NOW, "a", VOTERS), ReplicationStatus::Full);
    all[0].register_peer(1, Origin(99));
    assert!(all[0].record_contact(NOW + 1, 1, Origin(99)));
    assert_eq!(
        all[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Majority,
        "the new process has nothing yet"
    );
    assert!(!all[0].record_contact(NOW + 2, 1, Origin(2)), "messages of the earlier process do not count");
}

#[test]
fn departures_known_to_proxies_survive_loss_of_all_control_processes() {
    let mut all = processes();
    let departed = vec![registration("a", 9, Lifecycle::Departed), registration("b", 9, Lifecycle::Ready)];
    let deltas = all[0].record_departed(NOW, departed.clone());
    assert_eq!(deltas.len(), 1, "only departures count");
    deliver(&mut all, NOW, 0, 1, PeerMessage::Push(deltas[0].clone()));
    assert_eq!(lifecycle_of(&all[1], "a"), Some(Lifecycle::Departed));
    assert_eq!(lifecycle_of(&all[0], "b"), None);
    assert!(all[0].record_departed(NOW + 1, departed).is_empty(), "no change the second time");
}

#[test]
fn registration_without_lease_expires_on_complete_repair() {
    let mut control = CatalogReplica::new(NOW, Origin(1), LEASE_MS);
    control.register_peer(2, Origin(2));
    let mut proxy = gaugesaddle_catalog::Catalog::default();
    for id in ["a", "b"] {
        let delta = control.record(NOW, registration(id, 5, Lifecycle::Ready)).expect("a change");
        proxy.merge(NOW, delta);
    }
    // The proxy has a third backend from an earlier process that died with all its peers.
    let lost = CatalogDelta {
        entries: vec![gaugesaddle_protocol::CatalogEntry {
            origin: Origin(77),
            change: 1,
            registration: registration("lost", 3, Lifecycle::Ready),
        }],
        ..CatalogDelta::default()
    };
    proxy.merge(NOW, lost);
    let repair = |control: &CatalogReplica, now, proxy: &gaugesaddle_catalog::Catalog| {
        control.changes_for(now, proxy.vector(), &proxy.digests()).expect("they differ")
    };
    // So soon after its start the process may just not have received that backend's heartbeat.
    let early = repair(&control, NOW + 100, &proxy);
    assert!(!proxy.merge(NOW + 100, early).changed);
    let later = NOW + LEASE_MS;
    assert!(control.record_contact(later, 2, Origin(2)));
    let late = repair(&control, later, &proxy);
    assert!(proxy.merge(later, late).changed);
    let of = |id: &str| proxy.get(id).map(|e| e.registration.lifecycle);
    assert_eq!(
        (of("lost"), of("a"), of("b")),
        (Some(Lifecycle::Expired), Some(Lifecycle::Ready), Some(Lifecycle::Ready),)
    );
    assert!(control.changes_for(later, proxy.vector(), &proxy.digests()).is_none(), "they agree");
}

#[test]
fn lapsed_and_orphaned_registrations_expire_once() {
    let mut all = processes();
    let own = all[0].record(NOW, registration("own", 1, Lifecycle::Ready)).expect("a change");
    let theirs = all[1].record(NOW, registration("theirs", 1, Lifecycle::Ready)).expect("a change");
    deliver(&mut all, NOW, 0, 1, PeerMessage::Push(own));
    deliver(&mut all, NOW, 1, 0, PeerMessage::Push(theirs));
    assert!(all[0].expire(NOW + LEASE_MS - 1).is_empty());
    assert_eq!(all[0].expire(NOW + LEASE_MS).len(), 1);
    assert_eq!(lifecycle_of(&all[0], "own"), Some(Lifecycle::Expired));
    // The other one's process has timed out, and no other process has accepted the registration since.
    let expired_at: Vec<u64> =
        (5..15).map(|s| s * 1000).filter(|t| !all[0].expire(NOW + t).is_empty()).collect();
    assert_eq!(expired_at.len(), 1, "{expired_at:?}");
    assert_eq!(lifecycle_of(&all[0], "theirs"), Some(Lifecycle::Expired));
}
