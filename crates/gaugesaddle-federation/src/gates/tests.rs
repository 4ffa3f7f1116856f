use super::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

#[test]
fn ways_take_turns_and_shut_ones_are_passed_over_for_a_moment() {
    let mut gates = Gates::new(3);
    assert_eq!((0..4).filter_map(|_| gates.next(at(0), 0)).collect::<Vec<_>>(), [0, 1, 2, 0]);
    gates.shut(at(0), 1, Shut::Full);
    assert_eq!((0..3).filter_map(|_| gates.next(at(1), 0)).collect::<Vec<_>>(), [2, 0, 2]);
    assert_eq!(gates.next(at(2), 0b101), None, "it has tried the others");
    assert_eq!(gates.again(at(2)), Some(Micros(98_000)));
    assert_eq!(gates.next(at(100), 0b101), Some(1));
    (0..3).for_each(|way| gates.shut(at(200), way, Shut::Full));
    assert_eq!(gates.next(at(299), 0), None);
    assert_eq!(gates.next(at(300), 0), Some(2));
}

#[test]
fn where_all_are_down_one_is_tried_all_the_same() {
    let mut gates = Gates::new(1);
    assert_eq!(gates.ways(), LEAST_WAYS);
    assert_eq!(Gates::new(100).ways(), MOST_WAYS);
    (0..2).for_each(|way| gates.shut(at(0), way, Shut::Down));
    assert_eq!(gates.next(at(1), 0), Some(0));
    assert_eq!(gates.next(at(1), 0b01), None);
    assert_eq!(gates.next(at(1), 0), Some(1), "in turn");
    assert_eq!(gates.again(at(1)), None, "nobody is full");
    gates.shut(at(2), 0, Shut::Full);
    assert_eq!(gates.next(at(3), 0), Some(1));
    gates.shut(at(2), 9, Shut::Full);
}
