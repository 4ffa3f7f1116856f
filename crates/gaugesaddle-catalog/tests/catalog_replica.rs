//! Failure guarded against: the departure of a backend is acknowledged and then lost, because a message was lost, a
//! process ended, or a partitioned process acknowledged it.

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

/// Three replicas whose processes have registered each other; replica `n` runs on machine `n`.
fn registered_replicas() -> Vec<CatalogReplica> {
    let mut replicas: Vec<CatalogReplica> =
        (0..3).map(|n| CatalogReplica::new(NOW - PEER_RESPONSIVE_MS, Origin(n + 1), LEASE_MS)).collect();
    for at in 0..3u64 {
        for other in (0..3).filter(|other| *other != at) {
            replicas[at as usize].register_peer(other as u32, Origin(other + 1));
            assert!(replicas[at as usize].record_contact(NOW, other as u32, Origin(other + 1)));
        }
    }
    replicas
}

/// Delivers a message, then the responses to it, and so on until there are none.
fn deliver(replicas: &mut [CatalogReplica], now: u64, from: usize, to: usize, message: PeerMessage) {
    let outcome = replicas[to].apply(now, from as u32, message);
    for response in outcome.responses {
        deliver(replicas, now, to, from, response);
    }
}

fn lifecycle_of(catalog_replica: &CatalogReplica, id: &str) -> Option<Lifecycle> {
    catalog_replica.catalog().get(id).map(|e| e.registration.lifecycle)
}

