use super::*;

#[test]
fn even_allocations_sum_to_the_total() {
    for total in 0..200 {
        for proxies in 1..40 {
            let allocation = |position| EvenAllocation { proxies, position };
            let sum: u32 = (0..proxies).map(|position| allocation(position).of_total(total)).sum();
            assert_eq!(sum, total, "{proxies} proxies");
        }
    }
}

#[test]
fn weighted_allocations_sum_to_the_total() {
    for total in 0..150u32 {
        for proxies in 1..12u32 {
            let demand = |position: u32| f64::from(1 + position * 7 % 5);
            let total_demand: f64 = (0..proxies).map(demand).sum();
            let allocation = |position: u32| WeightedAllocation {
                preceding: (0..position).map(demand).sum::<f64>() / total_demand,
                fraction: demand(position) / total_demand,
                even: EvenAllocation { proxies, position },
            };
            let sum: u32 = (0..proxies).map(|position| allocation(position).of_total(total)).sum();
            assert_eq!(sum, total);
        }
    }
    let even = EvenAllocation { proxies: 1, position: 0 };
    let not_a_number = WeightedAllocation { preceding: f64::NAN, fraction: f64::NAN, even };
    assert_eq!(not_a_number.of_total(7), 0);
}
