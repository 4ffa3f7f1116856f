use super::*;

const S: u64 = 1_000_000;

fn terms() -> ReservationTerms {
    ReservationTerms {
        total: 10,
        members: 3,
        reserved_percent: 25,
        lease_duration: Micros(2 * S),
        grace_period: Micros(S / 10),
    }
}

fn settled(place: u16) -> Reservation {
    Reservation::new(terms(), place, 100 + u32::from(place), Time(0)).expect("sound")
}

#[test]
fn even_parts_are_the_whole_and_come_after_what_a_former_process_may_do() {
    assert_eq!((0..3).map(|p| terms().entitlement(p)).collect::<Vec<_>>(), [4, 3, 3]);
    let one = settled(0);
    assert_eq!(one.usable(Time(S / 10)), 0);
    assert_eq!(one.usable(Time(S / 9)), 1, "what is never lent, after a rest");
    assert_eq!(one.usable(Time(3 * S)), 4);
    let flaw = |t: ReservationTerms| t.validate().expect_err("unsound").to_string();
    assert_eq!(flaw(ReservationTerms { members: 0, ..terms() }), "members: expected at least one");
    assert_eq!(
        flaw(ReservationTerms { reserved_percent: 101, ..terms() }),
        "reserved_percent: expected 0 to 100"
    );
    assert_eq!(
        flaw(ReservationTerms { lease_duration: Micros(0), ..terms() }),
        "lease_duration: expected at least 64 us"
    );
    assert!(Reservation::new(terms(), 3, 1, Time(0)).is_err());
}

#[test]
fn a_loan_moves_units_with_a_rest_between_and_ends_with_the_borrower_first() {
    let (mut lender, mut borrower) = (settled(0), settled(1));
    let now = Time(5 * S);
    let ask = borrower.request(now, 0, 9).expect("room");
    let grant = lender.handle(now, 1, ask, 9).expect("an answer");
    let LeaseMessage::Grant { units: 3, .. } = grant else { panic!("all but what is kept: {grant:?}") };
    assert_eq!(lender.usable(now), 1, "set aside at once");
    assert_eq!(lender.handle(now, 1, ask, 9), Some(grant), "the same question lends nothing more");
    borrower.handle(now, 0, grant, 0);
    borrower.handle(now, 0, grant, 0);
    assert_eq!(borrower.usable(now), 3, "not before the rest");
    assert_eq!(borrower.usable(now + Micros(S / 9)), 6, "once, though granted twice");
    let ends = (0..400).map(|n| now + Micros(n * S / 100));
    let both = |t: Time| lender.usable(t) + borrower.usable(t);
    assert!(ends.clone().all(|t| both(t) <= 7), "never more than the two are entitled to");
    assert_eq!(both(now + Micros(3 * S)), 7, "all of it again");
}

#[test]
fn what_is_given_back_is_the_lenders_after_a_rest_and_a_late_question_lends_nothing_usable() {
    let (mut lender, mut borrower) = (settled(0), settled(1));
    let now = Time(5 * S);
    let ask = borrower.request(now, 0, 2).expect("room");
    let grant = lender.handle(now, 1, ask, 9).expect("an answer");
    borrower.handle(now, 0, grant, 0);
    let later = now + Micros(S / 2);
    let back = borrower.release(later, 0).expect("a loan");
    assert_eq!(borrower.usable(later), 3);
    assert_eq!(borrower.release(later, 0), None);
    lender.handle(later, 1, back, 0);
    assert_eq!((lender.usable(later), lender.usable(later + Micros(S / 9))), (2, 4));
    lender.handle(later, 2, back, 0);
    // The grant comes again, long after: the borrower has no such question open.
    borrower.handle(later, 0, grant, 0);
    assert_eq!(borrower.usable(later + Micros(S / 9)), 3);
    let mut slow = settled(2);
    let ask = slow.request(now, 0, 2).expect("room");
    let grant = lender.handle(now + Micros(3 * S), 2, ask, 9).expect("an answer");
    slow.handle(now + Micros(3 * S), 0, grant, 0);
    assert_eq!(slow.usable(now + Micros(4 * S)), 3, "its time is over by its own count");
}

#[test]
fn a_loan_that_is_renewed_lasts_without_a_rest_and_one_given_back_is_not() {
    let (mut lender, mut borrower) = (settled(0), settled(1));
    let mut now = Time(5 * S);
    let ask = borrower.request(now, 0, 3).expect("room");
    let grant = lender.handle(now, 1, ask, 9).expect("an answer");
    borrower.handle(now, 0, grant, 0);
    assert_eq!(borrower.renew(now, 2), None, "no such loan");
    for _ in 0..5 {
        now = now + Micros(3 * S / 2);
        let renew = borrower.renew(now, 0).expect("a loan");
        let grant = lender.handle(now, 1, renew, 1).expect("an answer");
        borrower.handle(now, 0, grant, 0);
        let later = now + Micros(S);
        assert_eq!((borrower.usable(later), lender.usable(later)), (6, 1));
    }
    // The question is lost, then asked again; the answer to an older one counts for nothing.
    let lost = borrower.renew(now, 0).expect("a loan");
    let again = borrower.renew(now + Micros(S / 2), 0).expect("a loan");
    let late = lender.handle(now + Micros(S / 2), 1, lost, 1).expect("an answer");
    borrower.handle(now + Micros(S / 2), 0, late, 0);
    assert_eq!(borrower.usable(now + Micros(9 * S / 4)), 3);
    let refused = lender.handle(now + Micros(S / 2), 1, again, 0).expect("an answer");
    assert!(matches!(refused, LeaseMessage::Grant { units: 0, .. }), "the lender needs it itself");
    let back = borrower.release(now + Micros(S), 0).expect("a loan");
    lender.handle(now + Micros(S), 1, back, 0);
    let dead = lender.handle(now + Micros(S), 1, again, 9).expect("an answer");
    assert!(matches!(dead, LeaseMessage::Grant { units: 0, .. }), "it was given back");
}

#[test]
fn tables_are_bounded_and_nonsense_is_refused() {
    let mut borrower = settled(1);
    let now = Time(5 * S);
    assert!((0..MAX_LEASES).all(|_| borrower.request(now, 0, 1).is_some()));
    assert_eq!(borrower.request(now, 0, 1), None);
    assert!(borrower.request(now + Micros(3 * S), 0, 1).is_some(), "questions without an answer go");
    assert_eq!(borrower.request(now, 1, 1), None, "of itself");
    assert_eq!(borrower.request(now, 7, 1), None);
    let mut lender =
        Reservation::new(ReservationTerms { total: 1000, ..terms() }, 0, 1, Time(0)).expect("sound");
    let ask = |number: u32| LeaseMessage::Request { id: LeaseId { boot: 7, number }, units: 1 };
    for number in 0..200 {
        lender.handle(now, 1, ask(number), 1000);
    }
    assert_eq!(lender.granted(now), MAX_LEASES as u32);
    assert_eq!(lender.handle(now, 9, ask(0), 1000), None, "no such place");
    let stranger = LeaseMessage::Grant { id: LeaseId { boot: 9, number: 0 }, sequence: 0, units: 1000 };
    lender.handle(now, 1, stranger, 0);
    assert_eq!(lender.usable(now + Micros(S)), 334 - 64);
}
