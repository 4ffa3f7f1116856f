//! Checks how long a request counts.

use super::*;

#[test]
fn a_request_counts_until_its_response_has_been_sent() {
    let active = Rc::default();
    let connection = ConnectionActivity::new(&active);
    assert_eq!(active.get(), 0);
    for _ in 0..2 {
        let request = connection.begin();
        assert_eq!(active.get(), 1);
        drop(request);
        assert_eq!(active.get(), 0, "an idle connection does not delay a shutdown");
    }
}

/// Guards against a shutdown that ends the process while a part of a response has not been written yet.
#[test]
fn a_closing_connection_counts_until_it_has_ended() {
    let active = Rc::default();
    for begun_before_closing in [true, false] {
        let connection = ConnectionActivity::new(&active);
        let request = begun_before_closing.then(|| connection.begin());
        connection.close();
        let request = request.unwrap_or_else(|| connection.begin());
        drop(request);
        assert_eq!(active.get(), 1, "{begun_before_closing}");
        drop(connection);
        assert_eq!(active.get(), 0, "{begun_before_closing}");
    }
}

#[test]
fn a_connection_without_a_request_does_not_count() {
    let active = Rc::default();
    let connection = ConnectionActivity::new(&active);
    connection.close();
    assert_eq!(active.get(), 0);
}
