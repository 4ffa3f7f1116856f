use super::*;

/// Lets in what it may of what comes, of which the fleet bears so much, for 20 s.
fn run(pace: &mut Pace, comes: f64, bears: f64) {
    for _ in 0..80 {
        let let_in = pace.per_s().map_or(comes, |p| p.min(comes)) * 0.25;
        let well = let_in.min(bears * 0.25);
        pace.look(0.25, let_in as u32, well as u32, (let_in - well) as u32);
    }
}

#[test]
fn it_falls_to_what_the_fleet_bears_and_rises_with_it() {
    let mut pace = Pace::default();
    run(&mut pace, 400.0, 60.0);
    assert!(pace.per_s().is_some_and(|p| (45.0..80.0).contains(&p)), "{pace:?}");
    run(&mut pace, 400.0, 150.0);
    assert!(pace.per_s().is_some_and(|p| (115.0..200.0).contains(&p)), "{pace:?}");
}

#[test]
fn without_bad_ends_there_is_no_bound_and_a_dead_fleet_keeps_the_least() {
    let mut pace = Pace::default();
    run(&mut pace, 400.0, 500.0);
    assert_eq!(pace.per_s(), None);
    (0..100).for_each(|_| pace.look(1.0, 50, 0, 50));
    assert_eq!(pace.per_s(), Some(LEAST));
    pace.look(1.0, 0, 4, 0);
    assert_eq!(pace.per_s(), Some(LEAST), "an unused rate proves nothing");
}
