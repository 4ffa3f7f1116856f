//! One judgement of many voices: what the zones can do and need, and who is blind.
//!
//! A voice counts while its record is young and it has backends in the zone. A zone is lost when more than half of the
//! voices that count find nearly all of its backends ill; a voice that finds so against most is blind to the zone, and does
//! not count against it. What a zone can do is the weighted median of what its voices make of the whole, so that one that
//! is off by far moves it little, and half of the voices at once have to be wrong by a factor for it to be so.

use gaugesaddle_balancer::{ConfigError, Micros};

/// How voices become a judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Older records do not count.
    pub old: Micros,
    /// A voice finds a zone lost where at least this part of its backends there are ill.
    pub ill: f64,
    /// No part of a proxy's is taken for less: what it makes of the whole would be chance.
    pub least_part: f64,
}

impl Default for Rule {
    fn default() -> Rule {
        // Records are published twice a second and are some seconds under way in a great tier. Of ten backends one may
        // still look well while its connections time out.
        Rule { old: Micros(4_000_000), ill: 0.8, least_part: 0.001 }
    }
}

impl Rule {
    /// The first figure that can't be.
    ///
    /// # Errors
    /// Its name and range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let tests = [
            (self.old.0 > 0, "old", "a time"),
            (self.ill > 0.5 && self.ill <= 1.0, "ill", "over 0.5, up to 1"),
            (self.least_part > 0.0 && self.least_part < 1.0, "least_part", "between 0 and 1"),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }
}

/// What one proxy finds of a zone's backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Find {
    /// Backends that it uses there.
    pub backends: f64,
    /// Of these so many it finds ill.
    pub ill: f64,
    /// What the others can do for it, in requests a second; 0 where it does not know.
    pub can_per_s: f64,
}

/// What one proxy says, its record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Voice {
    /// Whose.
    pub place: u16,
    /// The zone that it stands in.
    pub zone: usize,
    /// Its part of all that proxies may do.
    pub part: f64,
    /// What comes to it, in requests a second, by class.
    pub needs: Vec<f64>,
    /// By zone.
    pub finds: Vec<Find>,
    /// How old the record is.
    pub age: Micros,
}

/// A zone in the judgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Zone {
    /// What comes to its proxies, in requests a second, by class.
    pub needs: Vec<f64>,
    /// What its backends can do; `None`: nobody knows yet.
    pub can: Option<f64>,
    /// It is lost.
    pub lost: bool,
    /// Voices that count, and of these those that find it lost.
    pub voices: u32,
    /// See `voices`.
    pub against: u32,
}

/// A proxy that does not see a zone that most see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Blind {
    /// Whose.
    pub place: u16,
    /// Which zone.
    pub zone: usize,
}

/// What all voices together say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judgement {
    /// By zone.
    pub zones: Vec<Zone>,
    /// In their order.
    pub blind: Vec<Blind>,
    /// Proxies that are blind to their own zone, or to most zones that stand: it is their own link that is cut.
    pub cut: Vec<u16>,
}

/// A figure as it counts: none where it can't be.
pub(crate) fn sound(n: f64) -> f64 {
    if n.is_finite() {
        n.max(0.0)
    } else {
        0.0
    }
}

/// The value that half of the weight lies at or below.
fn median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|v| v.1).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    let at = values.iter().find(|v| {
        sum += v.1;
        sum >= half
    });
    at.map(|v| v.0)
}

/// What the voices of those that live say of so many zones.
pub fn judge(rule: &Rule, zones: usize, classes: usize, voices: &[Voice]) -> Judgement {
    let mut all = Judgement { zones: vec![Zone::default(); zones], ..Judgement::default() };
    let counts =
        |v: &&Voice, z: usize| v.age <= rule.old && v.finds.get(z).is_some_and(|f| f.backends >= 1.0);
    let finds_lost = |v: &Voice, z: usize| v.finds[z].ill >= rule.ill * v.finds[z].backends;
    for (z, zone) in all.zones.iter_mut().enumerate() {
        zone.needs = vec![0.0; classes];
        for voice in voices.iter().filter(|v| v.zone == z) {
            zone.needs.iter_mut().zip(&voice.needs).for_each(|(sum, n)| *sum += sound(*n));
        }
        let counted = || voices.iter().filter(|v| counts(v, z));
        zone.voices = counted().count() as u32;
        zone.against = counted().filter(|v| finds_lost(v, z)).count() as u32;
        zone.lost = zone.against * 2 > zone.voices;
        if zone.lost {
            zone.can = Some(0.0);
            continue;
        }
        let blind = counted().filter(|v| finds_lost(v, z)).map(|v| Blind { place: v.place, zone: z });
        all.blind.extend(blind);
        let whole = |v: &Voice| (sound(v.finds[z].can_per_s) / v.part.max(rule.least_part), v.part.max(0.0));
        let known = counted().filter(|v| !finds_lost(v, z) && v.finds[z].can_per_s > 0.0).map(whole);
        zone.can = median(known.collect());
    }
    let standing = all.zones.iter().filter(|zone| !zone.lost && zone.voices > 0).count();
    all.blind.sort();
    for voice in voices {
        let own = all.blind.iter().filter(|b| b.place == voice.place);
        if own.clone().any(|b| b.zone == voice.zone) || own.count() * 2 > standing {
            all.cut.push(voice.place);
        }
    }
    all
}

#[cfg(test)]
mod tests;
