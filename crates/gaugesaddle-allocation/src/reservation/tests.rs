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

fn reservation(member: u16) -> Reservation {
    Reservation::new(terms(), member, 100 + u32::from(member), Time(0)).expect("valid terms")
}

#[test]
fn entitlements_sum_to_the_total_and_are_usable_after_the_predecessors_leases() {
    assert_eq!((0..3).map(|p| terms().entitlement(p)).collect::<Vec<_>>(), [4, 3, 3]);
    let own = reservation(0);
    assert_eq!(own.usable(Time(S / 10)), 0);
    assert_eq!(own.usable(Time(S / 9)), 1, "units that are never leased, after a grace period");
    assert_eq!(own.usable(Time(3 * S)), 4);
    let error = |t: ReservationTerms| t.validate().expect_err("invalid terms").to_string();
    assert_eq!(error(ReservationTerms { members: 0, ..terms() }), "members: expected at least one");
    assert_eq!(
        error(ReservationTerms { reserved_percent: 101, ..terms() }),
        "reserved_percent: expected 0 to 100"
    );
    assert_eq!(
        error(ReservationTerms { lease_duration: Micros(0), ..terms() }),
        "lease_duration: expected at least 64 us"
    );
    assert!(Reservation::new(terms(), 3, 1, Time(0)).is_err());
}

#[test]
fn a_lease_moves_units_after_a_grace_period_and_ends_first_at_the_borrower() {
    let (mut lender, mut borrower) = (reservation(0), reservation(1));
    let now = Time(5 * S);
    let request = borrower.request(now, 0, 9).expect("fewer than the maximum of leases");
    let grant = lender.handle(now, 1, request, 9).expect("an answer");
    let LeaseMessage::Grant { units: 3, .. } = grant else {
        panic!("expected all units but the reserved ones: {grant:?}")
    };
    assert_eq!(lender.usable(now), 1, "the lender cannot use granted units any more");
    assert_eq!(lender.handle(now, 1, request, 9), Some(grant), "a repeated request grants no further units");
    borrower.handle(now, 0, grant, 0);
    borrower.handle(now, 0, grant, 0);
    assert_eq!(borrower.usable(now), 3, "not before the end of the grace period");
    assert_eq!(borrower.usable(now + Micros(S / 9)), 6, "a duplicated grant counts once");
    let ends = (0..400).map(|n| now + Micros(n * S / 100));
    let both_usable = |t: Time| lender.usable(t) + borrower.usable(t);
    assert!(ends.clone().all(|t| both_usable(t) <= 7), "never more than both entitlements");
    assert_eq!(both_usable(now + Micros(3 * S)), 7, "the full entitlements again");
}

#[test]
fn released_units_return_after_a_grace_period_and_a_late_grant_is_unusable() {
    let (mut lender, mut borrower) = (reservation(0), reservation(1));
    let now = Time(5 * S);
    let request = borrower.request(now, 0, 2).expect("fewer than the maximum of leases");
    let grant = lender.handle(now, 1, request, 9).expect("an answer");
    borrower.handle(now, 0, grant, 0);
    let later = now + Micros(S / 2);
    let release = borrower.release(later, 0).expect("a borrowed lease");
    assert_eq!(borrower.usable(later), 3);
    assert_eq!(borrower.release(later, 0), None);
    lender.handle(later, 1, release, 0);
    assert_eq!((lender.usable(later), lender.usable(later + Micros(S / 9))), (2, 4));
    lender.handle(later, 2, release, 0);
    // A duplicate of the grant arrives late: the borrower has no pending request for it.
    borrower.handle(later, 0, grant, 0);
    assert_eq!(borrower.usable(later + Micros(S / 9)), 3);
    let mut slow_borrower = reservation(2);
    let request = slow_borrower.request(now, 0, 2).expect("fewer than the maximum of leases");
    let grant = lender.handle(now + Micros(3 * S), 2, request, 9).expect("an answer");
    slow_borrower.handle(now + Micros(3 * S), 0, grant, 0);
    assert_eq!(slow_borrower.usable(now + Micros(4 * S)), 3, "the lease has ended by the borrower's clock");
}

#[test]
fn a_renewed_lease_continues_without_a_grace_period_and_a_released_one_is_not_renewed() {
    let (mut lender, mut borrower) = (reservation(0), reservation(1));
    let mut now = Time(5 * S);
    let request = borrower.request(now, 0, 3).expect("fewer than the maximum of leases");
    let grant = lender.handle(now, 1, request, 9).expect("an answer");
    borrower.handle(now, 0, grant, 0);
    assert_eq!(borrower.renew(now, 2), None, "no such lease");
    for _ in 0..5 {
        now = now + Micros(3 * S / 2);
        let renew = borrower.renew(now, 0).expect("a borrowed lease");
        let grant = lender.handle(now, 1, renew, 1).expect("an answer");
        borrower.handle(now, 0, grant, 0);
        let later = now + Micros(S);
        assert_eq!((borrower.usable(later), lender.usable(later)), (6, 1));
    }
    // A renewal is lost and sent again; the answer to the older one is ignored.
    let lost_renewal = borrower.renew(now, 0).expect("a borrowed lease");
    let repeated = borrower.renew(now + Micros(S / 2), 0).expect("a borrowed lease");
    let late_grant = lender.handle(now + Micros(S / 2), 1, lost_renewal, 1).expect("an answer");
    borrower.handle(now + Micros(S / 2), 0, late_grant, 0);
    assert_eq!(borrower.usable(now + Micros(9 * S / 4)), 3);
    let refused = lender.handle(now + Micros(S / 2), 1, repeated, 0).expect("an answer");
    assert!(matches!(refused, LeaseMessage::Grant { units: 0, .. }), "the lender has no spare units");
    let release = borrower.release(now + Micros(S), 0).expect("a borrowed lease");
    lender.handle(now + Micros(S), 1, release, 0);
    let after_release = lender.handle(now + Micros(S), 1, repeated, 9).expect("an answer");
    assert!(matches!(after_release, LeaseMessage::Grant { units: 0, .. }), "the lease was released");
}

#[test]
fn tables_are_bounded_and_invalid_messages_are_refused() {
    let mut borrower = reservation(1);
    let now = Time(5 * S);
    assert!((0..MAX_LEASES).all(|_| borrower.request(now, 0, 1).is_some()));
    assert_eq!(borrower.request(now, 0, 1), None);
    assert!(borrower.request(now + Micros(3 * S), 0, 1).is_some(), "requests without an answer expire");
    assert_eq!(borrower.request(now, 1, 1), None, "a request to itself");
    assert_eq!(borrower.request(now, 7, 1), None);
    let mut lender =
        Reservation::new(ReservationTerms { total: 1000, ..terms() }, 0, 1, Time(0)).expect("valid terms");
    let request = |number: u32| LeaseMessage::Request { id: LeaseId { boot: 7, number }, units: 1 };
    for number in 0..200 {
        lender.handle(now, 1, request(number), 1000);
    }
    assert_eq!(lender.granted(now), MAX_LEASES as u32);
    assert_eq!(lender.handle(now, 9, request(0), 1000), None, "no such member");
    let unrequested = LeaseMessage::Grant { id: LeaseId { boot: 9, number: 0 }, sequence: 0, units: 1000 };
    lender.handle(now, 1, unrequested, 0);
    assert_eq!(lender.usable(now + Micros(S)), 334 - 64);
}
