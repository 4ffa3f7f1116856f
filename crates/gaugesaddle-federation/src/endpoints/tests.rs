use super::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

/// The connections selected for `requests` new requests, each without an earlier attempt.
fn select(selector: &mut EndpointSelector, now: Time, requests: usize) -> Vec<usize> {
    (0..requests).filter_map(|_| selector.select(now, 0)).collect()
}

#[test]
fn connections_rotate_and_full_ones_are_skipped_until_their_backoff_ends() {
    let mut selector = EndpointSelector::new(3);
    assert_eq!(select(&mut selector, at(0), 4), [0, 1, 2, 0]);
    selector.mark_unavailable(at(0), 1, Unavailable::Full);
    assert_eq!(select(&mut selector, at(1), 3), [2, 0, 2]);
    assert_eq!(selector.select(at(2), 0b101), None, "the other connections were already attempted");
    assert_eq!(selector.shortest_full_backoff(at(2)), Some(Micros(98_000)));
    assert_eq!(selector.select(at(100), 0b101), Some(1));
    (0..3).for_each(|connection| selector.mark_unavailable(at(200), connection, Unavailable::Full));
    assert_eq!(selector.select(at(299), 0), None);
    assert_eq!(selector.select(at(300), 0), Some(2));
}

#[test]
fn an_unreachable_connection_is_selected_if_no_other_is_available() {
    let mut selector = EndpointSelector::new(1);
    assert_eq!(selector.connections(), MIN_CONNECTIONS);
    assert_eq!(EndpointSelector::new(100).connections(), MAX_CONNECTIONS);
    (0..2).for_each(|connection| selector.mark_unavailable(at(0), connection, Unavailable::Unreachable));
    assert_eq!(selector.select(at(1), 0), Some(0));
    assert_eq!(selector.select(at(1), 0b01), None);
    assert_eq!(selector.select(at(1), 0), Some(1), "unreachable connections rotate too");
    assert_eq!(selector.shortest_full_backoff(at(1)), None, "no connection is full");
    selector.mark_unavailable(at(2), 0, Unavailable::Full);
    assert_eq!(selector.select(at(3), 0), Some(1));
    selector.mark_unavailable(at(2), 9, Unavailable::Full);
}
