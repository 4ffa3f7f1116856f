//! The failure: a backend's end is acknowledged and then not known: a change was lost on its way, its process ended, or
//! a process that is cut off gave the acknowledgement.

use gaugesaddle_catalog::peers::PEER_RESPONSIVE_MS;
use gaugesaddle_catalog::{Acknowledgement, CatalogReplica, ReplicationStatus};
use gaugesaddle_protocol::{
    CatalogDelta, Lifecycle, Origin, PeerMessage, Pull, Registration, Subject, VersionVector,
};

const NOW: u64 = 1_000_000;
const LEASE: u64 = 4200;
/// Voters of the group.
const VOTERS: usize = 3;

fn registration(id: &str, sequence: u64, lifecycle: Lifecycle) -> Registration {
    let subject = Subject::Backend { service: "s".to_owned(), address: "10.0.0.1:80".to_owned(), slots: 4 };
    Registration { id: id.to_owned(), zone: "z".to_owned(), subject, sequence, lifecycle }
}

/// Three processes that know one another; machine `n` is the `n`-th.
fn processes() -> Vec<CatalogReplica> {
    let mut all: Vec<CatalogReplica> =
        (0..3).map(|n| CatalogReplica::new(NOW - PEER_RESPONSIVE_MS, Origin(n + 1), LEASE)).collect();
    for at in 0..3u64 {
        for other in (0..3).filter(|other| *other != at) {
            all[at as usize].register_peer(other as u32, Origin(other + 1));
            assert!(all[at as usize].record_contact(NOW, other as u32, Origin(other + 1)));
        }
    }
    all
}

/// Has one process take a message of another and brings its answers back, and so on.
fn tell(all: &mut [CatalogReplica], now: u64, from: usize, to: usize, message: PeerMessage) {
    let (_, answers) = all[to].take(now, from as u32, message);
    for answer in answers {
        tell(all, now, to, from, answer);
    }
}

fn lives(catalog_replica: &CatalogReplica, id: &str) -> Option<Lifecycle> {
    catalog_replica.catalog().get(id).map(|e| e.registration.lifecycle)
}

#[test]
fn a_later_change_does_not_stand_for_one_that_was_lost() {
    let mut all = processes();
    let ready = all[0].record(NOW, registration("a", 1, Lifecycle::Ready)).expect("news");
    for to in 1..3 {
        tell(&mut all, NOW, 0, to, PeerMessage::Push(ready.clone()));
    }
    let drain = all[0].record(NOW + 1, registration("a", 2, Lifecycle::Draining)).expect("news");
    tell(&mut all, NOW + 1, 0, 1, PeerMessage::Push(drain));
    assert_eq!(all[0].spread(NOW + 1, "a", VOTERS), ReplicationStatus::Majority, "the third has not got it");
    // Another change follows and arrives there.
    let other = all[0].record(NOW + 2, registration("b", 1, Lifecycle::Ready)).expect("news");
    let (_, answers) = all[2].take(NOW + 2, 0, PeerMessage::Push(other));
    let acknowledges = |answer: &PeerMessage| matches!(answer, PeerMessage::Acknowledge { .. });
    assert!(
        !answers.iter().any(acknowledges),
        "only what has no gap is acknowledged, and that was: {answers:?}"
    );
    assert_eq!(all[0].spread(NOW + 2, "a", VOTERS), ReplicationStatus::Majority);
    assert!(!all[2].has_changes_for(all[0].catalog().vector(), &[]), "what it lacks is not told as known");
    // It asks for what is missing, and only then has it all.
    for answer in answers {
        tell(&mut all, NOW + 2, 2, 0, answer);
    }
    assert_eq!(lives(&all[2], "a"), Some(Lifecycle::Draining));
    assert_eq!(all[0].spread(NOW + 3, "a", VOTERS), ReplicationStatus::Full);
}

