//! Selects a backend: a speed class by its HALB traffic share, then a backend of that class uniformly at random.

use crate::settings::ChooserSettings;
use crate::speed_class::{work_tokens, BackendSize, CacheState, Members, SpeedClass, OVERHEAD_TOKENS};
use crate::{affinity, latency_bands, Prompt, Rate};
use gaugesaddle_balancer::halb_fractions;
use rand_core::RngCore;
use std::collections::BTreeMap;

/// Maximum number of prefixes whose arrival rates are tracked. When the table is full, a new prefix evicts the idle ones;
/// if none is idle, the new prefix is not tracked.
const MAX_PREFIXES: usize = 8192;
/// Rate, in requests per second, up to which a prefix is idle and is evicted from a full table.
const IDLE_PREFIX_RATE_PER_S: f64 = 0.01;
/// Lower limit on the time per token, in milliseconds; prevents a division by 0.
const MIN_TOKEN_MS: f64 = 1e-6;

/// A backend that is eligible for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the backend's ID, see [`affinity::identity`].
    pub identity: u64,
    /// Number of requests that the backend processes concurrently. Backends with equal numbers are treated as equally fast.
    pub slots: u32,
    /// Work queued at the backend, in tokens.
    pub backlog_tokens: f64,
}

/// The selected backend and the expected cost of the request there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the backend among the candidates.
    pub index: usize,
    /// The size class under which the latency of the request is recorded.
    pub size: BackendSize,
    /// Work that the request adds to the backend, in tokens.
    pub work_tokens: f64,
    /// `work_tokens` plus the work queued before the request, in tokens.
    pub work_until_done_tokens: f64,
    /// Whether the backend is expected to have the prompt's shared prefix in its cache.
    pub is_cached: bool,
}

/// The state of the fleet at the time of a choice.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Number of proxies among which arrivals are divided.
    pub proxies: usize,
    /// Work that arrives at one backend within the delay of a load report, in tokens.
    pub inflow_tokens: f64,
    /// Latency objective of the request, in milliseconds.
    pub objective_ms: f64,
}

/// Chooses backends of one service for one route.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: ChooserSettings,
    /// Smoothed observed time per token, in milliseconds.
    token_ms: BTreeMap<BackendSize, f64>,
    arrivals: Rate,
    prefix_arrivals: BTreeMap<u64, Rate>,
}

impl Chooser {
    /// Creates a chooser without observations.
    pub fn new(settings: ChooserSettings) -> Chooser {
        Chooser {
            settings,
            token_ms: BTreeMap::new(),
            arrivals: Rate::default(),
            prefix_arrivals: BTreeMap::new(),
        }
    }

    /// Records an arrival at this proxy at `now` (milliseconds) with the prompt's shared prefix, if it has one.
    pub fn record_arrival(&mut self, now: u64, prefix: Option<u64>) {
        let smoothing_ms = self.settings.rate_smoothing_ms;
        self.arrivals.record(now, smoothing_ms);
        let Some(prefix) = prefix else { return };
        if let Some(rate) = self.prefix_arrivals.get_mut(&prefix) {
            return rate.record(now, smoothing_ms);
        }
        if self.prefix_arrivals.len() >= MAX_PREFIXES {
            self.prefix_arrivals.retain(|_, rate| rate.at(now, smoothing_ms) > IDLE_PREFIX_RATE_PER_S);
        }
        // If all tracked prefixes are active, the new one is not tracked: its rate counts as 0, and its prompts go to the
        // backend that ranks first for it.
        if self.prefix_arrivals.len() < MAX_PREFIXES {
            self.prefix_arrivals.entry(prefix).or_default().record(now, smoothing_ms);
        }
    }

    /// Records the latency of a served request, in milliseconds; for a stream, the latency of its first event.
    pub fn record_latency(&mut self, choice: &Choice, latency_ms: f64) {
        let sample = latency_ms / choice.work_until_done_tokens.max(OVERHEAD_TOKENS);
        let learned = self.token_ms.entry(choice.size).or_insert(sample);
        *learned += self.settings.latency_weight * (sample - *learned);
    }

    /// Selects a backend; `None` without candidates.
    pub fn choose(
        &self, now: u64, candidates: &[Candidate], prompt: Prompt, view: FleetView, random: &mut impl RngCore,
    ) -> Option<Choice> {
        let rate_per_s = self.local_rate_per_s(now, prompt) * view.proxies.max(1) as f64;
        let classes = self.classify(candidates, prompt.prefix, rate_per_s, view.inflow_tokens);
        let shares = self.shares(&classes, prompt, rate_per_s, view.objective_ms);
        let (class, members) = classes.get(draw_weighted(&shares, random)?)?;
        let index = *members.indices.get(draw_below(members.indices.len(), random))?;
        let work_tokens = work_tokens(prompt, class.cache, 1.0);
        Some(Choice {
            index,
            size: BackendSize::from(class),
            work_tokens,
            work_until_done_tokens: work_tokens + candidates.get(index)?.backlog_tokens,
            is_cached: class.cache == CacheState::Cached,
        })
    }

    /// Arrival rate at this proxy: of requests with the prompt's prefix, or of all requests if the prompt has no prefix.
    fn local_rate_per_s(&self, now: u64, prompt: Prompt) -> f64 {
        let smoothing_ms = self.settings.rate_smoothing_ms;
        let Some(prefix) = prompt.prefix else { return self.arrivals.at(now, smoothing_ms) };
        let observed = self.prefix_arrivals.get(&prefix).map_or(0.0, |rate| rate.at(now, smoothing_ms));
        let by_chance = self.settings.chance_arrivals * 1000.0 / smoothing_ms;
        (observed - by_chance).max(0.0)
    }

