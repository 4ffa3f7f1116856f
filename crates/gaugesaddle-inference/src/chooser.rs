//! Shares by the clamped formula, and the draw inside a kind.

use crate::settings::ChooserSettings;
use crate::{bands, warmth, Prompt, Rate};
use gaugesaddle_balancer::halb_shares;
use rand_core::RngCore;
use std::collections::BTreeMap;

/// Parts whose rate is remembered.
const MOST_PARTS: usize = 8192;
/// What a request takes that reads nothing, in tokens that could be read in that time.
pub const OVERHEAD_TOKENS: f64 = 300.0;
/// Part of the shared tokens that a backend next in rank is taken to have yet to read: it keeps them if it was tried
/// before.
const NEXT_UNREAD: f64 = 0.5;

/// A backend that may get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number of its identity, see [`warmth::identity`].
    pub identity: u64,
    /// Requests that it works on at once: backends of one size are taken to be equally fast.
    pub slots: u32,
    /// Work that waits there, in tokens.
    pub backlog: f64,
}

/// What a backend is taken to keep of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Keeps {
    /// Its shared parts.
    All,
    /// Its shared parts, if the prompt's keepers had too much to do before.
    Perhaps,
    /// Nothing.
    Nothing,
}

/// A kind of backends, for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    slots: u32,
    keeps: Keeps,
    /// How much work waits there, see [`bands`].
    band: u32,
}

/// What latencies are learned for: a token is read equally fast whatever is kept and waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reader {
    slots: u32,
}

impl From<&Kind> for Reader {
    fn from(kind: &Kind) -> Reader {
        Reader { slots: kind.slots }
    }
}

/// The backend that was drawn, and what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Its place among the candidates.
    pub index: usize,
    /// What its latency teaches something of.
    pub reader: Reader,
    /// Work that the request brings there, in tokens.
    pub work: f64,
    /// The same, with what waits there before it.
    pub ahead: f64,
    /// Whether it is taken to keep the prompt's shared parts.
    pub warm: bool,
}

/// The members of a kind, and what waits at one of them on the mean.
#[derive(Debug, Default)]
struct Members {
    indices: Vec<usize>,
    backlog: f64,
}

