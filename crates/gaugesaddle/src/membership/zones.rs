//! Zone failover in the running proxy: the tier carries reports and messages, `gaugesaddle_failover` decides. The decision is
//! published, and moves no traffic yet.

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

/// Interval of evaluations and messages: a decision reaches all of a large tier within a second.
const OBSERVATION_INTERVAL: Micros = Micros(100_000);
/// A proxy counts as partitioned after it was found so for this long: over two records, since one may be out of date.
const PARTITIONED_AFTER: Micros = Micros(1_000_000);
/// A difference below this from the present decision, in 255ths, is noise: a twentieth.
const NOISE: u8 = 13;

/// `[failover]`. A change requires a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailoverSection {
    /// Whether zones are evaluated by all proxies together.
    pub enabled: bool,
    /// Maximum utilization of a zone, in percent, as long as all zones together allow it.
    pub target_percent: u32,
}

impl Default for FailoverSection {
    fn default() -> FailoverSection {
        // Above four fifths answers are queued, and a zone that accepts another's excess must not queue as well.
        FailoverSection { enabled: false, target_percent: 80 }
    }
}

impl FailoverSection {
    /// Checks the section. `peers`: whether the membership is enabled.
    ///
    /// # Errors
    /// The first invalid key.
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

/// The live members, as of the last poll; see [`MembershipView`].
#[derive(Default)]
struct LastView {
    live: Vec<u16>,
    has_majority: bool,
    is_current: bool,
}

/// What messages of others are applied to: the present decision, and the live members.
pub struct Zones {
    replica: RefCell<DecisionReplica>,
    view: RefCell<LastView>,
}

impl Zones {
    fn with<T>(&self, act: impl FnOnce(&mut DecisionReplica, &MembershipView) -> T) -> T {
        let looked = self.view.borrow();
        let seen = MembershipView {
            live: &looked.live,
            has_majority: looked.has_majority,
            is_current: looked.is_current,
        };
        act(&mut self.replica.borrow_mut(), &seen)
    }

