//! Zones judged and decided in common, in the running proxy: the file beside the driver. What the others say is the tier's
//! to carry, what follows is `gaugesaddle_failover`'s. Begun: what is decided is shown, and moves no traffic yet.

use crate::peers::{LiveMembers, MemberReport, MessageHandler, Tier};
use crate::registry::{Registry, ZoneRow, ZonesView};
use crate::seam::Subsystem;
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

/// Judged and passed on this often: a decision is with all of a great tier after some such looks, within a second.
const LOOK: Micros = Micros(100_000);
/// A proxy is cut off after so long of being found so without a break: two records, for one look may be of a moment.
const CUT_AFTER: Micros = Micros(1_000_000);
/// What differs by less than this from what holds, in 255ths, is noise: a twentieth.
const NOISE: u8 = 13;

/// `[failover]`. Wants a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Failover {
    /// Zones are judged in common.
    pub enabled: bool,
    /// The load in hundredths of what it can do that a zone is kept at or under while all together can.
    pub target_percent: u32,
}

impl Default for Failover {
    fn default() -> Failover {
        // Over four fifths answers wait for one another, and a zone that takes another's excess must not wait as well.
        Failover { enabled: false, target_percent: 80 }
    }
}

impl Failover {
    /// The first key that can't be. `peers`: whether the tier is known.
    pub fn check(&self, peers: bool) -> Result<(), (String, String)> {
        if self.enabled && !peers {
            return Err(("failover.enabled".into(), "expected peers.enabled = true beside it".into()));
        }
        match self.target_percent {
            10..=100 => Ok(()),
            n => Err(("failover.target_percent".into(), format!("expected 10 to 100, got {n}"))),
        }
    }
}

/// Who lives, as of the last look; see [`MembershipView`].
#[derive(Default)]
struct Looked {
    living: Vec<u16>,
    most: bool,
    awake: bool,
}

/// What the notes of others meet: the decision that is held, and who lives.
pub struct Zones {
    council: RefCell<DecisionReplica>,
    looked: RefCell<Looked>,
}

impl Zones {
    fn with<T>(&self, act: impl FnOnce(&mut DecisionReplica, &MembershipView) -> T) -> T {
        let looked = self.looked.borrow();
        let seen =
            MembershipView { live: &looked.living, has_majority: looked.most, is_current: looked.awake };
        act(&mut self.council.borrow_mut(), &seen)
    }

    /// The same, where another decision may be held after it: that is said.
    fn step(&self, act: impl FnOnce(&mut DecisionReplica, &MembershipView) -> bool) {
        if self.with(act) {
            self.council.borrow().current().iter().for_each(|current| told(&current.decision));
        }
    }
}

