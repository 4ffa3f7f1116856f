use super::*;

#[test]
fn a_path_grows_by_one_region_a_hop_and_ends_with_its_hops() {
    let first = Path::onward(None, "north", "south", 2).expect("free");
    assert_eq!(first.text(), "north;left=1");
    let read = Path::parse(&first.text(), "north").expect("as written");
    assert_eq!(read, first);
    assert_eq!(read.enters("south"), Ok(()));
    let second = Path::onward(Some(&read), "south", "west", 4).expect("one hop is left");
    assert_eq!(second.text(), "north, south;left=0");
    let third = Path::parse(&second.text(), "south").expect("as written");
    assert_eq!(Path::onward(Some(&third), "west", "east", 4), Err(Barred::Spent));
}

#[test]
fn nothing_goes_back_to_where_it_was() {
    let path = Path::onward(None, "north", "south", 4).expect("free");
    assert_eq!(Path::onward(Some(&path), "south", "north", 4), Err(Barred::Been));
    assert_eq!(Path::onward(Some(&path), "south", "south", 4), Err(Barred::Been));
    assert_eq!(path.enters("north"), Err(Barred::Been), "its own region must not take it in again");
    assert_eq!(Path::onward(Some(&path), "north", "west", 4), Err(Barred::Been));
    assert_eq!(Path::onward(None, "north", "south", 0), Err(Barred::Spent));
}

#[test]
fn a_header_that_is_no_path_is_told_why() {
    let many = (0..1000).map(|n| format!("r{n}")).collect::<Vec<_>>().join(", ");
    for (header, expected) in [
        ("north", PathError::Left),
        ("north;left=", PathError::Left),
        ("north;left=5", PathError::Left),
        ("north;left=10", PathError::Left),
        ("north;left=-1", PathError::Left),
        (";left=1", PathError::Name),
        ("North;left=1", PathError::Name),
        ("north,;left=1", PathError::Name),
        ("-north;left=1", PathError::Name),
        ("no rth;left=1", PathError::Name),
        ("north;left=1, north;left=1", PathError::Name),
        ("north, south, north;left=1", PathError::Twice),
        ("a, b, c, d, north;left=1", PathError::Long),
        ("north, south;left=1", PathError::Sender),
    ] {
        assert_eq!(Path::parse(header, "north"), Err(expected), "{header}");
    }
    assert_eq!(Path::parse(&format!("{many}, north;left=1"), "north"), Err(PathError::Long));
}
