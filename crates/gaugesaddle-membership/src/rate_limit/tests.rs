use super::*;

#[test]
fn replies_are_limited_to_the_burst_and_refill_with_time() {
    let mut limit = ReplyLimit::new(Time(0));
    let mut taken = |now| (0..1000).filter(|_| limit.try_take(now)).count();
    assert_eq!(taken(Time(0)), REPLY_BURST as usize);
    assert_eq!(taken(Time(10_000)), 20, "2,000 a second");
    assert_eq!(taken(Time(60_000_000)), REPLY_BURST as usize, "no more than the burst");
}

#[test]
fn the_budget_carries_over_a_limited_credit() {
    let mut budget = ByteBudget::new(Time(0));
    budget.spend(Time(0), 1000, 10_000);
    assert_eq!(budget.available_at(), Time(100_000));
    budget.spend(Time(0), 1000, 10_000);
    assert_eq!(budget.available_at(), Time(200_000));
    budget.spend(Time(1_000_000), 1000, 10_000);
    assert_eq!(budget.available_at(), Time(1_000_000 - MAX_BUDGET_CREDIT.0 + 100_000));
}
