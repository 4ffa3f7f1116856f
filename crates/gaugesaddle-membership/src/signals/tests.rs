use super::*;
use crate::member_state::Boot;
use crate::records::Records;

fn signals(scale: f64) -> Signals {
    let zone =
        ZoneSignal { backends: 12.0, unhealthy: 1.0, capacity_per_s: 333.3 * scale, unhealthy_for_s: 4.5 };
    Signals {
        arrivals_per_s: vec![0.0, 12.5 * scale, 90.0],
        in_flight: 7.0,
        rejected_per_s: 0.25,
        demand_per_s: Some(80.0),
        zones: vec![zone; 3],
    }
}

#[test]
fn values_are_exact_to_a_thousandth() {
    let sent = signals(1.0);
    let got = Signals::decode(&sent.encode()).unwrap();
    let close = |a: f64, b: f64| (a - b).abs() <= 0.001 * (1.0 + b);
    assert!(got.arrivals_per_s.iter().zip(&sent.arrivals_per_s).all(|(a, b)| close(*a, *b)), "{got:?}");
    assert!(
        close(got.zones[2].capacity_per_s, 333.3)
            && close(got.demand_per_s.unwrap(), 80.0)
            && close(got.rejected_per_s, 0.25)
    );
    let odd = Signals {
        in_flight: f64::NAN,
        rejected_per_s: -3.0,
        arrivals_per_s: vec![f64::INFINITY],
        ..Signals::default()
    };
    let got = Signals::decode(&odd.encode()).unwrap();
    assert_eq!(
        (got.in_flight, got.rejected_per_s, got.arrivals_per_s[0], got.demand_per_s),
        (0.0, 0.0, 0.0, None)
    );
    let most = Signals { demand_per_s: Some(f64::MAX), ..odd.clone() };
    assert!(Signals::decode(&most.encode()).unwrap().demand_per_s.is_some_and(|n| n > 0.9e15));
}

#[test]
fn other_formats_are_rejected() {
    let good = signals(1.0).encode();
    assert!((0..good.len()).all(|n| Signals::decode(&good[..n]).is_none()));
    let longer = [&good[..], &[0]].concat();
    assert_eq!(Signals::decode(&longer), None);
    assert_eq!(Signals::decode(&[1, 0, 0, 0, 0, 0, 0, 0, 0]), None);
    assert_eq!(Signals::decode(&[FORMAT_VERSION, 17, 0, 0, 0, 0, 0, 0, 0]), None);
}

#[test]
fn totals_count_their_inputs_and_stale_ones() {
    let mut records = Records::new(3);
    records.insert(Time(0), 0, (Boot(1), 1), Micros(0), &signals(1.0).encode());
    records.insert(Time(900_000), 1, (Boot(1), 1), Micros(0), &signals(2.0).encode());
    let totals = Totals::sum(Time(1_000_000), Micros(500_000), (0..3).map(|index| records.get(index)));
    assert_eq!((totals.live, totals.reporting, totals.stale), (3, 2, 1));
    assert_eq!(totals.oldest, Micros(1_000_000));
    assert!((totals.arrivals_per_s[1] - 37.5).abs() < 0.05, "{totals:?}");
}
