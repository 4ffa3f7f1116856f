use super::*;

#[test]
fn each_hop_appends_a_region_and_decrements_the_remaining_hops() {
    let first = Via::next_hop(None, "north", "south", 2).expect("eligible");
    assert_eq!(first.header_value(), "north;left=1");
    let received = Via::parse(&first.header_value(), "north").expect("as written");
    assert_eq!(received, first);
    assert_eq!(received.check_entry("south"), Ok(()));
    let second = Via::next_hop(Some(&received), "south", "west", 4).expect("one hop remains");
    assert_eq!(second.header_value(), "north, south;left=0");
    let received = Via::parse(&second.header_value(), "south").expect("as written");
    assert_eq!(Via::next_hop(Some(&received), "west", "east", 4), Err(Ineligible::HopsExhausted));
}

#[test]
fn no_region_is_visited_twice() {
    let via = Via::next_hop(None, "north", "south", 4).expect("eligible");
    assert_eq!(Via::next_hop(Some(&via), "south", "north", 4), Err(Ineligible::AlreadyVisited));
    assert_eq!(Via::next_hop(Some(&via), "south", "south", 4), Err(Ineligible::AlreadyVisited));
    assert_eq!(
        via.check_entry("north"),
        Err(Ineligible::AlreadyVisited),
        "the region that forwarded the request must not accept it"
    );
    assert_eq!(Via::next_hop(Some(&via), "north", "west", 4), Err(Ineligible::AlreadyVisited));
    assert_eq!(Via::next_hop(None, "north", "south", 0), Err(Ineligible::HopsExhausted));
}

#[test]
fn invalid_headers_are_rejected_with_a_specific_error() {
    let many = (0..1000).map(|n| format!("r{n}")).collect::<Vec<_>>().join(", ");
    for (header, expected) in [
        ("north", ViaError::InvalidHops),
        ("north;left=", ViaError::InvalidHops),
        ("north;left=5", ViaError::InvalidHops),
        ("north;left=10", ViaError::InvalidHops),
        ("north;left=-1", ViaError::InvalidHops),
        (";left=1", ViaError::InvalidName),
        ("North;left=1", ViaError::InvalidName),
        ("north,;left=1", ViaError::InvalidName),
        ("-north;left=1", ViaError::InvalidName),
        ("no rth;left=1", ViaError::InvalidName),
        ("north;left=1, north;left=1", ViaError::InvalidName),
        ("north, south, north;left=1", ViaError::DuplicateRegion),
        ("a, b, c, d, north;left=1", ViaError::TooLong),
        ("north, south;left=1", ViaError::WrongSender),
    ] {
        assert_eq!(Via::parse(header, "north"), Err(expected), "{header}");
    }
    assert_eq!(Via::parse(&format!("{many}, north;left=1"), "north"), Err(ViaError::TooLong));
}