    /// The same, where it may change the decision: that is logged.
    fn step(&self, act: impl FnOnce(&mut DecisionReplica, &MembershipView) -> bool) {
        if self.with(act) {
            self.replica.borrow().current().iter().for_each(|current| log_decision(&current.decision));
        }
    }
}

impl MessageHandler for Zones {
    fn handle_message(&self, now: Time, from: u16, body: &[u8], answers: &mut Vec<(u16, Vec<u8>)>) {
        let mut out = Vec::new();
        self.step(|replica, seen| replica.receive(now, from, body, seen, &mut out));
        answers.extend(out.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
    }
}

fn log_decision(d: &Decision) {
    let DecisionVersion { epoch, revision } = d.version;
    let trust: Vec<String> = d.zones.iter().map(|z| format!("{:.2}", f64::from(z.trust) / 255.0)).collect();
    tracing::info!(
        "zones: decision {epoch}.{revision} of place {} holds, trust {}",
        d.decider,
        trust.join(" ")
    );
}

/// Evaluates zones and publishes the decision.
pub struct ZoneWatch {
    settings: FailoverSection,
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    zones: Rc<Zones>,
    names: Vec<String>,
    priority_weights: Vec<f64>,
    /// Classes by priority weight, the highest first.
    order: Vec<usize>,
    escalations: Vec<EscalationPolicy>,
    /// Since when most find this proxy partitioned.
    partitioned_since: Option<Time>,
    next: Time,
}

impl ZoneWatch {
    /// `None` where there are more zones than a decision can hold.
    pub fn new(
        settings: FailoverSection, tier: Rc<Tier>, registry: Rc<Registry>, names: &[String],
        classes: &[Class], seed: u64,
    ) -> Option<ZoneWatch> {
        if names.len() > MAX_ZONES {
            return None;
        }
        let replica = RefCell::new(DecisionReplica::new(tier.own_index(), names.len(), NOISE, seed));
        let zones = Rc::new(Zones { replica, view: RefCell::default() });
        tier.add_handler(zones.clone());
        let worth: Vec<f64> = classes.iter().map(|c| c.priority_weight).collect();
        let mut order: Vec<usize> = (0..worth.len()).collect();
        order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]).then(a.cmp(b)));
        let escalations = vec![EscalationPolicy::new(EscalationLevels::default()); names.len()];
        let (names, next) = (names.to_vec(), Time(0));
        Some(ZoneWatch {
            settings,
            tier,
            registry,
            zones,
            names,
            priority_weights: worth,
            order,
            escalations,
            partitioned_since: None,
            next,
        })
    }

    fn reports(&self, now: Time, living: &[u16]) -> Vec<ProxyReport> {
        let records = self.tier.reports(now, living);
        let needs: Vec<Option<f64>> = records.iter().map(|r| r.signals.demand_per_s).collect();
        let parts = allocate_by_demand(&AllocationLimits::default(), &needs);
        let report = |(r, part): (MemberReport, f64)| {
            let Signals { arrivals_per_s, zones, .. } = r.signals;
            let find = |z: ZoneSignal| ZoneObservation {
                backends: z.backends,
                unhealthy: z.unhealthy,
                capacity_per_s: z.capacity_per_s,
            };
            Some(ProxyReport {
                member: r.index,
                zone: self.names.iter().position(|n| *n == r.zone)?,
                allocation: part,
                demand_per_s: arrivals_per_s,
                observations: zones.into_iter().map(find).collect(),
                age: r.age,
            })
        };
        records.into_iter().zip(parts).filter_map(report).collect()
    }

    /// The decision that follows from an assessment; `None` while the capacity of some zone is unknown.
    fn target_decision(&self, assessment: &Assessment) -> Option<Decision> {
        let trust: Vec<f64> = self.escalations.iter().map(EscalationPolicy::trusted_fraction).collect();
        let can: Option<Vec<f64>> = assessment
            .zones
            .iter()
            .zip(&trust)
            .map(|(z, part)| z.capacity_per_s.map(|can| can * part))
            .collect();
        let needs: Vec<Vec<f64>> = assessment.zones.iter().map(|z| z.demand_per_s.clone()).collect();
        let target = f64::from(self.settings.target_percent) / 100.0;
        let plan = plan(target, &needs, &can?, &self.priority_weights);
        Decision::from_plan(DecisionVersion::default(), self.tier.own_index(), &plan, &trust, &self.order)
            .ok()
    }

    /// Whether most find that this proxy does not observe what they do. It continues to serve, and accepts no more clients.
    fn check_own_view(&mut self, now: Time, assessment: &Assessment) -> Option<String> {
        let place = self.tier.own_index();
        let is_cut = assessment.partitioned.contains(&place);
        self.partitioned_since = if is_cut { self.partitioned_since.or(Some(now)) } else { None };
        let cut = self.partitioned_since.is_some_and(|since| now - since >= PARTITIONED_AFTER);
        let blind = assessment.unobserved.iter().filter(|b: &&UnobservedZone| b.member == place);
        let names: Vec<&str> = blind.map(|b| self.names[b.zone].as_str()).collect();
        if self.registry.is_partitioned.replace(cut) != cut {
            if cut {
                tracing::warn!("zones: cut off from {}, which most see: not ready", names.join(", "));
            } else {
                tracing::info!("zones: sees what most see again: ready");
            }
        }
        cut.then(|| names.join(", "))
    }

    fn view(&self, now: Time, assessment: &Assessment, cut: Option<String>) -> ZonesView {
        let decides = self.zones.with(|replica, seen| replica.is_decider(seen));
        let replica = self.zones.replica.borrow();
        let held = replica.current();
        let row = |(z, name): (usize, &String)| {
            let (zone, order) = (&assessment.zones[z], held.map(|h| h.decision.zones[z]).unwrap_or_default());
            ZoneRow {
                name: name.clone(),
                voices: zone.reports,
                against: zone.lost_reports,
                lost: zone.status.is_lost(),
                needs: zone.demand_per_s.iter().sum(),
                can: zone.capacity_per_s,
                trust: f64::from(order.trust) / 255.0,
                near: (0..self.order.len()).map(|rank| order.local.class_fraction(rank)).collect(),
                to: f64::from(order.inbound_fraction) / 255.0,
            }
        };
        ZonesView {
            epoch: held.map_or(0, |h| h.decision.version.epoch),
            round: held.map_or(0, |h| h.decision.version.revision),
            by: held.map(|h| h.decision.decider),
            held_us: held.map_or(0, |h| (now - h.since).0),
            decides,
            cut_off: cut,
            blind: assessment.unobserved.iter().map(|b| (b.member, self.names[b.zone].clone())).collect(),
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
        let LiveMembers { configured: log_decision, since_stall: awake, indices: places, .. } =
            self.tier.live_members(now);
        let (most, awake) = (places.len() * 2 > log_decision, awake >= DISCOVERY_TIME);
        let reports = self.reports(now, &places);
        *self.zones.view.borrow_mut() = LastView { live: places, has_majority: most, is_current: awake };
        let assessment =
            evaluate(&EvaluatorSettings::default(), self.names.len(), self.priority_weights.len(), &reports);
        // Before that its own report may be the only one, and a majority of one is no assessment.
        for (escalation, zone) in self.escalations.iter_mut().zip(&assessment.zones).filter(|_| awake) {
            escalation.observe(now, zone.status);
        }
        let should = self.target_decision(&assessment);
        let mut notes = Vec::new();
        self.zones.step(|replica, seen| replica.tick(now, seen, should.as_ref(), &mut notes));
        self.tier.send_messages(notes.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
        let cut = self.check_own_view(now, &assessment);
        *self.registry.zones.borrow_mut() = Some(self.view(now, &assessment, cut));
    }

    fn wake_at(&self) -> Time {
        self.next
    }
}
