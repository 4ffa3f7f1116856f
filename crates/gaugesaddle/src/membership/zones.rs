//! Zone failover in the running proxy: the tier transports reports and messages, `gaugesaddle_failover` decides. The
//! decision is published and logged; it does not shift traffic yet.

use crate::configuration::InvalidKey;
use crate::membership::{LiveMembers, MemberReport, MessageHandler, Tier};
use crate::operations::registry::{Registry, ZoneRow, ZonesView};
use crate::serving::extension::Extension;
use gaugesaddle_allocation::{allocate_by_demand, AllocationLimits, DISCOVERY_TIME};
use gaugesaddle_balancer::{Balancer, Class, Event, Micros, Time};
use gaugesaddle_failover::{
    evaluate, plan, Assessment, Decision, DecisionReplica, DecisionVersion, EscalationLevels,
    EscalationPolicy, EvaluatorSettings, MembershipView, Outgoing, ProxyReport, UnobservedZone,
    ZoneObservation, MAX_ZONES,
};
use gaugesaddle_membership::{Signals, ZoneSignal};
use serde::Deserialize;
use std::cell::RefCell;
use std::rc::Rc;

/// Interval between evaluations, and between rounds of messages: short enough for a decision to reach all members of a
/// large tier within a second.
const OBSERVATION_INTERVAL: Micros = Micros(100_000);
/// Time for which a proxy must be assessed as partitioned before it counts as such: it spans two records, since one may
/// be out of date.
const PARTITIONED_AFTER: Micros = Micros(1_000_000);
/// Difference from the present decision up to which it is not replaced, in 255ths: one twentieth, to ignore noise.
const DECISION_TOLERANCE: u8 = 13;

/// `[failover]`. A change requires a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailoverSection {
    /// Whether all proxies together evaluate the zones.
    pub enabled: bool,
    /// Maximum utilization of a zone, in percent, as long as the capacity of all zones together suffices.
    pub target_percent: u32,
}

impl Default for FailoverSection {
    fn default() -> FailoverSection {
        // Above a utilization of four fifths requests queue, which must not happen in a zone that accepts the excess of
        // another.
        FailoverSection { enabled: false, target_percent: 80 }
    }
}

impl FailoverSection {
    /// Checks the section. `peers`: whether the membership is enabled.
    ///
    /// # Errors
    /// Returns the first invalid key.
    pub fn check(&self, peers: bool) -> Result<(), InvalidKey> {
        if self.enabled && !peers {
            return Err(InvalidKey::new("failover.enabled", "expected peers.enabled = true beside it"));
        }
        match self.target_percent {
            10..=100 => Ok(()),
            got => Err(InvalidKey::new("failover.target_percent", format!("expected 10 to 100, got {got}"))),
        }
    }
}

/// The live members as of the last poll; see [`MembershipView`].
#[derive(Default)]
struct LastView {
    live: Vec<u16>,
    has_majority: bool,
    is_current: bool,
}

/// The replica of the decision and the live members, to which messages from other proxies are applied.
pub struct ReplicaState {
    replica: RefCell<DecisionReplica>,
    view: RefCell<LastView>,
}

impl ReplicaState {
    fn with_replica<T>(&self, operation: impl FnOnce(&mut DecisionReplica, &MembershipView) -> T) -> T {
        let last = self.view.borrow();
        let view =
            MembershipView { live: &last.live, has_majority: last.has_majority, is_current: last.is_current };
        operation(&mut self.replica.borrow_mut(), &view)
    }

    /// Applies an operation that returns whether it has changed the decision; logs the new decision.
    fn update(&self, operation: impl FnOnce(&mut DecisionReplica, &MembershipView) -> bool) {
        if self.with_replica(operation) {
            self.replica.borrow().current().iter().for_each(|current| log_decision(&current.decision));
        }
    }
}

