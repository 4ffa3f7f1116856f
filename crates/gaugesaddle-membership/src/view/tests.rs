use super::*;

fn view(told: usize, living: usize, dead: usize, left: usize) -> View {
    let (unchanged, answered, awake) = (Micros(0), Micros(0), Micros(0));
    let unseen = told - living - dead - left;
    View { told, living, suspect: 0, dead, left, unseen, unchanged, answered, awake, health: 1 }
}

#[test]
fn a_small_tier_is_told_from_a_torn_one() {
    assert_eq!(view(300, 300, 0, 0).shape(), Shape::Most);
    assert_eq!(view(300, 151, 149, 0).shape(), Shape::Most);
    assert_eq!(view(300, 150, 150, 0).shape(), Shape::Torn, "either half");
    assert_eq!(view(300, 30, 0, 0).shape(), Shape::Small, "told of many, few run");
    assert_eq!(view(300, 20, 10, 0).shape(), Shape::Small);
    assert_eq!(view(300, 10, 20, 0).shape(), Shape::Torn);
    assert_eq!(view(30, 3, 0, 27).shape(), Shape::Small, "shrunk in order");
    assert_eq!(view(3, 1, 2, 0).shape(), Shape::Torn);
    assert_eq!(view(1, 1, 0, 0).shape(), Shape::Most);
}
