use super::*;

const T: Time = Time(10_000_000);

#[test]
fn a_drain_keeps_the_listener_and_closes_idle_connections_in_time() {
    let mut l = Lifecycle::default();
    assert!(l.accepts_clients() && l.listens(T) && !l.closes_idle_connections(T));
    l.drain(T);
    assert!(!l.accepts_clients() && !l.is_stopping() && l.listens(T + Micros(60_000_000)));
    assert!(
        !l.closes_idle_connections(T + Micros(1_400_000)) && l.closes_idle_connections(T + IDLE_CLOSE_DELAY)
    );
    l.drain(T + Micros(1_000_000));
    assert!(l.closes_idle_connections(T + IDLE_CLOSE_DELAY), "a repeated drain does not begin anew");
    assert!(l.rejoin() && l.accepts_clients() && !l.closes_idle_connections(T + Micros(9_000_000)));
}

#[test]
fn a_stop_is_final_and_listens_on_only_without_a_successor() {
    let (mut alone, mut has_successor) = (Lifecycle::default(), Lifecycle::default());
    has_successor.drain(T);
    alone.stop(T, false);
    has_successor.stop(T, true);
    assert!(alone.listens(T + Micros(499_999)) && !alone.listens(T + LISTEN_AFTER_STOP));
    assert!(!has_successor.listens(T), "the other process has the clients");
    assert!(
        alone.closes_idle_connections(T + LISTEN_AFTER_STOP)
            && !has_successor.closes_idle_connections(T + LISTEN_AFTER_STOP)
    );
    for l in [&mut alone, &mut has_successor] {
        let phase = l.phase();
        l.drain(T);
        l.stop(T + Micros(5), false);
        assert!(!l.rejoin() && l.phase() == phase && l.is_stopping() && !l.accepts_clients());
    }
}
