use super::*;

#[test]
fn a_rise_counts_at_once_and_is_forgotten_after_a_while() {
    let mut trip = RoundTrip::new(Micros(50_000));
    let at = |ms: u64| Time(1_000_000 + ms * 1000);
    assert_eq!(trip.get(at(0)), Micros(50_000));
    (0..100).for_each(|n| trip.add(at(n), Micros(4_000)));
    assert_eq!(trip.get(at(100)), Micros(4_000));
    trip.add(at(110), Micros(40_000));
    assert_eq!(trip.get(at(111)), Micros(40_000), "tenfold within a second");
    (0..31).for_each(|n| trip.add(at(200 + n), Micros(4_000)));
    assert_eq!(trip.get(at(300)), Micros(40_000), "one in thirty-two");
    trip.add(at(301), Micros(4_000));
    assert_eq!(trip.get(at(302)), Micros(4_000));
    assert_eq!(trip.get(at(60_000)), Micros(50_000), "long ago says nothing");
}

#[test]
fn a_hop_tells_strictly_less_than_it_has() {
    let ms = |n: u64| Micros(n * 1000);
    assert_eq!(onward(ms(250), ms(40), ms(10)), Some(ms(200)));
    assert_eq!(onward(ms(50), ms(40), ms(10)), None, "nothing is left");
    assert_eq!(onward(ms(30), ms(40), ms(10)), None, "under the round trip");
    assert_eq!(onward(Micros(250_999), Micros(0), Micros(0)), Some(ms(249)));
    assert_eq!(onward(ms(1), Micros(0), Micros(0)), None);
    assert_eq!(onward(Micros(u64::MAX), Micros(u64::MAX), ms(1)), None);
}
