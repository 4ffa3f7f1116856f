//! Shares by the clamped formula, and the draw inside a kind.

use crate::{warmth, Prompt, Rate};
use beechworks::halb_shares;
use rand_core::RngCore;
use std::collections::BTreeMap;

/// Figures of the choice.
#[derive(Clone, Copy, Debug)]
pub struct ChooserSettings {
    /// Smoothing of arrival rates, in ms.
    pub rate_smoothing: f64,
    /// Part that one latency has in the smoothed one.
    pub latency_part: f64,
    /// Backends that keep a part of a prompt, at least.
    pub copies: usize,
    /// Requests a second for one part, over the fleet, that call for another copy.
    pub rate_for_copy: f64,
}

impl Default for ChooserSettings {
    fn default() -> ChooserSettings {
        ChooserSettings { rate_smoothing: 12_000.0, latency_part: 0.1, copies: 1, rate_for_copy: 6.0 }
    }
}

/// Parts whose rate is remembered.
const MOST_PARTS: usize = 8192;

/// A backend that may get the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Number of its identity, see [`warmth::identity`].
    pub identity: u64,
    /// Requests that it works on at once: backends of one size are taken to be equally fast.
    pub slots: u32,
    /// It has more requests than it works on at once.
    pub crowded: bool,
}

/// A kind of backends, for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Size of its backends.
    pub slots: u32,
    /// They keep the prompt's shared part.
    pub warm: bool,
    /// They have more requests than they work on at once.
    pub crowded: bool,
}

/// What latencies are learned for: warm and cold backends read a token equally fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Reader {
    slots: u32,
    crowded: bool,
}

impl From<&Kind> for Reader {
    fn from(kind: &Kind) -> Reader {
        Reader { slots: kind.slots, crowded: kind.crowded }
    }
}

/// Arrivals of one prompt part at one proxy that may be chance: what few proxies see of a part says little of what all
/// of them see together, and would be multiplied by their number.
const CHANCE: f64 = 2.0;
/// What a request takes that reads nothing, in tokens that could be read in that time.
const OVERHEAD_TOKENS: f64 = 300.0;
/// A crowded backend without data is taken to be so much slower.
const CROWDED: f64 = 8.0;

/// Chooses backends of one service for one route.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: ChooserSettings,
    /// Milliseconds for a token read.
    latencies: BTreeMap<Reader, f64>,
    arrivals: Rate,
    parts: BTreeMap<u64, Rate>,
}

impl Chooser {
    /// Knows nothing yet.
    pub fn new(settings: ChooserSettings) -> Chooser {
        Chooser { settings, latencies: BTreeMap::new(), arrivals: Rate::default(), parts: BTreeMap::new() }
    }

    /// An arrival at this proxy.
    pub fn note_arrival(&mut self, now: u64, part: Option<u64>) {
        let smoothing = self.settings.rate_smoothing;
        self.arrivals.note(now, smoothing);
        let Some(part) = part else { return };
        if self.parts.len() >= MOST_PARTS && !self.parts.contains_key(&part) {
            self.parts.retain(|_, rate| rate.at(now, smoothing) > 0.01);
        }
        if self.parts.len() < MOST_PARTS {
            self.parts.entry(part).or_default().note(now, smoothing);
        }
    }

    /// A served request took so many milliseconds, to its first event where it is a stream.
    pub fn note_latency(&mut self, kind: Kind, prompt: Prompt, latency: f64) {
        let part = self.settings.latency_part;
        let sample = latency / work(prompt, kind.warm);
        let learned = self.latencies.entry(Reader::from(&kind)).or_insert(sample);
        *learned += part * (sample - *learned);
    }

    /// The index of the backend drawn, and the kind it was drawn from. `proxies` is the number of proxies that
    /// arrivals are spread over.
    pub fn choose(
        &self, now: u64, candidates: &[Candidate], prompt: Prompt, proxies: usize, random: &mut impl RngCore,
    ) -> Option<(usize, Kind)> {
        let smoothing = self.settings.rate_smoothing;
        let own = match prompt.subject {
            Some(part) => {
                let seen = self.parts.get(&part).map_or(0.0, |r| r.at(now, smoothing));
                (seen - CHANCE * 1000.0 / smoothing).max(0.0)
            }
            None => self.arrivals.at(now, smoothing),
        };
        let rate = own * proxies.max(1) as f64;
        let kinds = self.kinds(candidates, prompt.subject, rate);
        let shares = self.shares(&kinds, prompt, rate);
        let at = draw(&shares, random)?;
        let (kind, members) = kinds.get(at)?;
        let member = members.get(below(random, members.len()))?;
        Some((*member, *kind))
    }

    /// The members of each kind.
    fn kinds(&self, candidates: &[Candidate], part: Option<u64>, rate: f64) -> Vec<(Kind, Vec<usize>)> {
        let marks = match part {
            Some(part) => {
                let more = (rate / self.settings.rate_for_copy) as usize;
                let identities: Vec<u64> = candidates.iter().map(|c| c.identity).collect();
                warmth::warm(part, &identities, self.settings.copies + more)
            }
            None => vec![false; candidates.len()],
        };
        let mut kinds: BTreeMap<Kind, Vec<usize>> = BTreeMap::new();
        for (index, (candidate, warm)) in candidates.iter().zip(marks).enumerate() {
            let kind = Kind { slots: candidate.slots, warm, crowded: candidate.crowded };
            kinds.entry(kind).or_default().push(index);
        }
        kinds.into_iter().collect()
    }

    /// The clamped formula. Speeds are what the latencies tell under the present load; a kind without data counts as
    /// equally fast, but a crowded one as slow until it is known. A backend serves as many requests at once as it has
    /// slots: each slot is one of the formula's servers.
    fn shares(&self, kinds: &[(Kind, Vec<usize>)], prompt: Prompt, rate: f64) -> Vec<f64> {
        let calm = self.latencies.iter().filter(|(reader, _)| !reader.crowded).map(|(_, ms)| *ms);
        let typical = calm.reduce(f64::max).unwrap_or(1.0);
        let latency = |kind: &Kind| {
            let guess = if kind.crowded { typical * CROWDED } else { typical };
            let learned = self.latencies.get(&Reader::from(kind)).copied();
            learned.unwrap_or(guess).max(1e-6) * work(prompt, kind.warm) / 1000.0
        };
        let servers = |kind: &Kind, members: &[usize]| members.len() as f64 * f64::from(kind.slots.max(1));
        let total: f64 = kinds.iter().map(|(kind, members)| servers(kind, members)).sum();
        let even = rate / total.max(1.0);
        let table: Vec<(f64, f64)> = kinds
            .iter()
            .map(|(kind, members)| (servers(kind, members), 1.0 / latency(kind) + even))
            .collect();
        halb_shares(&table, Some(rate))
    }
}

/// What a request takes, in tokens read.
fn work(prompt: Prompt, warm: bool) -> f64 {
    OVERHEAD_TOKENS + prompt.unread(warm) as f64
}

fn draw(shares: &[f64], random: &mut impl RngCore) -> Option<usize> {
    let mut left = unit(random) * shares.iter().sum::<f64>();
    for (index, share) in shares.iter().enumerate() {
        if *share > 0.0 && left < *share {
            return Some(index);
        }
        left -= share;
    }
    shares.iter().rposition(|share| *share > 0.0)
}

fn unit(random: &mut impl RngCore) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn below(random: &mut impl RngCore, n: usize) -> usize {
    ((unit(random) * n as f64) as usize).min(n.saturating_sub(1))
}
