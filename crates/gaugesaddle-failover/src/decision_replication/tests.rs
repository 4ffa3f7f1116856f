use super::*;
use crate::decision::ZoneDirective;

const TICK_US: u64 = 20_000;
const ZONES: usize = 3;

struct Datagram {
    from: u16,
    to: u16,
    bytes: Vec<u8>,
}

/// A tier whose proxies tick 50 times per second. Datagrams take one tick; some are lost, and none crosses a partition.
struct Tier {
    /// The replicas by member; `None` where the proxy was killed.
    replicas: Vec<Option<DecisionReplica>>,
    /// The side of the partition, by member.
    sides: Vec<u8>,
    /// The desired decision by member.
    desired: Vec<Decision>,
    in_flight: Vec<Datagram>,
    loss_percent: u64,
    now: u64,
    sent: usize,
    random_state: u64,
}

/// Decisions in these tests differ only in their utilization.
fn decision(utilization: u8) -> Decision {
    Decision { utilization, zones: vec![ZoneDirective::default(); ZONES], ..Decision::default() }
}

impl Tier {
    fn new(members: u16, loss_percent: u64) -> Tier {
        let replica = |member| Some(DecisionReplica::new(member, ZONES, 0, 900 + u64::from(member)));
        Tier {
            replicas: (0..members).map(replica).collect(),
            sides: vec![0; usize::from(members)],
            desired: vec![decision(1); usize::from(members)],
            in_flight: Vec::new(),
            loss_percent,
            now: 0,
            sent: 0,
            random_state: 5,
        }
    }

    fn live_members(&self, side: u8) -> Vec<u16> {
        (0..self.replicas.len())
            .filter(|member| self.replicas[*member].is_some() && self.sides[*member] == side)
            .map(|member| member as u16)
            .collect()
    }

    fn tick(&mut self) {
        self.now += TICK_US;
        let mut sent = Vec::new();
        let in_flight = std::mem::take(&mut self.in_flight);
        for member in 0..self.replicas.len() {
            let live = self.live_members(self.sides[member]);
            let has_majority = live.len() * 2 > self.replicas.len();
            let view = MembershipView { live: &live, has_majority, is_current: true };
            let Some(replica) = &mut self.replicas[member] else { continue };
            let mut out = Vec::new();
            for datagram in in_flight.iter().filter(|datagram| usize::from(datagram.to) == member) {
                replica.receive(Time(self.now), datagram.from, &datagram.bytes, &view, &mut out);
            }
            replica.tick(Time(self.now), &view, Some(&self.desired[member]), &mut out);
            let from = member as u16;
            sent.extend(out.into_iter().map(|Outgoing { to, bytes }| Datagram { from, to, bytes }));
        }
        self.sent += sent.len();
        for datagram in sent {
            self.random_state = mix(self.random_state + 1);
            let is_same_side = self.sides[usize::from(datagram.from)] == self.sides[usize::from(datagram.to)];
            if is_same_side && self.random_state % 100 >= self.loss_percent {
                self.in_flight.push(datagram);
            }
        }
    }

    fn run(&mut self, duration_ms: u64) {
        (0..duration_ms * 1000 / TICK_US).for_each(|_| self.tick());
    }

    fn current(&self, member: u16) -> Option<Decision> {
        let replica = self.replicas[usize::from(member)].as_ref()?;
        replica.current().map(|current| current.decision.clone())
    }

    /// The decision of a side, if all of its members have the same one.
    fn common_decision(&self, side: u8) -> Option<Decision> {
        let members = self.live_members(side);
        let first = self.current(*members.first()?)?;
        members.iter().all(|member| self.current(*member).as_ref() == Some(&first)).then_some(first)
    }

    /// Runs until all of a side have the decision with this utilization; returns the time in milliseconds, and fails
    /// after two seconds.
    fn run_until_converged(&mut self, side: u8, utilization: u8) -> u64 {
        let start = self.now;
        while self.common_decision(side).is_none_or(|common| common.utilization != utilization) {
            assert!(
                self.now - start < 2_000_000,
                "{:?}",
                self.live_members(side).iter().map(|member| self.current(*member)).collect::<Vec<_>>()
            );
            self.tick();
        }
        (self.now - start) / 1000
    }
}

