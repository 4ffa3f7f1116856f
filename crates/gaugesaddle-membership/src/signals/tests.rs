use super::*;
use crate::claim::Boot;
use crate::records::Records;

fn signals(scale: f64) -> Signals {
    let zone = ZoneSignal { backends: 12.0, ill: 1.0, can_per_s: 333.3 * scale, ill_for_s: 4.5 };
    Signals {
        arrivals: vec![0.0, 12.5 * scale, 90.0],
        held: 7.0,
        given_up: 0.25,
        need: Some(80.0),
        zones: vec![zone; 3],
    }
}

#[test]
fn figures_come_through_right_to_a_thousandth() {
    let sent = signals(1.0);
    let got = Signals::decode(&sent.encode()).unwrap();
    let close = |a: f64, b: f64| (a - b).abs() <= 0.001 * (1.0 + b);
    assert!(got.arrivals.iter().zip(&sent.arrivals).all(|(a, b)| close(*a, *b)), "{got:?}");
    assert!(
        close(got.zones[2].can_per_s, 333.3) && close(got.need.unwrap(), 80.0) && close(got.given_up, 0.25)
    );
    let odd = Signals { held: f64::NAN, given_up: -3.0, arrivals: vec![f64::INFINITY], ..Signals::default() };
    let got = Signals::decode(&odd.encode()).unwrap();
    assert_eq!((got.held, got.given_up, got.arrivals[0], got.need), (0.0, 0.0, 0.0, None));
    let most = Signals { need: Some(f64::MAX), ..odd.clone() };
    assert!(Signals::decode(&most.encode()).unwrap().need.is_some_and(|n| n > 0.9e15));
}

#[test]
fn another_form_is_not_read() {
    let good = signals(1.0).encode();
    assert!((0..good.len()).all(|n| Signals::decode(&good[..n]).is_none()));
    let longer = [&good[..], &[0]].concat();
    assert_eq!(Signals::decode(&longer), None);
    assert_eq!(Signals::decode(&[1, 0, 0, 0, 0, 0, 0, 0, 0]), None);
    assert_eq!(Signals::decode(&[FORM, 17, 0, 0, 0, 0, 0, 0, 0]), None);
}

#[test]
fn totals_say_what_they_rest_on() {
    let mut records = Records::new(3);
    records.take(Time(0), 0, (Boot(1), 1), Micros(0), &signals(1.0).encode());
    records.take(Time(900_000), 1, (Boot(1), 1), Micros(0), &signals(2.0).encode());
    let totals = Totals::of(Time(1_000_000), Micros(500_000), (0..3).map(|place| records.get(place)));
    assert_eq!((totals.living, totals.told, totals.older), (3, 2, 1));
    assert_eq!(totals.oldest, Micros(1_000_000));
    assert!((totals.arrivals[1] - 37.5).abs() < 0.05, "{totals:?}");
}