/// What is known of the traffic that a choice belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings {
    /// Proxies that arrivals are spread over.
    pub proxies: usize,
    /// Work that arrives at one backend while news of it travels, in tokens.
    pub inflow: f64,
    /// The objective of the request's answer, in ms.
    pub target_ms: f64,
}

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
    pub fn note_latency(&mut self, choice: &Choice, latency: f64) {
        let part = self.settings.latency_part;
        let sample = latency / choice.ahead.max(OVERHEAD_TOKENS);
        let learned = self.latencies.entry(choice.reader).or_insert(sample);
        *learned += part * (sample - *learned);
    }

    /// Draws a backend; `None` where there is none.
    pub fn choose(
        &self, now: u64, candidates: &[Candidate], prompt: Prompt, around: Surroundings,
        random: &mut impl RngCore,
    ) -> Option<Choice> {
        let rate = self.rate(now, prompt) * around.proxies.max(1) as f64;
        let kinds = self.kinds(candidates, prompt.subject, rate, around.inflow);
        let shares = self.shares(&kinds, prompt, rate, around.target_ms);
        let at = draw(&shares, random)?;
        let (kind, members) = kinds.get(at)?;
        let index = *members.indices.get(below(random, members.indices.len()))?;
        let work = work(prompt, kind.keeps, 1.0);
        let ahead = work + candidates.get(index)?.backlog;
        Some(Choice { index, reader: Reader::from(kind), work, ahead, warm: kind.keeps == Keeps::All })
    }

    /// Requests a second at this proxy that may be taken to be like this one.
    fn rate(&self, now: u64, prompt: Prompt) -> f64 {
        let smoothing = self.settings.rate_smoothing;
        match prompt.subject {
            Some(part) => {
                let seen = self.parts.get(&part).map_or(0.0, |r| r.at(now, smoothing));
                (seen - self.settings.chance * 1000.0 / smoothing).max(0.0)
            }
            None => self.arrivals.at(now, smoothing),
        }
    }

    /// The members of each kind.
    fn kinds(
        &self, candidates: &[Candidate], part: Option<u64>, rate: f64, inflow: f64,
    ) -> Vec<(Kind, Members)> {
        let keeps = self.keepers(candidates, part, rate);
        let bands = self.bands(candidates, inflow);
        let mut kinds: BTreeMap<Kind, Members> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Candidate { slots, backlog, .. } = *candidate;
            let kind = Kind { slots, keeps: keeps[index], band: bands[index] };
            let members = kinds.entry(kind).or_default();
            members.indices.push(index);
            members.backlog += (backlog - members.backlog) / members.indices.len() as f64;
        }
        kinds.into_iter().collect()
    }

    fn bands(&self, candidates: &[Candidate], inflow: f64) -> Vec<u32> {
        if !self.settings.backlog {
            return vec![0; candidates.len()];
        }
        let backlogs: Vec<f64> = candidates.iter().map(|c| c.backlog).collect();
        bands::of(&backlogs, inflow * self.settings.band, self.settings.light_part)
    }

    /// What each candidate is taken to keep of a part.
    fn keepers(&self, candidates: &[Candidate], part: Option<u64>, rate: f64) -> Vec<Keeps> {
        let mut keeps = vec![Keeps::Nothing; candidates.len()];
        let (Some(part), copies) = (part, self.settings.copies) else { return keeps };
        if copies == 0 {
            return keeps;
        }
        let copies = copies + (rate / self.settings.rate_for_copy) as usize;
        let identities: Vec<u64> = candidates.iter().map(|c| c.identity).collect();
        let ranked = warmth::ranked(part, &identities, copies + self.settings.next_copies);
        for (place, index) in ranked.into_iter().enumerate() {
            keeps[index] = if place < copies { Keeps::All } else { Keeps::Perhaps };
        }
        keeps
    }

    /// The clamped formula. Speeds are what the latencies tell under the present load; a kind without data counts as
    /// equally fast. What waits at a backend counts as far as it makes the answer late: up to there all are equally good,
    /// and the one that reads least is best for the others. A backend serves as many requests at once as it has slots: each
    /// slot is one of the formula's servers.
    fn shares(&self, kinds: &[(Kind, Members)], prompt: Prompt, rate: f64, target_ms: f64) -> Vec<f64> {
        let typical = self.latencies.values().copied().reduce(f64::max).unwrap_or(1.0);
        let good = target_ms * self.settings.target_part;
        let latency = |kind: &Kind, backlog: f64| {
            let learned = self.latencies.get(&Reader::from(kind)).copied();
            let token_ms = learned.unwrap_or(typical).max(1e-6);
            let own = token_ms * work(prompt, kind.keeps, self.settings.read_again);
            let late = (token_ms * (work(prompt, kind.keeps, 1.0) + backlog) - good).max(0.0);
            (own + late) / 1000.0
        };
        let servers =
            |kind: &Kind, members: &Members| members.indices.len() as f64 * f64::from(kind.slots.max(1));
        let total: f64 = kinds.iter().map(|(kind, members)| servers(kind, members)).sum();
        let even = rate / total.max(1.0);
        let backlog = |members: &Members| if self.settings.backlog { members.backlog } else { 0.0 };
        let table: Vec<(f64, f64)> = kinds
            .iter()
            .map(|(kind, members)| (servers(kind, members), 1.0 / latency(kind, backlog(members)) + even))
            .collect();
        halb_shares(&table, Some(rate))
    }
}

/// What a request takes at a backend, in tokens read; a shared one that is read again weighs so much.
fn work(prompt: Prompt, keeps: Keeps, read_again: f64) -> f64 {
    let (own, shared) = ((prompt.total - prompt.shared) as f64, prompt.shared as f64);
    let unread = match keeps {
        Keeps::All => 0.0,
        Keeps::Perhaps => NEXT_UNREAD,
        Keeps::Nothing => 1.0,
    };
    OVERHEAD_TOKENS + own + shared * unread * read_again
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
