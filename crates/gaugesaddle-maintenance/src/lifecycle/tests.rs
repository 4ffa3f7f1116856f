use super::*;

const START: Time = Time(10_000_000);

#[test]
fn a_drain_keeps_the_listener_and_closes_idle_connections_in_time() {
    let mut lifecycle = Lifecycle::default();
    assert!(
        lifecycle.accepts_clients() && lifecycle.listens(START) && !lifecycle.closes_idle_connections(START)
    );
    lifecycle.drain(START);
    assert!(
        !lifecycle.accepts_clients()
            && !lifecycle.is_stopping()
            && lifecycle.listens(START + Micros(60_000_000))
    );
    assert!(
        !lifecycle.closes_idle_connections(START + Micros(1_400_000))
            && lifecycle.closes_idle_connections(START + IDLE_CLOSE_DELAY)
    );
    lifecycle.drain(START + Micros(1_000_000));
    assert!(lifecycle.closes_idle_connections(START + IDLE_CLOSE_DELAY), "a repeated drain keeps its start");
    assert!(
        lifecycle.rejoin()
            && lifecycle.accepts_clients()
            && !lifecycle.closes_idle_connections(START + Micros(9_000_000))
    );
}

#[test]
fn a_stop_is_final_and_listens_on_only_without_a_successor() {
    let (mut without_successor, mut with_successor) = (Lifecycle::default(), Lifecycle::default());
    with_successor.drain(START);
    without_successor.stop(START, false);
    with_successor.stop(START, true);
    assert!(
        without_successor.listens(START + Micros(499_999))
            && !without_successor.listens(START + LISTEN_AFTER_STOP)
    );
    assert!(!with_successor.listens(START), "the successor accepts the clients");
    assert!(
        without_successor.closes_idle_connections(START + LISTEN_AFTER_STOP)
            && !with_successor.closes_idle_connections(START + LISTEN_AFTER_STOP)
    );
    for lifecycle in [&mut without_successor, &mut with_successor] {
        let phase = lifecycle.phase();
        lifecycle.drain(START);
        lifecycle.stop(START + Micros(5), false);
        assert!(
            !lifecycle.rejoin()
                && lifecycle.phase() == phase
                && lifecycle.is_stopping()
                && !lifecycle.accepts_clients()
        );
    }
}