#[test]
fn an_end_is_acknowledged_by_a_process_that_is_current_when_it_answers() {
    let mut all = processes();
    let call = registration("a", 1, Lifecycle::Draining);
    let waiting = Acknowledgement::new(NOW, &call);
    let drain = all[0].record(NOW, call).expect("news");
    let decide = |all: &[CatalogReplica], now, fresh| waiting.decide(now, &all[0], fresh, VOTERS);
    assert_eq!(decide(&all, NOW, true), None);
    assert_eq!(decide(&all, NOW, false), Some(false));
    assert_eq!(decide(&all, waiting.until(), true), Some(false), "nobody else has it");
    tell(&mut all, NOW + 1, 0, 1, PeerMessage::Push(drain.clone()));
    assert_eq!(decide(&all, NOW + 1, true), None, "one that spoke a moment ago has not");
    assert_eq!(
        decide(&all, waiting.until(), true),
        Some(true),
        "a majority has, and the other does not answer"
    );
    assert_eq!(decide(&all, waiting.until(), false), Some(false), "cut off meanwhile");
    tell(&mut all, NOW + 2, 0, 2, PeerMessage::Push(drain));
    assert_eq!(decide(&all, NOW + 2, true), Some(true));
    let ready = Acknowledgement::new(NOW, &registration("b", 1, Lifecycle::Ready));
    assert_eq!(ready.decide(NOW, &all[0], true, VOTERS), Some(true), "that it is ready binds nobody");
}