    /// Groups the candidates into speed classes.
    fn classify(
        &self, candidates: &[Candidate], prefix: Option<u64>, rate_per_s: f64, inflow_tokens: f64,
    ) -> Vec<(SpeedClass, Members)> {
        let cache_states = self.cache_states(candidates, prefix, rate_per_s);
        let bands = self.bands(candidates, inflow_tokens);
        let mut classes: BTreeMap<SpeedClass, Members> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let class = SpeedClass { slots: candidate.slots, cache: cache_states[index], band: bands[index] };
            classes.entry(class).or_default().add(index, candidate.backlog_tokens);
        }
        classes.into_iter().collect()
    }

    fn bands(&self, candidates: &[Candidate], inflow_tokens: f64) -> Vec<u32> {
        if !self.settings.use_backlog {
            return vec![0; candidates.len()];
        }
        let backlogs: Vec<f64> = candidates.iter().map(|candidate| candidate.backlog_tokens).collect();
        let width = inflow_tokens * self.settings.band_width;
        latency_bands::assign(&backlogs, width, self.settings.least_loaded_fraction)
    }

    /// For each candidate, whether it is expected to have the prefix in its cache.
    fn cache_states(
        &self, candidates: &[Candidate], prefix: Option<u64>, rate_per_s: f64,
    ) -> Vec<CacheState> {
        let mut states = vec![CacheState::Uncached; candidates.len()];
        let Some(prefix) = prefix else { return states };
        if self.settings.min_cached_backends == 0 {
            return states;
        }
        let for_rate = (rate_per_s / self.settings.rate_per_cached_backend) as usize;
        let cached = self.settings.min_cached_backends + for_rate;
        let identities: Vec<u64> = candidates.iter().map(|candidate| candidate.identity).collect();
        let ranked = affinity::ranked(prefix, &identities, cached + self.settings.fallback_backends);
        for (rank, index) in ranked.into_iter().enumerate() {
            states[index] = if rank < cached { CacheState::Cached } else { CacheState::PossiblyCached };
        }
        states
    }

    /// The fraction of the traffic for each class, by HALB's clamped formula. Each slot of a backend counts as one server in
    /// the formula.
    fn shares(
        &self, classes: &[(SpeedClass, Members)], prompt: Prompt, rate_per_s: f64, objective_ms: f64,
    ) -> Vec<f64> {
        let servers = |(class, members): &(SpeedClass, Members)| {
            members.indices.len() as f64 * f64::from(class.slots.max(1))
        };
        let total_servers: f64 = classes.iter().map(servers).sum();
        let rate_per_server = rate_per_s / total_servers.max(1.0);
        // Latencies are observed under the current load. In M/G/1/PS the latency is 1 / (speed - rate), hence the speed is
        // 1 / latency + rate.
        let speed = |(class, members): &(SpeedClass, Members)| {
            let latency_s = self.expected_latency_s(class, members, prompt, objective_ms);
            1.0 / latency_s + rate_per_server
        };
        let table: Vec<(f64, f64)> = classes.iter().map(|class| (servers(class), speed(class))).collect();
        halb_fractions(&table, Some(rate_per_s))
    }

    /// The expected latency of a class. The backlog counts only for the part by which it delays the response beyond the
    /// objective: up to the objective all classes serve this request equally well, and the class that computes the fewest
    /// tokens delays other requests least.
    fn expected_latency_s(
        &self, class: &SpeedClass, members: &Members, prompt: Prompt, objective_ms: f64,
    ) -> f64 {
        // A size without samples is assumed to be as slow as the slowest observed one.
        let slowest_ms = self.token_ms.values().copied().reduce(f64::max).unwrap_or(1.0);
        let learned_ms = self.token_ms.get(&BackendSize::from(class)).copied();
        let token_ms = learned_ms.unwrap_or(slowest_ms).max(MIN_TOKEN_MS);
        let backlog = if self.settings.use_backlog { members.mean_backlog } else { 0.0 };
        let own_ms = token_ms * work_tokens(prompt, class.cache, self.settings.recompute_weight);
        let response_ms = token_ms * (work_tokens(prompt, class.cache, 1.0) + backlog);
        let late_ms = (response_ms - objective_ms * self.settings.objective_fraction).max(0.0);
        (own_ms + late_ms) / 1000.0
    }
}

/// A random index with probability proportional to its weight; `None` without a positive weight.
fn draw_weighted(weights: &[f64], random: &mut impl RngCore) -> Option<usize> {
    let mut remaining = draw_unit(random) * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if *weight > 0.0 && remaining < *weight {
            return Some(index);
        }
        remaining -= weight;
    }
    // Rounding errors may leave a remainder; the last index with a positive weight takes it.
    weights.iter().rposition(|weight| *weight > 0.0)
}

/// A uniformly distributed number in [0, 1).
fn draw_unit(random: &mut impl RngCore) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A uniformly distributed number in [0, `n`); 0 if `n` is 0.
fn draw_below(n: usize, random: &mut impl RngCore) -> usize {
    ((draw_unit(random) * n as f64) as usize).min(n.saturating_sub(1))
}
