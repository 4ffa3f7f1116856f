use super::*;

fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

fn at(n: u64) -> Time {
    Time(1_000_000_000 + n * 1000)
}

fn link() -> Link {
    Link::new(Terms {
        me: "north".into(),
        name: "south".into(),
        per_s: 10,
        burst: 10,
        in_flight: 3,
        classes: vec![(None, 8.0), (None, 1.0)],
        share: Share { proxies: 1, position: 0 },
        hops: 1,
        round_trip: ms(40),
        margin: ms(10),
    })
}

fn served(took: u64, there: u64) -> HopEnd {
    HopEnd { fate: Fate::Ran, took: ms(took), there: Some(ms(there)), retry_after: None, lost: false }
}

#[test]
fn a_request_leaves_with_a_shorter_time_and_its_path() {
    let mut link = link();
    let (path, told) = link.leave(at(0), 0, ms(250), None, 1.0).expect("room");
    assert_eq!((path.text().as_str(), told), ("north;left=0", ms(200)));
    link.ended(at(60), served(60, 50), 0.5);
    let (_, told) = link.leave(at(70), 0, ms(250), None, 1.0).expect("room");
    assert_eq!(told, ms(230), "the measured way, 10 ms, and the margin");
    assert_eq!(link.figures().ran, 1);
}

#[test]
fn each_refusal_is_counted_as_what_it_is_and_takes_no_place() {
    let mut link = link();
    let came = Path::parse("south;left=1", "south").expect("sound");
    assert_eq!(
        link.leave(at(0), 0, ms(250), Some(&came), 1.0),
        Err(Refused::Barred(Barred::Been)),
        "both fail over to each other"
    );
    let spent = Path::parse("west;left=0", "west").expect("sound");
    assert_eq!(link.leave(at(0), 0, ms(250), Some(&spent), 1.0), Err(Refused::Barred(Barred::Spent)));
    assert_eq!(link.leave(at(0), 0, ms(45), None, 1.0), Err(Refused::TooLate));
    assert_eq!(link.leave(at(0), 0, ms(250), None, 0.0), Err(Refused::Budget), "nothing is open");
    (0..3).for_each(|_| assert!(link.leave(at(0), 0, ms(250), None, 1.0).is_ok()));
    assert_eq!(link.leave(at(0), 0, ms(250), None, 1.0), Err(Refused::Budget), "three in flight");
    let f = link.figures();
    assert_eq!((f.sent, f.barred, f.too_late, f.over_budget), (3, 2, 1, 2));
}

#[test]
fn a_silent_link_is_left_alone_for_a_while_and_its_way_is_no_longer_for_it() {
    let mut link = link();
    link.leave(at(0), 0, ms(250), None, 1.0).expect("room");
    let lost = HopEnd { fate: Fate::MayHaveRun, took: ms(200), there: None, retry_after: None, lost: true };
    link.ended(at(200), lost, 0.5);
    assert_eq!(link.leave(at(210), 0, ms(900), None, 1.0), Err(Refused::Backoff));
    assert_eq!(link.room(at(210), 0, 1.0), 0);
    assert!(link.leave(at(500), 0, ms(205), None, 1.0).is_ok());
}

#[test]
fn a_refusal_is_kept_to_and_its_place_is_free_again() {
    let mut link = link();
    link.leave(at(0), 0, ms(250), None, 1.0).expect("room");
    let full = HopEnd {
        fate: Fate::NotRun,
        took: ms(20),
        there: Some(ms(1)),
        retry_after: Some(ms(1000)),
        lost: false,
    };
    link.ended(at(20), full, 0.5);
    assert_eq!(link.paused(at(21)), Some(at(1520)));
    assert_eq!(link.used(at(21))[0], (0, 3));
    assert_eq!(link.leave(at(1519), 0, ms(250), None, 1.0), Err(Refused::Backoff));
    assert!(link.leave(at(1520), 0, ms(250), None, 1.0).is_ok());
}