#[test]
fn the_end_of_a_backend_that_is_not_known_here_is_told_to_all() {
    let mut all = processes();
    // The second process knows it, this one has just started.
    let ready = all[1].record(NOW, registration("a", 7, Lifecycle::Ready)).expect("news");
    let departed = all[0].departed("a").expect("a backend");
    let gone = all[0].record(NOW + 1, departed).expect("news");
    assert_eq!(all[0].spread(NOW + 1, "a", VOTERS), ReplicationStatus::Minority, "nobody else has it yet");
    for to in 1..3 {
        tell(&mut all, NOW + 1, 0, to, PeerMessage::Push(gone.clone()));
    }
    assert_eq!(lives(&all[1], "a"), Some(Lifecycle::Departed));
    // What was on its way meanwhile brings it back nowhere.
    for to in [0, 2] {
        tell(&mut all, NOW + 2, 1, to, PeerMessage::Push(ready.clone()));
        assert_eq!(lives(&all[to], "a"), Some(Lifecycle::Departed));
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

/// All control processes may end right after an acknowledgement: then only the proxies know of it.
#[test]
fn an_end_is_held_only_when_the_proxies_know_it() {
    let mut all = processes();
    for process in &mut all {
        let at_start = process.catalog().vector().clone();
        process.record_pull(NOW, &pull("p", &at_start));
    }
    let drain = all[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("news");
    for to in 1..3 {
        tell(&mut all, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(all[0].spread(NOW, "a", VOTERS), ReplicationStatus::Minority, "no proxy has heard of it");
    for to in 1..3 {
        let known = all[to].catalog().vector().clone();
        for (ip, message) in all[to].record_pull(NOW + 5, &pull("p", &known)) {
            assert_eq!(ip, 0, "its origin is told");
            tell(&mut all, NOW + 5, to, 0, message);
        }
    }
    assert_eq!(all[0].spread(NOW + 5, "a", VOTERS), ReplicationStatus::Majority, "the proxy here has not");
    let known = all[0].catalog().vector().clone();
    all[0].record_pull(NOW + 6, &pull("p", &known));
    assert_eq!(all[0].spread(NOW + 6, "a", VOTERS), ReplicationStatus::Full);
    // One that fell silent is not waited for.
    let next = all[0].record(NOW + 7, registration("b", 1, Lifecycle::Draining)).expect("news");
    for to in 1..3 {
        tell(&mut all, NOW + 7 + PEER_RESPONSIVE_MS, 0, to, PeerMessage::Push(next.clone()));
        assert!(all[0].record_contact(NOW + 7 + PEER_RESPONSIVE_MS, to as u32, Origin(to as u64 + 1)));
    }
    assert_eq!(all[0].spread(NOW + 7 + PEER_RESPONSIVE_MS, "b", VOTERS), ReplicationStatus::Full);
}

#[test]
fn a_process_that_has_just_started_acknowledges_no_end() {
    let mut young = CatalogReplica::new(NOW, Origin(1), LEASE);
    young.record(NOW, registration("a", 1, Lifecycle::Draining));
    assert_eq!(
        young.spread(NOW + PEER_RESPONSIVE_MS - 1, "a", 1),
        ReplicationStatus::Minority,
        "its proxies may not have called yet"
    );
    assert_eq!(young.spread(NOW + PEER_RESPONSIVE_MS, "a", 1), ReplicationStatus::Full);
}

#[test]
fn what_another_process_of_that_machine_knew_is_gone_with_it() {
    let mut all = processes();
    let drain = all[0].record(NOW, registration("a", 1, Lifecycle::Draining)).expect("news");
    for to in 1..3 {
        tell(&mut all, NOW, 0, to, PeerMessage::Push(drain.clone()));
    }
    assert_eq!(all[0].spread(NOW, "a", VOTERS), ReplicationStatus::Full);
    all[0].register_peer(1, Origin(99));
    assert!(all[0].record_contact(NOW + 1, 1, Origin(99)));
    assert_eq!(
        all[0].spread(NOW + 1, "a", VOTERS),
        ReplicationStatus::Majority,
        "the new process has nothing yet"
    );
    assert!(!all[0].record_contact(NOW + 2, 1, Origin(2)), "what is left of the old connection is void");
}

#[test]
fn what_proxies_know_to_have_left_outlives_all_control_processes() {
    let mut all = processes();
    let left = vec![registration("a", 9, Lifecycle::Departed), registration("b", 9, Lifecycle::Ready)];
    let told = all[0].record_departed(NOW, left.clone());
    assert_eq!(told.len(), 1, "only ends are taken");
    tell(&mut all, NOW, 0, 1, PeerMessage::Push(told[0].clone()));
    assert_eq!(lives(&all[1], "a"), Some(Lifecycle::Departed));
    assert_eq!(lives(&all[0], "b"), None);
    assert!(all[0].record_departed(NOW + 1, left).is_empty(), "nothing new the second time");
}

#[test]
fn what_nobody_keeps_a_lease_for_ends_where_all_is_told() {
    let mut control = CatalogReplica::new(NOW, Origin(1), LEASE);
    control.register_peer(2, Origin(2));
    let mut proxy = gaugesaddle_catalog::Catalog::default();
    for id in ["a", "b"] {
        let delta = control.record(NOW, registration(id, 5, Lifecycle::Ready)).expect("news");
        proxy.merge(NOW, delta);
    }
    // A process of before has told the proxy of a third one; it died with all its peers.
    let lost = CatalogDelta {
        entries: vec![gaugesaddle_protocol::Entry {
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
    // Too early the process may only not have heard of it.
    let early = repair(&control, NOW + 100, &proxy);
    assert!(!proxy.merge(NOW + 100, early).changed);
    let later = NOW + LEASE;
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
fn silent_and_orphaned_registrations_end_once() {
    let mut all = processes();
    let own = all[0].record(NOW, registration("own", 1, Lifecycle::Ready)).expect("news");
    let theirs = all[1].record(NOW, registration("theirs", 1, Lifecycle::Ready)).expect("news");
    tell(&mut all, NOW, 0, 1, PeerMessage::Push(own));
    tell(&mut all, NOW, 1, 0, PeerMessage::Push(theirs));
    assert!(all[0].expire(NOW + LEASE - 1).is_empty());
    assert_eq!(all[0].expire(NOW + LEASE).len(), 1);
    assert_eq!(lives(&all[0], "own"), Some(Lifecycle::Expired));
    // Its process has been silent for long, and for as long again nobody else took the other one over.
    let ended: Vec<u64> = (5..15).map(|s| s * 1000).filter(|t| !all[0].expire(NOW + t).is_empty()).collect();
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert_eq!(lives(&all[0], "theirs"), Some(Lifecycle::Expired));
}
