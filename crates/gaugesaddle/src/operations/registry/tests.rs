use super::*;
use gaugesaddle_balancer::Backend;

fn target(id: u64, state: BackendState) -> ListedBackend {
    ListedBackend {
        backend: Backend { id: BackendId(id), state, ..Backend::default() },
        address: ([127, 0, 0, 1], 80).into(),
        name: format!("b{id}").into(),
        zone: "z".into(),
        kind: "k".into(),
    }
}

fn registry() -> Registry {
    let bounds = [Bounds { connections: 4, idle_connections: 1, upstream_sockets: 4, body_bytes: 4 }; 2];
    Registry::new("n1", &["read".into()], bounds, Time(0))
}

#[test]
fn a_row_is_removed_after_its_backend_departs_and_its_last_attempt_ends() {
    let registry = registry();
    let ready = [target(1, BackendState::Ready), target(2, BackendState::Ready)];
    registry.record_list(Time(1), Some(1), true, &ready);
    let row = registry.backend(BackendId(1)).unwrap();
    row.record_sent();
    registry.record_list(Time(2), Some(2), true, &[target(3, BackendState::Ready)]);
    let names = || registry.snapshot(Time(3)).backends.into_iter().map(|b| b.name).collect::<Vec<_>>();
    assert_eq!(names(), ["b1", "b3"], "b2 departed, b1 has an attempt in flight");
    row.record_end(Outcome::Ok, Micros(1000));
    assert_eq!(names(), ["b3"]);
    registry.record_list(
        Time(4),
        Some(3),
        false,
        &[target(3, BackendState::Departed), target(4, BackendState::Departed)],
    );
    assert!(names().is_empty());
}

#[test]
fn latency_quantiles_are_within_the_stated_error() {
    let row = BackendRow::new(target(1, BackendState::Ready));
    for ms in 1..=100 {
        row.record_sent();
        row.record_end(Outcome::Ok, Micros(ms * 1000));
    }
    let view = row.view();
    let assert_within_error = |estimate: Option<u64>, exact_us: f64| {
        let ratio = estimate.unwrap() as f64 / exact_us;
        assert!((0.99..=1.42).contains(&ratio), "estimate {estimate:?} us, exact {exact_us} us");
    };
    assert_within_error(view.latency_p50_us, 50_000.0);
    assert_within_error(view.latency_p99_us, 99_000.0);
    assert_eq!(view.latency_mean_us, Some(50_500));
    assert_eq!((view.attempts, view.in_flight), (100, 0));
}

#[test]
fn extreme_latencies_have_a_bucket() {
    assert_eq!(bucket(Micros(0)), 0);
    assert_eq!(bucket(Micros(500)), 0);
    assert_eq!(bucket(Micros(501)), 1);
    assert_eq!(bucket(Micros(u64::MAX)), BUCKETS - 1);
}