impl MessageHandler for ReplicaState {
    fn handle_message(&self, now: Time, from: u16, body: &[u8], replies: &mut Vec<(u16, Vec<u8>)>) {
        let mut outgoing = Vec::new();
        self.update(|replica, view| replica.receive(now, from, body, view, &mut outgoing));
        replies.extend(outgoing.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
    }
}

fn log_decision(decision: &Decision) {
    let DecisionVersion { epoch, revision } = decision.version;
    let trust: Vec<String> =
        decision.zones.iter().map(|zone| format!("{:.2}", f64::from(zone.trust) / 255.0)).collect();
    tracing::info!(
        "zones: decision {epoch}.{revision} by place {} is in effect; trusted fraction by zone: {}",
        decision.decider,
        trust.join(" ")
    );
}

/// Evaluates the zones and publishes the decision.
pub struct ZoneWatch {
    settings: FailoverSection,
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    state: Rc<ReplicaState>,
    names: Vec<String>,
    priority_weights: Vec<f64>,
    /// Classes by priority weight, the highest first.
    order: Vec<usize>,
    escalations: Vec<EscalationPolicy>,
    /// Time since which most proxies assess this one as partitioned.
    partitioned_since: Option<Time>,
    next: Time,
}

impl ZoneWatch {
    /// Returns `None` if there are more zones than a decision can hold.
    pub fn new(
        settings: FailoverSection, tier: Rc<Tier>, registry: Rc<Registry>, names: &[String],
        classes: &[Class], seed: u64,
    ) -> Option<ZoneWatch> {
        if names.len() > MAX_ZONES {
            return None;
        }
        let replica =
            RefCell::new(DecisionReplica::new(tier.own_index(), names.len(), DECISION_TOLERANCE, seed));
        let state = Rc::new(ReplicaState { replica, view: RefCell::default() });
        tier.add_handler(state.clone());
        let priority_weights: Vec<f64> = classes.iter().map(|class| class.priority_weight).collect();
        let mut order: Vec<usize> = (0..priority_weights.len()).collect();
        order.sort_by(|a, b| priority_weights[*b].total_cmp(&priority_weights[*a]).then(a.cmp(b)));
        let escalations = vec![EscalationPolicy::new(EscalationLevels::default()); names.len()];
        let (names, next) = (names.to_vec(), Time(0));
        Some(ZoneWatch {
            settings,
            tier,
            registry,
            state,
            names,
            priority_weights,
            order,
            escalations,
            partitioned_since: None,
            next,
        })
    }

    fn reports(&self, now: Time, live: &[u16]) -> Vec<ProxyReport> {
        let records = self.tier.reports(now, live);
        let demands: Vec<Option<f64>> = records.iter().map(|record| record.signals.demand_per_s).collect();
        let allocations = allocate_by_demand(&AllocationLimits::default(), &demands);
        let report = |(record, allocation): (MemberReport, f64)| {
            let Signals { arrivals_per_s, zones, .. } = record.signals;
            let observation = |signal: ZoneSignal| ZoneObservation {
                backends: signal.backends,
                unhealthy: signal.unhealthy,
                capacity_per_s: signal.capacity_per_s,
            };
            Some(ProxyReport {
                member: record.index,
                zone: self.names.iter().position(|name| *name == record.zone)?,
                allocation,
                demand_per_s: arrivals_per_s,
                observations: zones.into_iter().map(observation).collect(),
                age: record.age,
            })
        };
        records.into_iter().zip(allocations).filter_map(report).collect()
    }

    /// Returns the decision that follows from an assessment; `None` while the capacity of some zone is unknown.
    fn target_decision(&self, assessment: &Assessment) -> Option<Decision> {
        let trust: Vec<f64> = self.escalations.iter().map(EscalationPolicy::trusted_fraction).collect();
        let capacities: Option<Vec<f64>> = assessment
            .zones
            .iter()
            .zip(&trust)
            .map(|(zone, fraction)| zone.capacity_per_s.map(|capacity| capacity * fraction))
            .collect();
        let demands: Vec<Vec<f64>> = assessment.zones.iter().map(|zone| zone.demand_per_s.clone()).collect();
        let target = f64::from(self.settings.target_percent) / 100.0;
        let plan = plan(target, &demands, &capacities?, &self.priority_weights);
        Decision::from_plan(DecisionVersion::default(), self.tier.own_index(), &plan, &trust, &self.order)
            .ok()
    }

