//! Shares by the clamped formula, and the draw inside a kind.

use crate::{warmth, Rate};
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

/// A kind, and whether it is warm for the request that it is learned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LearnedKind {
    /// Size of its backends.
    pub slots: u32,
    /// They keep the prompt's shared part.
    pub warm: bool,
    /// They have more requests than they work on at once.
    pub crowded: bool,
}

/// Chooses backends of one service for one route.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: ChooserSettings,
    latencies: BTreeMap<LearnedKind, f64>,
    /// The share that each kind had last, for the speed under load.
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
    pub fn note_latency(&mut self, kind: LearnedKind, latency: f64) {
        let part = self.settings.latency_part;
        let learned = self.latencies.entry(kind).or_insert(latency);
        *learned += part * (latency - *learned);
    }

    /// The index of the backend drawn, and the kind it was drawn from. `proxies` is the number of proxies that
    /// arrivals are spread over.
    pub fn choose(
        &self, now: u64, candidates: &[Candidate], part: Option<u64>, proxies: usize,
        random: &mut impl RngCore,
    ) -> Option<(usize, LearnedKind)> {
        let smoothing = self.settings.rate_smoothing;
        let rate = match part {
            Some(part) => self.parts.get(&part).map_or(0.0, |r| r.at(now, smoothing)),
            None => self.arrivals.at(now, smoothing),
        } * proxies.max(1) as f64;
        let kinds = self.kinds(candidates, part, rate);
        let shares = self.shares(&kinds, rate);
        let at = draw(&shares, random)?;
        let (kind, members) = kinds.get(at)?;
        let member = members.get(below(random, members.len()))?;
        Some((*member, *kind))
    }

    /// The members of each kind.
    fn kinds(
        &self, candidates: &[Candidate], part: Option<u64>, rate: f64,
    ) -> Vec<(LearnedKind, Vec<usize>)> {
        let marks = match part {
            Some(part) => {
                let more = (rate / self.settings.rate_for_copy) as usize;
                let identities: Vec<u64> = candidates.iter().map(|c| c.identity).collect();
                warmth::warm(part, &identities, self.settings.copies + more)
            }
            None => vec![false; candidates.len()],
        };
        let mut kinds: BTreeMap<LearnedKind, Vec<usize>> = BTreeMap::new();
        for (index, (candidate, warm)) in candidates.iter().zip(marks).enumerate() {
            let kind = LearnedKind { slots: candidate.slots, warm, crowded: candidate.crowded };
            kinds.entry(kind).or_default().push(index);
        }
        kinds.into_iter().collect()
    }

    /// The clamped formula. Speeds are what the latencies tell under the present load; a kind without data counts as
    /// equally fast, but a crowded one as slow and a cold one as slower than a warm one until it is known.
    fn shares(&self, kinds: &[(LearnedKind, Vec<usize>)], rate: f64) -> Vec<f64> {
        let known: Vec<f64> = kinds.iter().filter_map(|(k, _)| self.latencies.get(k)).copied().collect();
        let typical = if known.is_empty() { 100.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let latency = |kind: &LearnedKind| {
            let learned = self.latencies.get(kind).copied();
            let guess = typical * if kind.warm { 0.8 } else { 1.0 } * if kind.crowded { 8.0 } else { 1.0 };
            learned.unwrap_or(guess).max(0.1) / 1000.0
        };
        let total: f64 = kinds.iter().map(|(_, m)| m.len() as f64).sum();
        let even = rate / total.max(1.0);
        let table: Vec<(f64, f64)> =
            kinds.iter().map(|(kind, members)| (members.len() as f64, 1.0 / latency(kind) + even)).collect();
        halb_shares(&table, Some(rate))
    }
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