#[test]
fn later_change_does_not_acknowledge_a_lost_one() {
    let mut replicas = registered_replicas();
    let ready =
        replicas[0].record(NOW, registration("a", 1, Lifecycle::Ready)).expect("the change is accepted");
    for to in 1..3 {
        deliver(&mut replicas, NOW, 0, to, PeerMessage::Push(ready.clone()));
    }
    let drain = replicas[0]
        .record(NOW + 1, registration("a", 2, Lifecycle::Draining))
        .expect("the change is accepted");
    deliver(&mut replicas, NOW + 1, 0, 1, PeerMessage::Push(drain));
    assert_eq!(
        replicas[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Majority,
        "the third replica does not have the change"
    );
    // A later change does reach the third replica.
    let other =
        replicas[0].record(NOW + 2, registration("b", 1, Lifecycle::Ready)).expect("the change is accepted");
    let responses = replicas[2].apply(NOW + 2, 0, PeerMessage::Push(other)).responses;
    let acknowledges = |response: &PeerMessage| matches!(response, PeerMessage::Acknowledge { .. });
    assert!(!responses.iter().any(acknowledges), "no change after a gap is acknowledged: {responses:?}");
    assert_eq!(replicas[0].replication_status(NOW + 2, "a", VOTERS), ReplicationStatus::Majority);
    assert!(
        !replicas[2].has_changes_for(replicas[0].catalog().vector(), &[]),
        "the vector of the third replica does not cover the lost change"
    );
    // The third replica requests the missing change.
    for response in responses {
        deliver(&mut replicas, NOW + 2, 2, 0, response);
    }
    assert_eq!(lifecycle_of(&replicas[2], "a"), Some(Lifecycle::Draining));
    assert_eq!(replicas[0].replication_status(NOW + 3, "a", VOTERS), ReplicationStatus::Full);
}

#[test]
fn departure_is_acknowledged_only_by_a_fresh_process() {
    let mut replicas = registered_replicas();
    let call = registration("a", 1, Lifecycle::Draining);
    let waiting = Acknowledgement::new(NOW, &call);
    let drain = replicas[0].record(NOW, call).expect("the change is accepted");
    let decide = |replicas: &[CatalogReplica], now, fresh| waiting.decide(now, &replicas[0], fresh, VOTERS);
    assert_eq!(decide(&replicas, NOW, true), AcknowledgementDecision::Wait);
    assert_eq!(decide(&replicas, NOW, false), AcknowledgementDecision::Reject);
    assert_eq!(
        decide(&replicas, waiting.deadline(), true),
        AcknowledgementDecision::Reject,
        "no peer has the change"
    );
    deliver(&mut replicas, NOW + 1, 0, 1, PeerMessage::Push(drain.clone()));
    assert_eq!(
        decide(&replicas, NOW + 1, true),
        AcknowledgementDecision::Wait,
        "a responsive peer does not have the change"
    );
    assert_eq!(
        decide(&replicas, waiting.deadline(), true),
        AcknowledgementDecision::Reject,
        "a responsive peer, and the proxies that pull from it, do not have the change at the deadline"
    );
    assert_eq!(
        decide(&replicas, waiting.deadline(), false),
        AcknowledgementDecision::Reject,
        "the process was partitioned in the meantime"
    );
    deliver(&mut replicas, NOW + 2, 0, 2, PeerMessage::Push(drain));
    assert_eq!(decide(&replicas, NOW + 2, true), AcknowledgementDecision::Acknowledge);
    let ready = Acknowledgement::new(NOW, &registration("b", 1, Lifecycle::Ready));
    assert_eq!(
        ready.decide(NOW, &replicas[0], true, VOTERS),
        AcknowledgementDecision::Acknowledge,
        "a ready backend needs no replication"
    );
}

#[test]
fn departure_of_unknown_backend_reaches_all_processes() {
    let mut replicas = registered_replicas();
    // The second replica knows the backend; the first one has just started.
    let ready =
        replicas[1].record(NOW, registration("a", 7, Lifecycle::Ready)).expect("the change is accepted");
    let departed = replicas[0].departure_of("a").expect("the identity is not a proxy");
    let departure = replicas[0].record(NOW + 1, departed).expect("the change is accepted");
    assert_eq!(
        replicas[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Minority,
        "no peer has the change yet"
    );
    for to in 1..3 {
        deliver(&mut replicas, NOW + 1, 0, to, PeerMessage::Push(departure.clone()));
    }
    assert_eq!(lifecycle_of(&replicas[1], "a"), Some(Lifecycle::Departed));
    // An older change that arrives late does not make the backend ready again.
    for to in [0, 2] {
        deliver(&mut replicas, NOW + 2, 1, to, PeerMessage::Push(ready.clone()));
        assert_eq!(lifecycle_of(&replicas[to], "a"), Some(Lifecycle::Departed));
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

/// All control processes may end right after an acknowledgement; then only the proxies have the departure.
#[test]
fn departure_is_fully_replicated_only_when_proxies_have_it() {
    let mut replicas = registered_replicas();
    for replica in &mut replicas {
        let at_start = replica.catalog().vector().clone();
        replica.record_pull(NOW, &pull("p", &at_start));
    }
    let drain =
        replicas[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("the change is accepted");
    for to in 1..3 {
        deliver(&mut replicas, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(
        replicas[0].replication_status(NOW, "a", VOTERS),
        ReplicationStatus::Minority,
        "no proxy has the change"
    );
    for to in 1..3 {
        let known = replicas[to].catalog().vector().clone();
        for (ip, message) in replicas[to].record_pull(NOW + 5, &pull("p", &known)) {
            assert_eq!(ip, 0, "the acknowledgement goes to its origin");
            deliver(&mut replicas, NOW + 5, to, 0, message);
        }
    }
    assert_eq!(
        replicas[0].replication_status(NOW + 5, "a", VOTERS),
        ReplicationStatus::Majority,
        "the proxy that pulls from this process does not have the change"
    );
    let known = replicas[0].catalog().vector().clone();
    replicas[0].record_pull(NOW + 6, &pull("p", &known));
    assert_eq!(replicas[0].replication_status(NOW + 6, "a", VOTERS), ReplicationStatus::Full);
    // A proxy that is no longer responsive does not delay the status.
    let next = replicas[0]
        .record(NOW + 7, registration("b", 1, Lifecycle::Draining))
        .expect("the change is accepted");
    for to in 1..3 {
        deliver(&mut replicas, NOW + 7 + PEER_RESPONSIVE_MS, 0, to, PeerMessage::Push(next.clone()));
        assert!(replicas[0].record_contact(NOW + 7 + PEER_RESPONSIVE_MS, to as u32, Origin(to as u64 + 1)));
    }
    assert_eq!(
        replicas[0].replication_status(NOW + 7 + PEER_RESPONSIVE_MS, "b", VOTERS),
        ReplicationStatus::Full
    );
}

#[test]
fn starting_process_acknowledges_no_departure() {
    let mut starting = CatalogReplica::new(NOW, Origin(1), LEASE_MS);
    starting.record(NOW, registration("a", 1, Lifecycle::Draining));
    assert_eq!(
        starting.replication_status(NOW + PEER_RESPONSIVE_MS - 1, "a", 1),
        ReplicationStatus::Minority,
        "the proxies may not have pulled yet"
    );
    assert_eq!(starting.replication_status(NOW + PEER_RESPONSIVE_MS, "a", 1), ReplicationStatus::Full);
}

#[test]
fn restarted_peer_has_no_changes() {
    let mut replicas = registered_replicas();
    let drain =
        replicas[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("the change is accepted");
    for to in 1..3 {
        deliver(&mut replicas, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(replicas[0].replication_status(NOW, "a", VOTERS), ReplicationStatus::Full);
    replicas[0].register_peer(1, Origin(99));
    assert!(replicas[0].record_contact(NOW + 1, 1, Origin(99)));
    assert_eq!(
        replicas[0].replication_status(NOW + 1, "a", VOTERS),
        ReplicationStatus::Majority,
        "the new process has no changes yet"
    );
    assert!(
        !replicas[0].record_contact(NOW + 2, 1, Origin(2)),
        "messages of the earlier process are dropped"
    );
}

#[test]
fn departures_known_to_proxies_survive_loss_of_all_control_processes() {
    let mut replicas = registered_replicas();
    let departed = vec![registration("a", 9, Lifecycle::Departed), registration("b", 9, Lifecycle::Ready)];
    let deltas = replicas[0].record_departed(NOW, departed.clone());
    assert_eq!(deltas.len(), 1, "only departures are recorded");
    deliver(&mut replicas, NOW, 0, 1, PeerMessage::Push(deltas[0].clone()));
    assert_eq!(lifecycle_of(&replicas[1], "a"), Some(Lifecycle::Departed));
    assert_eq!(lifecycle_of(&replicas[0], "b"), None);
    assert!(replicas[0].record_departed(NOW + 1, departed).is_empty(), "a departure is recorded once");
}

#[test]
fn registration_without_lease_expires_on_complete_repair() {
    let mut control = CatalogReplica::new(NOW, Origin(1), LEASE_MS);
    control.register_peer(2, Origin(2));
    let mut proxy = gaugesaddle_catalog::Catalog::default();
    for id in ["a", "b"] {
        let delta =
            control.record(NOW, registration(id, 5, Lifecycle::Ready)).expect("the change is accepted");
        proxy.merge(NOW, delta);
    }
    // The proxy has a third backend from an earlier control process that died together with all its peers.
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
        control.changes_for(now, proxy.vector(), &proxy.digests()).expect("the catalogs differ")
    };
    // This soon after its start, the process may not have received that backend's heartbeat yet.
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
    assert!(control.changes_for(later, proxy.vector(), &proxy.digests()).is_none(), "the catalogs are equal");
}

#[test]
fn lapsed_and_orphaned_registrations_expire_once() {
    let mut replicas = registered_replicas();
    let own =
        replicas[0].record(NOW, registration("own", 1, Lifecycle::Ready)).expect("the change is accepted");
    let theirs =
        replicas[1].record(NOW, registration("theirs", 1, Lifecycle::Ready)).expect("the change is accepted");
    deliver(&mut replicas, NOW, 0, 1, PeerMessage::Push(own));
    deliver(&mut replicas, NOW, 1, 0, PeerMessage::Push(theirs));
    assert!(replicas[0].expire(NOW + LEASE_MS - 1).is_empty());
    assert_eq!(replicas[0].expire(NOW + LEASE_MS).len(), 1);
    assert_eq!(lifecycle_of(&replicas[0], "own"), Some(Lifecycle::Expired));
    // The process that accepted the other registration has timed out, and no other process has accepted it since.
    let expired_at: Vec<u64> =
        (5..15).map(|s| s * 1000).filter(|t| !replicas[0].expire(NOW + t).is_empty()).collect();
    assert_eq!(expired_at.len(), 1, "{expired_at:?}");
    assert_eq!(lifecycle_of(&replicas[0], "theirs"), Some(Lifecycle::Expired));
}
