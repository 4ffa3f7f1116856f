//! A proxy's side: tokens lent, and what to ask for.

use crate::{faded, FALLBACK, LEASE, SILENCE, SMOOTHING};
use gaugesaddle_protocol::{QuotaGrant, QuotaWant};
use std::collections::{BTreeMap, VecDeque};

/// Tokens are asked for ahead for so long, in seconds of the present pace.
const AHEAD: f64 = 0.5;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Its tokens are taken.
    Granted,
    /// There are not enough; the leader may lend more.
    Short,
}

#[derive(Clone, Debug, Default)]
struct Pocket {
    /// Tokens lent and until when they may be used.
    lent: VecDeque<(u64, f64)>,
    /// Tokens a second used lately, and when that was reckoned.
    pace: f64,
    reckoned: u64,
    /// When the leader was asked last, and the pace that it was told.
    offered: (u64, f64),
    /// The same, for the last time that it answered: what it keeps back for this proxy.
    told: (u64, f64),
    /// Tokens that waiting requests lack.
    lacking: f64,
    /// Tokens that may be used without a leader, and when they were reckoned.
    reserve: f64,
    filled: u64,
}

/// The tokens of all tenants at one proxy.
#[derive(Clone, Debug, Default)]
pub struct Purse {
    pockets: BTreeMap<String, Pocket>,
    answered: u64,
    /// Tokens a second and tenant that a proxy may use at any time, out of the slack of the rule.
    floor: f64,
}

impl Purse {
    /// Forgets tenants that have no limit any more, and sets the floor, in tokens a second.
    pub fn configure(&mut self, tenants: &[String], floor: f64) {
        self.floor = floor;
        self.pockets.retain(|t, _| tenants.contains(t));
        for tenant in tenants {
            self.pockets.entry(tenant.clone()).or_default();
        }
    }

    /// Takes the tokens of a request.
    pub fn take(&mut self, now: u64, tenant: &str, cost: u64) -> Taken {
        let led = now < self.answered + SILENCE;
        let alone_since = self.answered + SILENCE;
        let alone_until = alone_since + FALLBACK;
        let floor = self.floor;
        let Some(pocket) = self.pockets.get_mut(tenant) else { return Taken::Granted };
        pocket.expire(now);
        let cost = cost as f64;
        if pocket.take(cost) {
            pocket.note(now, cost);
            return Taken::Granted;
        }
        if !led {
            let pace = if now < alone_until { pocket.pace_alone(now).max(floor) } else { floor };
            if pocket.take_reserve(now, alone_since, pace, cost) {
                return Taken::Granted;
            }
        }
        Taken::Short
    }

    /// A request waits for that many tokens, or does no more.
    pub fn lack(&mut self, tenant: &str, cost: u64, waits: bool) {
        if let Some(pocket) = self.pockets.get_mut(tenant) {
            let sign = if waits { 1.0 } else { -1.0 };
            pocket.lacking = (pocket.lacking + sign * cost as f64).max(0.0);
        }
    }

    /// What to ask the leader for.
    pub fn wants(&mut self, now: u64) -> Vec<QuotaWant> {
        let mut wants = Vec::new();
        for (tenant, pocket) in &mut self.pockets {
            pocket.expire(now);
            pocket.decay(now);
            let held: f64 = pocket.lent.iter().map(|(_, n)| n).sum();
            let wanted = pocket.lacking + pocket.pace * AHEAD - held;
            if wanted >= 1.0 || pocket.pace >= 1.0 {
                pocket.offered = (now, pocket.pace);
                let (tokens, pace) = (wanted.max(0.0) as u64, pocket.pace.ceil() as u64);
                wants.push(QuotaWant { tenant: tenant.clone(), tokens, held: held.ceil() as u64, pace });
            }
        }
        wants
    }

    /// Whether requests wait.
    pub fn is_short(&self) -> bool {
        self.pockets.values().any(|p| p.lacking > 0.0)
    }

    /// The leader's answer to wants that were sent at `asked`.
    pub fn granted(&mut self, asked: u64, grants: &[QuotaGrant]) {
        self.answered = self.answered.max(asked);
        for grant in grants {
            let Some(pocket) = self.pockets.get_mut(&grant.tenant) else { continue };
            if pocket.offered.0 == asked {
                pocket.told = pocket.offered;
            }
            if grant.tokens > 0 {
                pocket.lent.push_back((asked + LEASE, grant.tokens as f64));
            }
        }
    }
}

impl Pocket {
    /// The pace without a leader: the one that it was told, fading as it does there, whatever was used since.
    fn pace_alone(&self, now: u64) -> f64 {
        faded(self.told.1, now.saturating_sub(self.told.0))
    }

    fn expire(&mut self, now: u64) {
        while self.lent.front().is_some_and(|(until, _)| *until <= now) {
            self.lent.pop_front();
        }
    }

    fn take(&mut self, cost: f64) -> bool {
        if self.lent.iter().map(|(_, n)| n).sum::<f64>() < cost {
            return false;
        }
        let mut left = cost;
        while let Some((_, tokens)) = self.lent.front_mut() {
            if *tokens > left {
                *tokens -= left;
                break;
            }
            left -= *tokens;
            self.lent.pop_front();
        }
        true
    }

    /// Uses what the pace has brought since the leader fell silent; a request may go into debt by its own cost.
    fn take_reserve(&mut self, now: u64, alone_since: u64, pace: f64, cost: f64) -> bool {
        if self.filled < alone_since {
            // What an earlier silence has left was kept back then.
            self.filled = alone_since;
            self.reserve = self.reserve.min(0.0);
        }
        let passed = now.saturating_sub(self.filled).min(1000) as f64 / 1000.0;
        self.filled = now;
        self.reserve = (self.reserve + pace * passed).min(pace);
        if self.reserve <= 0.0 {
            return false;
        }
        self.reserve -= cost;
        true
    }

    fn note(&mut self, now: u64, cost: f64) {
        self.decay(now);
        self.pace += cost / (SMOOTHING / 1000.0);
    }

    fn decay(&mut self, now: u64) {
        self.pace = faded(self.pace, now.saturating_sub(self.reckoned));
        self.reckoned = now;
    }
}