    /// Checks whether this proxy is partitioned: it does not observe zones that most proxies observe. It then continues to
    /// serve, but is not ready, so that it receives no new clients. Returns the names of these zones.
    fn check_partition(&mut self, now: Time, assessment: &Assessment) -> Option<String> {
        let own_index = self.tier.own_index();
        let is_assessed = assessment.partitioned.contains(&own_index);
        self.partitioned_since = if is_assessed { self.partitioned_since.or(Some(now)) } else { None };
        let is_partitioned = self.partitioned_since.is_some_and(|since| now - since >= PARTITIONED_AFTER);
        let unobserved = assessment.unobserved.iter().filter(|u: &&UnobservedZone| u.member == own_index);
        let names: Vec<&str> = unobserved.map(|u| self.names[u.zone].as_str()).collect();
        if self.registry.is_partitioned.replace(is_partitioned) != is_partitioned {
            if is_partitioned {
                tracing::warn!("zones: cut off from {}, which most see: not ready", names.join(", "));
            } else {
                tracing::info!("zones: observes again what most proxies observe: ready");
            }
        }
        is_partitioned.then(|| names.join(", "))
    }

    fn view(&self, now: Time, assessment: &Assessment, unobserved: Option<String>) -> ZonesView {
        let decides = self.state.with_replica(|replica, view| replica.is_decider(view));
        let replica = self.state.replica.borrow();
        let current = replica.current();
        let row = |(z, name): (usize, &String)| {
            let (zone, directive) =
                (&assessment.zones[z], current.map(|c| c.decision.zones[z]).unwrap_or_default());
            ZoneRow {
                name: name.clone(),
                voices: zone.reports,
                against: zone.lost_reports,
                lost: zone.status.is_lost(),
                needs: zone.demand_per_s.iter().sum(),
                can: zone.capacity_per_s,
                trust: f64::from(directive.trust) / 255.0,
                near: (0..self.order.len()).map(|rank| directive.local.class_fraction(rank)).collect(),
                to: f64::from(directive.inbound_fraction) / 255.0,
            }
        };
        ZonesView {
            epoch: current.map_or(0, |c| c.decision.version.epoch),
            round: current.map_or(0, |c| c.decision.version.revision),
            by: current.map(|c| c.decision.decider),
            held_us: current.map_or(0, |c| (now - c.since).0),
            decides,
            cut_off: unobserved,
            blind: assessment.unobserved.iter().map(|u| (u.member, self.names[u.zone].clone())).collect(),
            zones: self.names.iter().enumerate().map(row).collect(),
        }
    }
}

impl Extension for ZoneWatch {
    fn poll(&mut self, now: Time, _: &Balancer, _: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + OBSERVATION_INTERVAL;
        let LiveMembers { configured, since_stall: uptime, indices, .. } = self.tier.live_members(now);
        let (has_majority, is_current) = (indices.len() * 2 > configured, uptime >= DISCOVERY_TIME);
        let reports = self.reports(now, &indices);
        *self.state.view.borrow_mut() = LastView { live: indices, has_majority, is_current };
        let assessment =
            evaluate(&EvaluatorSettings::default(), self.names.len(), self.priority_weights.len(), &reports);
        // While the view is not current, this proxy's report may be the only one, and its assessment that of one proxy.
        for (escalation, zone) in self.escalations.iter_mut().zip(&assessment.zones).filter(|_| is_current) {
            escalation.observe(now, zone.status);
        }
        let target = self.target_decision(&assessment);
        let mut outgoing = Vec::new();
        self.state.update(|replica, view| replica.tick(now, view, target.as_ref(), &mut outgoing));
        self.tier.send_messages(outgoing.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
        let unobserved = self.check_partition(now, &assessment);
        *self.registry.zones.borrow_mut() = Some(self.view(now, &assessment, unobserved));
    }

    fn wake_at(&self) -> Time {
        self.next
    }
}
