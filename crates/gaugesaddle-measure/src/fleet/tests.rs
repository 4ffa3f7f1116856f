use super::*;

fn add_text(log: &str, seconds: &mut BTreeMap<u64, Second>) {
    add_log(log.lines().map(String::from), seconds);
}

#[test]
fn figures_are_aggregated_by_second_and_counters_restart_with_their_proxy() {
    let mut seconds = BTreeMap::new();
    add_text(
        "1.2 T INFO x: standing: rate=5.0 arrivals=6.0 admit=0.5 pool=4 out=2 held=1 ready=12 shed=3 late=1\n\
         1.3 T INFO x: backend 7 ejected: TimedOut\n\
         2.2 T INFO x: standing: rate=5.0 arrivals=6.0 admit=1.0 pool=4 out=2 held=0 ready=12 shed=5 late=1\n\
         3.1 T INFO x: standing: rate=1.0 arrivals=1.0 admit=1.0 pool=4 out=0 held=0 ready=12 shed=1 late=0\n",
            &mut seconds,
        );
    add_text(
        "1.9 T INFO x: standing: rate=2.0 arrivals=2.0 admit=1.0 pool=4 out=1 held=0 ready=10 shed=1\n\
         2.0 T WARN x: discovery: status 503\nno time at all\n",
        &mut seconds,
    );
    let f = |at: u64, key: &str| seconds[&at].figures[key];
    assert_eq!((seconds[&1].proxies, f(1, "arrivals"), f(1, "admit"), f(1, "shed")), (2, 8.0, 1.5, 4.0));
    assert_eq!((f(2, "shed"), f(2, "late"), f(3, "shed")), (2.0, 0.0, 1.0));
    assert_eq!((seconds[&1].ejected["TimedOut"], seconds[&2].discovery), (1, 1));
}

#[test]
fn timestamps_are_parsed_and_a_folder_without_figures_is_an_error() {
    assert_eq!(second_of("2026-01-02T03:04:05.9Z INFO x"), Some(11_045));
    assert_eq!((second_of("-1 x"), second_of("words"), second_of("")), (None, None, None));
    let none = std::env::temp_dir().join(format!("gaugesaddle-no-logs-{}", std::process::id()));
    assert!(measure(&none).is_err_and(|e| e.to_string().starts_with("logs: ")));
}
