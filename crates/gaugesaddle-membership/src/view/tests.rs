use super::*;

fn view(configured: usize, live: usize, dead: usize, departed: usize) -> View {
    let (since_change, since_ack, since_stall) = (Micros(0), Micros(0), Micros(0));
    let unknown = configured - live - dead - departed;
    View {
        configured,
        live,
        suspect: 0,
        dead,
        departed,
        unknown,
        since_change,
        since_ack,
        since_stall,
        health_multiplier: 1,
    }
}

#[test]
fn a_small_tier_is_distinguished_from_a_partitioned_one() {
    assert_eq!(view(300, 300, 0, 0).partition_status(), PartitionStatus::Majority);
    assert_eq!(view(300, 151, 149, 0).partition_status(), PartitionStatus::Majority);
    assert_eq!(
        view(300, 150, 150, 0).partition_status(),
        PartitionStatus::Partitioned,
        "either half of a partition"
    );
    assert_eq!(
        view(300, 30, 0, 0).partition_status(),
        PartitionStatus::Small,
        "many configured, few started"
    );
    assert_eq!(view(300, 20, 10, 0).partition_status(), PartitionStatus::Small);
    assert_eq!(view(300, 10, 20, 0).partition_status(), PartitionStatus::Partitioned);
    assert_eq!(view(30, 3, 0, 27).partition_status(), PartitionStatus::Small, "reduced by departures");
    assert_eq!(view(3, 1, 2, 0).partition_status(), PartitionStatus::Partitioned);
    assert_eq!(view(1, 1, 0, 0).partition_status(), PartitionStatus::Majority);
}
