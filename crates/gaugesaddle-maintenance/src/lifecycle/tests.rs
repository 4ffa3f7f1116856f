use super::*;

const T: Time = Time(10_000_000);

#[test]
fn a_drain_keeps_the_listener_and_lets_go_of_idle_clients_in_time() {
    let mut l = Lifecycle::default();
    assert!(l.welcomes() && l.listens(T) && !l.closes_idle(T));
    l.drain(T);
    assert!(!l.welcomes() && !l.is_stopping() && l.listens(T + Micros(60_000_000)));
    assert!(!l.closes_idle(T + Micros(1_400_000)) && l.closes_idle(T + IDLE_CLOSE));
    l.drain(T + Micros(1_000_000));
    assert!(l.closes_idle(T + IDLE_CLOSE), "told again, it does not begin anew");
    assert!(l.rejoin() && l.welcomes() && !l.closes_idle(T + Micros(9_000_000)));
}

#[test]
fn an_end_is_final_and_listens_on_only_where_nobody_succeeds() {
    let (mut alone, mut succeeded) = (Lifecycle::default(), Lifecycle::default());
    succeeded.drain(T);
    alone.stop(T, false);
    succeeded.stop(T, true);
    assert!(alone.listens(T + Micros(499_999)) && !alone.listens(T + LISTEN_ON));
    assert!(!succeeded.listens(T), "the other process has the clients");
    assert!(alone.closes_idle(T + LISTEN_ON) && !succeeded.closes_idle(T + LISTEN_ON));
    for l in [&mut alone, &mut succeeded] {
        let phase = l.phase();
        l.drain(T);
        l.stop(T + Micros(5), false);
        assert!(!l.rejoin() && l.phase() == phase && l.is_stopping() && !l.welcomes());
    }
}
