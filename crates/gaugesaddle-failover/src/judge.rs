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
mod tests {
    use super::*;

    /// Three zones, twelve proxies in turn; each zone can do 300 a second, 120 come to each.
    fn voices() -> Vec<Voice> {
        let find = Find { backends: 4.0, ill: 0.0, can_per_s: 25.0 };
        let voice = |place: u16| Voice {
            place,
            zone: usize::from(place % 3),
            part: 1.0 / 12.0,
            needs: vec![10.0, 20.0],
            finds: vec![find; 3],
            age: Micros(500_000),
        };
        (0..12).map(voice).collect()
    }

    fn all(voices: &[Voice]) -> Judgement {
        judge(&Rule::default(), 3, 2, voices)
    }

    fn blind_to(voice: &mut Voice, zone: usize) {
        voice.finds[zone].ill = 4.0;
        voice.finds[zone].can_per_s = 0.0;
    }

    #[test]
    fn a_calm_fleet_is_what_all_say_together() {
        let judged = all(&voices());
        assert!(judged.blind.is_empty() && judged.cut.is_empty());
        for zone in &judged.zones {
            assert!((zone.can.unwrap() - 300.0).abs() < 1e-9 && !zone.lost);
            assert_eq!((&zone.needs[..], zone.voices, zone.against), (&[40.0, 80.0][..], 12, 0));
        }
        let nobody = all(&[]);
        assert!(nobody.zones.iter().all(|z| z.can.is_none() && !z.lost), "nobody knows");
    }

    #[test]
    fn a_zone_is_lost_when_most_say_so_and_half_are_not_most() {
        let mut some = voices();
        some[..6].iter_mut().for_each(|v| blind_to(v, 1));
        let judged = all(&some);
        assert!(!judged.zones[1].lost && judged.blind.len() == 6);
        blind_to(&mut some[6], 1);
        let judged = all(&some);
        assert!(judged.zones[1].lost && judged.zones[1].can == Some(0.0));
        assert!(judged.blind.is_empty() && judged.cut.is_empty(), "those that still see it are not blind");
        some[5..7].iter_mut().for_each(|v| v.age = Micros(60_000_000));
        assert!(!all(&some).zones[1].lost, "what is old does not count");
    }

    #[test]
    fn one_that_alone_is_blind_does_not_count_and_is_cut_where_it_is_its_own_zone_or_most() {
        let mut some = voices();
        blind_to(&mut some[5], 0);
        let judged = all(&some);
        assert_eq!(judged.blind, [Blind { place: 5, zone: 0 }]);
        assert!(judged.cut.is_empty(), "it serves by the other zones");
        assert!((judged.zones[0].can.unwrap() - 300.0).abs() < 1e-9);
        blind_to(&mut some[5], 2);
        assert_eq!(all(&some).cut, [5], "its own zone among them");
        let mut some = voices();
        (0..3).for_each(|z| blind_to(&mut some[0], z));
        assert_eq!(all(&some).cut, [0]);
    }

    #[test]
    fn estimates_that_are_off_by_a_factor_move_the_judgement_little() {
        let mut some = voices();
        some[..5].iter_mut().for_each(|v| v.finds[0].can_per_s = 50.0);
        assert!((all(&some).zones[0].can.unwrap() - 300.0).abs() < 1e-9);
        for (i, voice) in some.iter_mut().enumerate() {
            voice.finds[0].can_per_s = 25.0 * (0.5 + i as f64 / 11.0);
        }
        let can = all(&some).zones[0].can.unwrap();
        assert!((240.0..330.0).contains(&can), "{can}");
        some[3].finds[0].can_per_s = f64::INFINITY;
        some[4].needs = vec![f64::NAN, -3.0];
        let judged = all(&some);
        assert!(judged.zones[0].can.unwrap().is_finite());
        assert_eq!(judged.zones[1].needs, [30.0, 60.0]);
    }

    #[test]
    fn figures_that_cannot_be_are_told() {
        let flaw = |rule: Rule| rule.check().expect_err("unsound").to_string();
        assert!(Rule::default().check().is_ok());
        assert_eq!(flaw(Rule { ill: 0.5, ..Rule::default() }), "ill: expected over 0.5, up to 1");
        assert_eq!(flaw(Rule { old: Micros(0), ..Rule::default() }), "old: expected a time");
        assert_eq!(flaw(Rule { least_part: 0.0, ..Rule::default() }), "least_part: expected between 0 and 1");
    }
}
