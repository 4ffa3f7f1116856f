use super::*;

const S: u64 = 1_000_000;

fn listed(count: u64) -> Vec<ListedBackend> {
    (0..count).map(|n| (BackendId(n * 7 + 1), KindId(n % 2), ZoneId(n % 3))).collect()
}

fn dealers(count: usize) -> Vec<Allocator> {
    vec![Allocator::new(AllocatorSettings::default()); count]
}

fn look(dealer: &mut Allocator, at: u64, awake: u64, own: usize, needs: &[Option<f64>]) -> Allocation {
    let places: Vec<u16> = (0..needs.len() as u16).collect();
    let seen = TierView {
        configured: 60,
        uptime: Micros(awake),
        unchanged_for: Micros(0),
        own,
        indices: &places,
        demands: needs,
    };
    dealer.observe(Time(at), &seen, listed(60))
}

#[test]
fn all_take_the_whole_of_each_backend_and_one_that_wakes_keeps_what_it_had() {
    let needs: Vec<Option<f64>> = (0..60).map(|n| Some(1.0 + f64::from(n % 5))).collect();
    let mut all = dealers(60);
    for (own, dealer) in all.iter_mut().enumerate() {
        assert_eq!(look(dealer, 0, S, own, &needs), Allocation::Provisional(1.0), "awake for a second only");
        assert!(dealer.assignments().is_empty());
        let Allocation::ByDemand(tier) = look(dealer, S, 3 * S, own, &needs) else { panic!("it knows") };
        assert_eq!((tier.proxies, tier.position), (60, own as u32));
    }
    for (id, _, _) in listed(60) {
        let of = all.iter().flat_map(super::Allocator::assignments).filter(|u| u.backend == id);
        assert!((of.map(|u| u.fraction).sum::<f64>() - 1.0).abs() < 1e-9);
    }
    let Allocation::ByDemand(tier) = look(&mut all[4], 60 * S, 60 * S, 4, &needs) else { panic!("it knows") };
    assert!((1.5..1.7).contains(&tier.weight), "0.1 and 0.9 of five in three: {tier:?}");
    let (held, uses) = (tier.weight, all[4].assignments().to_vec());
    let Allocation::Provisional(weight) = look(&mut all[4], 61 * S, 0, 4, &needs[..5]) else {
        panic!("it slept")
    };
    assert!((weight - held).abs() < 0.02 && all[4].assignments() == uses);
}

#[test]
fn one_that_starts_goes_by_what_it_sees_once_that_stands_still_and_one_that_slept_does_not() {
    let mut dealer = dealers(1).remove(0);
    let needs = [Some(1.0), Some(1.0), Some(1.0)];
    let mut look = |told: usize, at: u64, awake: u64, still: u64| {
        let (awake, still) = (Micros(awake), Micros(still));
        let seen = TierView {
            configured: told,
            uptime: awake,
            unchanged_for: still,
            own: 0,
            indices: &[0, 7, 9],
            demands: &needs,
        };
        matches!(dealer.observe(Time(at), &seen, listed(60)), Allocation::ByDemand(_))
    };
    assert!(!look(30, S / 4, S / 4, S / 4), "others may not have had the time to answer");
    assert!(!look(30, S, S, S / 10), "they are still being met");
    assert!(!look(3, S, S, S), "as many as were told: even parts will do until needs are known");
    assert!(look(30, S + S / 4, S + S / 4, 3 * S / 10));
    assert!(!look(30, 20 * S, S, 19 * S), "what stands still since it slept says nothing");
    assert!(look(30, 21 * S, 2 * S, 0));
}

#[test]
fn what_cannot_be_seen_changes_nothing() {
    let mut dealer = dealers(1).remove(0);
    let needs = [Some(1.0), None];
    assert!(matches!(look(&mut dealer, 0, 3 * S, 2, &needs), Allocation::Provisional(_)), "no such place");
    let seen = TierView {
        configured: 2,
        uptime: Micros(3 * S),
        unchanged_for: Micros(0),
        own: 0,
        indices: &[0],
        demands: &needs,
    };
    assert!(
        matches!(dealer.observe(Time(0), &seen, listed(3)), Allocation::Provisional(_)),
        "places without needs"
    );
}
