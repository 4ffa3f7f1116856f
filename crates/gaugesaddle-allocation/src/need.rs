//! The soft law: parts by need, with a floor and a bound, the same for all that see the same.

use gaugesaddle_balancer::{Micros, Time};

/// How needs become parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    /// This part of the whole is dealt out evenly, whatever the needs: who has just come, or says nothing, can begin.
    pub floor: f64,
    /// No part is more than so many times the even one: what one that lies, or reports nonsense, can take.
    pub most: f64,
}

impl Default for Law {
    fn default() -> Law {
        // A tenth: a newcomer serves a tenth of an even part at once. Eight: traffic as uneven as 1 to 5 is not cut, and
        // of 30 proxies one that lies takes no more than a quarter of what the needs deal out.
        Law { floor: 0.1, most: 8.0 }
    }
}

/// The parts of members by their needs, in their order; they sum to one. `None`: it has not said, and counts as the
/// mean of those that have. What is no number, or below zero, is not said.
pub fn parts(law: &Law, needs: &[Option<f64>]) -> Vec<f64> {
    let count = needs.len() as f64;
    if needs.is_empty() {
        return Vec::new();
    }
    let said = |n: &Option<f64>| n.filter(|n| n.is_finite() && *n >= 0.0);
    // As parts of the greatest: sums of the greatest numbers that there are would be none.
    let top = needs.iter().filter_map(said).fold(0.0, f64::max);
    let known: Vec<f64> =
        needs.iter().filter_map(said).map(|n| if top > 0.0 { n / top } else { 0.0 }).collect();
    let mean = if known.is_empty() { 0.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let wants: Vec<f64> =
        needs.iter().map(|n| said(n).map_or(mean, |n| if top > 0.0 { n / top } else { 0.0 })).collect();
    let by_need = capped(&wants, (law.most / count).max(1.0 / count));
    by_need.into_iter().map(|part| law.floor / count + (1.0 - law.floor) * part).collect()
}

/// Parts in the relation of the wants, none above `most`; what is cut off goes to the others by theirs.
fn capped(wants: &[f64], most: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| wants[*b].total_cmp(&wants[*a]).then(a.cmp(b)));
    let mut parts = vec![0.0; wants.len()];
    let (mut left, mut rest) = (1.0, wants.iter().sum::<f64>());
    for (rank, i) in order.iter().enumerate() {
        let others = (wants.len() - rank) as f64;
        // Where nobody left wants anything the rest is even.
        let due = if rest > 1e-12 { left * wants[*i] / rest } else { left / others };
        parts[*i] = due.min(most);
        left -= parts[*i];
        rest -= wants[*i];
    }
    // All at the bound: it is no bound then, as in a tier of few.
    if left > 1e-9 {
        let sum: f64 = parts.iter().sum();
        parts
            .iter_mut()
            .for_each(|p| *p += left * if sum > 0.0 { *p / sum } else { 1.0 / wants.len() as f64 });
    }
    parts
}

/// Rates are means over some of the last looks, the newest of them a quarter: with a look each half second they follow
/// a jump within two seconds, and chance among some ten requests a second is a fifth.
const NEWEST: f64 = 0.25;
/// Looks that such a mean rests on, about.
const LOOKS: f64 = 2.0 / NEWEST - 1.0;
/// A need that is off by less than this part of it, or by less than so many spreads of the count that the mean rests on,
/// stands: others' parts move by it.
const NEED_LEAST: f64 = 0.1;
const NEED_SPREADS: f64 = 2.0;

/// A rate, kept as a mean over looks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    per_s: Option<f64>,
}

impl Rate {
    /// So many came since the last look, so many seconds ago, above 0; the mean with them, in a second.
    pub fn look(&mut self, came: u32, secs: f64) -> f64 {
        let now = f64::from(came) / secs;
        let mean = self.per_s.map_or(now, |mean| mean + NEWEST * (now - mean));
        *self.per_s.insert(mean)
    }
}

/// What a proxy needs, as it tells the others: the requests that come to it in a second, as a mean that stands until it
/// is off by more than chance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    looks: u32,
    rate: Rate,
    stands: Option<f64>,
}

impl Need {
    /// So many came since the last look, so many seconds ago; what is told from now on. `None` at first: of a proxy that has
    /// just come what came so far says little of what will, and the others take the mean of theirs for it.
    pub fn look(&mut self, came: u32, secs: f64) -> Option<f64> {
        let secs = secs.max(1e-3);
        let mean = self.rate.look(came, secs);
        self.looks = self.looks.saturating_add(1);
        if f64::from(self.looks) < LOOKS {
            return None;
        }
        let stands = self.stands.unwrap_or(mean);
        let chance = NEED_SPREADS * (stands.max(mean) / (LOOKS * secs)).sqrt();
        let off = (mean - stands).abs() > chance.max(NEED_LEAST * stands);
        self.stands = Some(if off { mean } else { stands });
        self.stands
    }
}

/// A part on its way to where it should be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Glide {
    value: f64,
    goal: f64,
    at: Time,
    /// A goal that differs by less than this part of the present one is noise.
    least: f64,
    /// Two thirds of the way take so long.
    over: Micros,
}

impl Glide {
    /// A part that stands.
    pub fn new(now: Time, value: f64, least: f64, over: Micros) -> Glide {
        Glide { value, goal: value, at: now, least, over }
    }

    /// Where it should be, as of now.
    pub fn aim(&mut self, now: Time, goal: f64) {
        self.value = self.get(now);
        self.at = self.at.max(now);
        if (goal - self.goal).abs() > self.least * self.goal {
            self.goal = goal;
        }
    }

    /// Where it is.
    pub fn get(&self, now: Time) -> f64 {
        let passed = (now - self.at).secs() / self.over.secs().max(1e-6);
        self.goal + (self.value - self.goal) * (-passed).exp()
    }
}

#[cfg(test)]
mod tests;