impl MessageHandler for Zones {
    fn handle_message(&self, now: Time, from: u16, body: &[u8], answers: &mut Vec<(u16, Vec<u8>)>) {
        let mut out = Vec::new();
        self.step(|council, seen| council.receive(now, from, body, seen, &mut out));
        answers.extend(out.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
    }
}

fn told(d: &Decision) {
    let DecisionVersion { epoch, revision } = d.version;
    let trust: Vec<String> = d.zones.iter().map(|z| format!("{:.2}", f64::from(z.trust) / 255.0)).collect();
    tracing::info!(
        "zones: decision {epoch}.{revision} of place {} holds, trust {}",
        d.decider,
        trust.join(" ")
    );
}

pub struct ZoneWatch {
    settings: Failover,
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    zones: Rc<Zones>,
    names: Vec<String>,
    worth: Vec<f64>,
    /// Classes by worth, the greatest first.
    order: Vec<usize>,
    ladders: Vec<EscalationPolicy>,
    /// Since when most find this proxy cut off.
    cut: Option<Time>,
    next: Time,
}

impl ZoneWatch {
    /// `None` where there are more zones than a decision has room for.
    pub fn new(
        settings: Failover, tier: Rc<Tier>, registry: Rc<Registry>, names: &[String], classes: &[Class],
        seed: u64,
    ) -> Option<ZoneWatch> {
        if names.len() > MAX_ZONES {
            return None;
        }
        let council = RefCell::new(DecisionReplica::new(tier.own_index(), names.len(), NOISE, seed));
        let zones = Rc::new(Zones { council, looked: RefCell::default() });
        tier.add_handler(zones.clone());
        let worth: Vec<f64> = classes.iter().map(|c| c.priority_weight).collect();
        let mut order: Vec<usize> = (0..worth.len()).collect();
        order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]).then(a.cmp(b)));
        let ladders = vec![EscalationPolicy::new(EscalationLevels::default()); names.len()];
        let (names, next) = (names.to_vec(), Time(0));
        Some(ZoneWatch { settings, tier, registry, zones, names, worth, order, ladders, cut: None, next })
    }

    fn voices(&self, now: Time, living: &[u16]) -> Vec<ProxyReport> {
        let records = self.tier.reports(now, living);
        let needs: Vec<Option<f64>> = records.iter().map(|r| r.signals.demand_per_s).collect();
        let parts = allocate_by_demand(&AllocationLimits::default(), &needs);
        let voice = |(r, part): (MemberReport, f64)| {
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
        records.into_iter().zip(parts).filter_map(voice).collect()
    }

    /// What should hold by this judgement; `None` while nobody knows what some zone can do.
    fn should(&self, judged: &Assessment) -> Option<Decision> {
        let trust: Vec<f64> = self.ladders.iter().map(EscalationPolicy::trusted_fraction).collect();
        let can: Option<Vec<f64>> =
            judged.zones.iter().zip(&trust).map(|(z, part)| z.capacity_per_s.map(|can| can * part)).collect();
        let needs: Vec<Vec<f64>> = judged.zones.iter().map(|z| z.demand_per_s.clone()).collect();
        let target = f64::from(self.settings.target_percent) / 100.0;
        let plan = plan(target, &needs, &can?, &self.worth);
        Decision::from_plan(DecisionVersion::default(), self.tier.own_index(), &plan, &trust, &self.order)
            .ok()
    }

    /// Whether most find this proxy blind to what they see. It serves on, and asks for no more clients.
    fn look_at_self(&mut self, now: Time, judged: &Assessment) -> Option<String> {
        let place = self.tier.own_index();
        let is_cut = judged.partitioned.contains(&place);
        self.cut = if is_cut { self.cut.or(Some(now)) } else { None };
        let cut = self.cut.is_some_and(|since| now - since >= CUT_AFTER);
        let blind = judged.unobserved.iter().filter(|b: &&UnobservedZone| b.member == place);
        let names: Vec<&str> = blind.map(|b| self.names[b.zone].as_str()).collect();
        if self.registry.cut_off.replace(cut) != cut {
            if cut {
                tracing::warn!("zones: cut off from {}, which most see: not ready", names.join(", "));
            } else {
                tracing::info!("zones: sees what most see again: ready");
            }
        }
        cut.then(|| names.join(", "))
    }

    fn view(&self, now: Time, judged: &Assessment, cut: Option<String>) -> ZonesView {
        let decides = self.zones.with(|council, seen| council.is_decider(seen));
        let council = self.zones.council.borrow();
        let held = council.current();
        let row = |(z, name): (usize, &String)| {
            let (zone, order) = (&judged.zones[z], held.map(|h| h.decision.zones[z]).unwrap_or_default());
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
            blind: judged.unobserved.iter().map(|b| (b.member, self.names[b.zone].clone())).collect(),
            zones: self.names.iter().enumerate().map(row).collect(),
        }
    }
}

impl Subsystem for ZoneWatch {
    fn turn(&mut self, now: Time, _: &Balancer, _: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + LOOK;
        let LiveMembers { configured: told, since_stall: awake, indices: places, .. } =
            self.tier.live_members(now);
        let (most, awake) = (places.len() * 2 > told, awake >= DISCOVERY_TIME);
        let voices = self.voices(now, &places);
        *self.zones.looked.borrow_mut() = Looked { living: places, most, awake };
        let judged = evaluate(&EvaluatorSettings::default(), self.names.len(), self.worth.len(), &voices);
        // Before that its own voice may be the only one, and most of one is no judgement.
        for (ladder, zone) in self.ladders.iter_mut().zip(&judged.zones).filter(|_| awake) {
            ladder.observe(now, zone.status);
        }
        let should = self.should(&judged);
        let mut notes = Vec::new();
        self.zones.step(|council, seen| council.tick(now, seen, should.as_ref(), &mut notes));
        self.tier.send_messages(notes.into_iter().map(|Outgoing { to, bytes }| (to, bytes)));
        let cut = self.look_at_self(now, &judged);
        *self.registry.zones.borrow_mut() = Some(self.view(now, &judged, cut));
    }

    fn wake(&self) -> Time {
        self.next
    }
}
