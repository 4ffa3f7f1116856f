//! Failures guarded against: a backend that drains or has departed receives requests again, processes that received the
//! same changes disagree, or a live registration is dropped.

use gaugesaddle_catalog::{Catalog, Coverage, Leases, DEPARTED_RETENTION_MS};
use gaugesaddle_protocol::{CatalogDelta, Lifecycle, Origin, Registration, Subject, VersionVector};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_000_000;

fn registration(id: u8, sequence: u64, lifecycle: Lifecycle) -> Registration {
    let subject = Subject::Backend { service: "s".to_owned(), address: format!("10.0.0.{id}:80"), slots: 4 };
    Registration { id: format!("i-{id}"), zone: "z".to_owned(), subject, sequence, lifecycle }
}

fn lifecycle() -> impl Strategy<Value = Lifecycle> {
    prop_oneof![
        4 => Just(Lifecycle::Ready),
        1 => Just(Lifecycle::Expired),
        1 => Just(Lifecycle::Draining),
        1 => Just(Lifecycle::Departed),
    ]
}

/// Changes at three control processes: index of the process, number of the backend, sequence, lifecycle.
fn changes() -> impl Strategy<Value = Vec<(u64, u8, u64, Lifecycle)>> {
    proptest::collection::vec((0u64..3, 0u8..6, 0u64..20, lifecycle()), 0..60)
}

fn content(catalog: &Catalog) -> Vec<(String, u64, Lifecycle)> {
    catalog.iter().map(|r| (r.id.clone(), r.sequence, r.lifecycle)).collect()
}

/// A fixed seed makes the cases the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    /// Processes that received the same changes agree, in whatever order and however often each change arrived.
    #[test]
    fn merge_is_commutative_and_idempotent(changes in changes(), order in any::<u64>()) {
        let mut processes = [Catalog::default(), Catalog::default(), Catalog::default()];
        let mut deltas = Vec::new();
        for (at, id, sequence, lifecycle) in changes {
            let accepted = processes[at as usize].accept(NOW, Origin(at), registration(id, sequence, lifecycle));
            if let Some(entry) = accepted {
                let mut delta = CatalogDelta { entries: vec![entry.clone()], ..CatalogDelta::default() };
                delta.vector.advance(entry.origin, entry.change);
                deltas.push(delta);
            }
        }
        let (mut forward, mut mixed) = (Catalog::default(), Catalog::default());
        for delta in &deltas {
            forward.merge(NOW, delta.clone());
        }
        for step in 0..deltas.len() * 3 {
            let at = (order.wrapping_mul(step as u64 + 1) >> 7) as usize % deltas.len();
            mixed.merge(NOW, deltas[at].clone());
        }
        for delta in deltas.iter().rev() {
            mixed.merge(NOW, delta.clone());
        }
        prop_assert_eq!(content(&forward), content(&mixed));
    }

    /// A delta for a vector has exactly the changes that the receiver lacks.
    #[test]
    fn delta_by_vector_has_all_missing_changes(changes in changes(), split in 0usize..60) {
        let (mut source, mut sink) = (Catalog::default(), Catalog::default());
        for (number, (at, id, sequence, lifecycle)) in changes.into_iter().enumerate() {
            if number == split {
                sink.merge(NOW, source.delta(sink.vector()));
            }
            source.accept(NOW, Origin(at), registration(id, sequence, lifecycle));
        }
        let delta = source.delta(sink.vector());
        sink.merge(NOW, delta);
        prop_assert_eq!(content(&source), content(&sink));
        prop_assert!(!source.has_changes_for(sink.vector()));
        prop_assert!(source.delta(sink.vector()).entries.is_empty());
    }

    #[test]
    fn leaving_backend_never_becomes_ready_again(changes in changes()) {
        let mut catalog = Catalog::default();
        let mut leaving = std::collections::BTreeSet::new();
        for (at, id, sequence, lifecycle) in changes {
            catalog.accept(NOW, Origin(at), registration(id, sequence, lifecycle));
            if lifecycle.is_leaving() {
                leaving.insert(format!("i-{id}"));
            }
            for id in &leaving {
                prop_assert!(catalog.get(id).is_some_and(|e| e.registration.lifecycle.is_leaving()));
            }
        }
    }

    /// Two catalogs whose vectors do not show that they differ agree after an exchange of ranges.
    #[test]
    fn repair_by_ranges_makes_catalogs_equal(a in changes(), b in changes()) {
        let (mut one, mut two) = (Catalog::default(), Catalog::default());
        for (at, id, sequence, lifecycle) in a {
            one.accept(NOW, Origin(at), registration(id, sequence, lifecycle));
        }
        for (at, id, sequence, lifecycle) in b {
            two.accept(NOW, Origin(at), registration(id, sequence, lifecycle));
        }
        let to_two = one.repair(&two.digests(), two.vector(), Coverage::Partial);
        let to_one = two.repair(&one.digests(), one.vector(), Coverage::Partial);
        two.merge(NOW, to_two);
        one.merge(NOW, to_one);
        prop_assert_eq!(one.digests(), two.digests());
    }
}

#[test]
fn repair_sends_only_ranges_that_differ() {
    let (mut one, mut two) = (Catalog::default(), Catalog::default());
    for id in 0..200 {
        one.accept(NOW, Origin(1), registration(id, 1, Lifecycle::Ready));
        two.accept(NOW, Origin(1), registration(id, 1, Lifecycle::Ready));
    }
    assert!(!one.differs_from(&two.digests()));
    one.accept(NOW, Origin(1), registration(201, 1, Lifecycle::Ready));
    assert!(one.differs_from(&two.digests()));
    let sent = one.repair(&two.digests(), two.vector(), Coverage::Partial).entries.len();
    assert!((1..60).contains(&sent), "sent {sent} of 201 entries although only one differs");
}

#[test]
fn departed_registration_is_purged_after_retention() {
    let mut catalog = Catalog::default();
    catalog.accept(NOW, Origin(1), registration(1, 1, Lifecycle::Ready));
    catalog.accept(NOW, Origin(1), registration(2, 1, Lifecycle::Departed));
    catalog.purge(NOW + DEPARTED_RETENTION_MS - 1);
    assert_eq!(catalog.iter().count(), 2);
    catalog.purge(NOW + DEPARTED_RETENTION_MS);
    assert_eq!(catalog.iter().map(|r| r.id.as_str()).collect::<Vec<_>>(), ["i-1"]);
}

#[test]
fn lease_expires_once_and_reordered_heartbeat_does_not_renew_it() {
    let mut leases = Leases::default();
    assert!(leases.renew(100, "a", 5));
    assert!(!leases.renew(200, "a", 4), "a reordered heartbeat does not renew the lease");
    assert!(leases.expire(199, 100).is_empty());
    let expired = leases.expire(200, 100);
    assert_eq!(expired.len(), 1);
    assert_eq!((expired[0].id.as_str(), expired[0].last_heartbeat.sequence), ("a", 5));
    assert!(leases.expire(900, 100).is_empty());
}

#[test]
fn version_vector_tracks_each_origin_separately() {
    let mut vector = VersionVector::default();
    vector.advance(Origin(1), 4);
    vector.advance(Origin(2), 9);
    vector.advance(Origin(1), 3);
    assert_eq!((vector.of(Origin(1)), vector.of(Origin(2)), vector.of(Origin(3))), (4, 9, 0));
}