#[test]
fn two_decisions_of_one_version_after_a_decider_restart_converge() {
    let mut tier = Tier::new(5, 0);
    tier.desired = vec![decision(7); 5];
    tier.run_until_converged(0, 7);
    // The decider restarts without any decision, and uses the first version for another one.
    tier.replicas[0] = Some(DecisionReplica::new(0, ZONES, 0, 77));
    tier.desired = vec![decision(3); 5];
    let live = tier.live_members(0);
    let view = MembershipView { live: &live, has_majority: true, is_current: true };
    let restarted = tier.replicas[0].as_mut().expect("restarted replica");
    assert!(restarted.tick(Time(tier.now), &view, Some(&decision(3)), &mut Vec::new()));
    let new = tier.current(0).expect("decision of the restarted decider");
    let former = tier.current(1).expect("previous decision");
    assert!(new.version == former.version && new != former);
    // The restarted decider's transmissions above are lost, and the others already have that version: only anti-entropy can
    // resolve the difference.
    tier.run_until_converged(0, 3);
}

#[test]
fn a_tier_converges_within_a_second_despite_loss_and_a_lost_decider() {
    for (members, loss_percent) in [(3, 0), (30, 33), (300, 0), (300, 33)] {
        let mut tier = Tier::new(members, loss_percent);
        tier.run_until_converged(0, 1);
        tier.run(1000);
        let mut slowest_ms = 0;
        for utilization in 2..8 {
            tier.desired.fill(decision(utilization));
            slowest_ms = slowest_ms.max(tier.run_until_converged(0, utilization));
            tier.run(600);
        }
        assert!(slowest_ms <= 1000, "{members} proxies, {loss_percent}% lost: {slowest_ms} ms");
        // The decider is killed; its successor continues from its version.
        let before = tier.common_decision(0).expect("converged").version;
        tier.replicas[0] = None;
        tier.desired.fill(decision(9));
        tier.run_until_converged(0, 9);
        let after = tier.common_decision(0).expect("converged");
        assert!(after.version > before && after.decider == 1);
        // Without changes each proxy sends two messages per second, and never more than one answer to each.
        tier.run(1000);
        let sent = tier.sent;
        tier.run(10_000);
        let rate = (tier.sent - sent) as f64 / 10.0 / f64::from(members - 1);
        assert!(rate < 2.2, "{rate} messages per second and proxy");
    }
}

#[test]
fn a_minority_decides_for_itself_and_adopts_the_majoritys_decision_after_the_partition() {
    let mut tier = Tier::new(10, 10);
    tier.run_until_converged(0, 1);
    tier.run(1000);
    // The minority consists of the lowest members, which include the former decider.
    (0..4).for_each(|member| tier.sides[member] = 1);
    tier.desired[..4].fill(decision(50));
    tier.desired[4..].fill(decision(60));
    tier.run_until_converged(1, 50);
    tier.run_until_converged(0, 60);
    for utilization in 51..55 {
        tier.run(600);
        tier.desired[..4].fill(decision(utilization));
        tier.run_until_converged(1, utilization);
    }
    let minority = tier.common_decision(1).expect("converged");
    let majority = tier.common_decision(0).expect("converged");
    assert!(
        minority.version.revision >= 4 && majority.version.revision == 0 && majority.supersedes(&minority)
    );
    tier.sides.fill(0);
    tier.desired.fill(decision(60));
    tier.run_until_converged(0, 60);
    let healed = tier.common_decision(0).expect("converged");
    assert_eq!(healed.version, majority.version, "the majority's decision is adopted without a new one");
}

#[test]
fn decisions_are_rate_limited_and_malformed_bytes_are_ignored() {
    let mut tier = Tier::new(4, 0);
    tier.run_until_converged(0, 1);
    tier.run(1000);
    let before = tier.common_decision(0).expect("converged").version.epoch;
    for tick in 0..500u32 {
        tier.desired.fill(decision(10 + (tick % 2) as u8));
        tier.tick();
    }
    let decided = tier.current(0).expect("a decision").version.epoch - before;
    assert!((5..=20).contains(&decided), "{decided} decisions in ten seconds");
    let current = tier.current(1);
    let replica = tier.replicas[1].as_mut().expect("live replica");
    assert!(replica.history().count() <= MAX_HISTORY);
    let mut out = Vec::new();
    let view = MembershipView { live: &[0, 1, 2], has_majority: true, is_current: true };
    for bytes in [&[][..], &[0x80], &[0; 25], &decision(3).encode()[..24]] {
        assert!(!replica.receive(Time(99_000_000), 2, bytes, &view, &mut out));
    }
    assert!(out.is_empty());
    assert_eq!(tier.current(1), current);
    let stalled = MembershipView { live: &[0], has_majority: true, is_current: false };
    assert!(!DecisionReplica::new(0, ZONES, 0, 1).is_decider(&stalled));
}
