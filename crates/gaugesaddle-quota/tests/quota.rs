//! Failures guarded against: all proxies together use more than a tenant's quota or the retry budget, or a proxy is
//! denied tokens although there are enough.

use gaugesaddle_protocol::QuotaRequest;
use gaugesaddle_quota::{
    Admission, Limit, RetryBudget, RetrySettings, TokenAllocator, TokenAllowance, FALLBACK_MS, LEASE_MS,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATE: f64 = 1000.0;
const BURST: f64 = 500.0;
/// Cost of the largest request, in tokens.
const MAX_COST: u64 = 119;

fn limits() -> Vec<(String, Limit)> {
    vec![("t".to_owned(), Limit { rate: RATE, burst: BURST })]
}

/// A proxy with its allowance and the tokens that it has used, by time.
struct Proxy {
    name: String,
    allowance: TokenAllowance,
    used: Vec<(u64, u64)>,
    has_leader_contact: bool,
}

impl Proxy {
    fn new(number: usize, floor: f64) -> Proxy {
        let mut allowance = TokenAllowance::default();
        allowance.configure(&["t".to_owned()], floor);
        Proxy { name: format!("p{number}"), allowance, used: Vec::new(), has_leader_contact: true }
    }

    fn use_tokens(&mut self, now: u64, cost: u64) -> bool {
        let granted = self.allowance.take(now, "t", cost) == Admission::Granted;
        if granted {
            self.used.push((now, cost));
        }
        granted
    }

    fn request(&mut self, now: u64, allocator: &mut TokenAllocator) {
        if !self.has_leader_contact {
            return;
        }
        let requests = self.allowance.requests(now);
        if !requests.is_empty() {
            let grants = allocator.allocate(now, &self.name, &requests);
            self.allowance.record_grants(now, &grants);
        }
    }
}

fn max_in_window(used: &[(u64, u64)], window: u64) -> u64 {
    let mut used = used.to_vec();
    used.sort_unstable();
    let sum = |from: usize| {
        let begin = used[from].0;
        used[from..].iter().take_while(|(at, _)| *at < begin + window).map(|(_, n)| n).sum()
    };
    (0..used.len()).map(sum).max().unwrap_or(0)
}

#[test]
fn one_proxy_gets_full_quota_while_others_are_idle() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let mut proxies: Vec<Proxy> = (0..5).map(|n| Proxy::new(n, 0.0)).collect();
    let mut rejected = 0;
    for now in (2000..12_000).step_by(20) {
        if !proxies[0].use_tokens(now, 18) {
            proxies[0].allowance.add_deficit("t", 18);
            proxies[0].request(now, &mut allocator);
            proxies[0].allowance.remove_deficit("t", 18);
            rejected += u32::from(!proxies[0].use_tokens(now, 18));
        }
        for proxy in &mut proxies {
            proxy.request(now, &mut allocator);
        }
    }
    // The demand is 900 tokens per second, the limit 1,000.
    assert!(rejected <= 5, "{rejected} of 500 requests rejected below the quota");
}

/// A fixed seed makes the cases the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    /// Proxies use all tokens that they are granted, and lose and regain contact with the leader at any time.
    #[test]
    fn total_usage_stays_within_quota(
        events in proptest::collection::vec((0usize..6, 0u8..40, 1..=MAX_COST), 200..600),
    ) {
        let mut allocator = TokenAllocator::default();
        allocator.configure(0, &limits());
        let mut proxies: Vec<Proxy> = (0..6).map(|n| Proxy::new(n, 0.0)).collect();
        let mut now = 10_000;
        for (at, event, cost) in events {
            now += 15;
            let proxy = &mut proxies[at];
            match event {
                0 => proxy.has_leader_contact = false,
                1 => proxy.has_leader_contact = true,
                _ => {
                    if !proxy.use_tokens(now, cost) {
                        proxy.allowance.add_deficit("t", cost);
                        proxy.request(now, &mut allocator);
                        proxy.allowance.remove_deficit("t", cost);
                        proxy.use_tokens(now, cost);
                    }
                }
            }
            for proxy in &mut proxies {
                proxy.request(now, &mut allocator);
            }
        }
        let used: Vec<(u64, u64)> = proxies.iter().flat_map(|p| p.used.clone()).collect();
        let window = 8000;
        let max = max_in_window(&used, window);
        // Unused leased tokens count as part of the burst; each proxy without a leader may overdraw its reserve by one
        // request.
        let overdraft = (proxies.len() as u64 * MAX_COST) as f64;
        let bound = RATE * window as f64 / 1000.0 + BURST + overdraft;
        prop_assert!(max as f64 <= bound, "{} tokens used in a window, bound {}", max, bound);
    }

    #[test]
    fn leased_tokens_never_exceed_rate(requests in proptest::collection::vec((0u64..50, 0u64..2000), 1..200)) {
        let mut allocator = TokenAllocator::default();
        allocator.configure(0, &limits());
        let (mut now, mut leased) = (0, 0);
        for (wait, tokens) in requests {
            now += wait;
            let request = QuotaRequest { tenant: "t".to_owned(), tokens, unused: 0, usage_rate: 0 };
            leased += allocator.allocate(now, "p", &[request]).iter().map(|g| g.tokens).sum::<u64>();
            prop_assert!(leased as f64 <= RATE * now as f64 / 1000.0 + 1.0);
        }
    }

    #[test]
    fn retries_of_all_proxies_stay_within_budget(
        arrivals in proptest::collection::vec((0usize..7, any::<bool>(), 0u64..40), 100..800),
    ) {
        let settings = RetrySettings { ratio: 0.2, window_ms: 10_000, slack: 20.0 };
        let mut budgets: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(settings)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 100_000;
        for (at, is_retried, wait) in arrivals {
            now += wait;
            budgets[at].record_request(now);
            requests.push((now, 1));
            if is_retried && budgets[at].take(now, 7) {
                retries.push((now, 1));
            }
        }
        // In each window, the retries are compared with the requests of that window and of the one before it.
        for (begin, _) in &retries {
            let within = |from: u64, to: u64, list: &[(u64, u64)]| {
                list.iter().filter(|(at, _)| (from..to).contains(at)).count() as f64
            };
            let begin = *begin;
            let used = within(begin, begin + 10_000, &retries);
            let requested = within(begin.saturating_sub(10_000), begin + 10_000, &requests);
            prop_assert!(used <= 0.2 * requested + 20.0, "{} retries, {} requests", used, requested);
        }
    }
}

#[test]
fn proxy_without_leader_continues_at_its_rate_until_fallback_ends() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let mut proxy = Proxy::new(0, 0.0);
    for now in (5000..15_000).step_by(50) {
        proxy.request(now, &mut allocator);
        proxy.use_tokens(now, 25);
    }
    let used = |proxy: &Proxy, from: u64, to: u64| -> u64 {
        proxy.used.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, n)| n).sum()
    };
    let usage_rate = used(&proxy, 10_000, 15_000) / 5;
    proxy.has_leader_contact = false;
    for now in (15_000..35_000).step_by(10) {
        proxy.use_tokens(now, 25);
    }
    let rate_without_leader = used(&proxy, 17_000, 20_000) / 3;
    assert!(
        rate_without_leader * 2 >= usage_rate && rate_without_leader <= usage_rate * 3 / 2,
        "{rate_without_leader} tokens per second without the leader, {usage_rate} before"
    );
    assert_eq!(
        used(&proxy, 15_000 + FALLBACK_MS + 3000, 35_000),
        0,
        "the leader no longer reserves tokens for this proxy"
    );
}

/// Failure guarded against (inc-f518): most proxies are killed at once while one tenant is busy. The leader reserves
/// tokens at the rates of the killed proxies, up to the entire quota, and the tenant's requests are rejected for
/// seconds.
#[test]
fn restarted_proxies_do_not_keep_reservations() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let serve = |proxies: &mut Vec<Proxy>, allocator: &mut TokenAllocator, from: u64, to: u64| -> u64 {
        let mut used = 0;
        for now in (from..to).step_by(10) {
            for proxy in proxies.iter_mut() {
                if !proxy.use_tokens(now, 10) {
                    proxy.allowance.add_deficit("t", 10);
                    proxy.request(now, allocator);
                    proxy.allowance.remove_deficit("t", 10);
                }
                used += u64::from(proxy.use_tokens(now, 10)) * 10;
            }
        }
        used
    };
    let mut proxies: Vec<Proxy> = (0..8).map(|n| Proxy::new(n, 0.0)).collect();
    serve(&mut proxies, &mut allocator, 1000, 9000);
    // Six of eight proxies are killed and restart a second later without state.
    let mut survivors: Vec<Proxy> = proxies.drain(..2).collect();
    serve(&mut survivors, &mut allocator, 9000, 10_000);
    survivors.extend((2..8).map(|n| Proxy::new(n, 0.0)));
    let used_after_restart = serve(&mut survivors, &mut allocator, 10_000, 12_000);
    assert!(
        used_after_restart >= 1700,
        "{used_after_restart} tokens used in two seconds, limit 1,000 per second"
    );
}

/// The reservation for a killed proxy that is not restarted decays as well.
#[test]
fn reservation_for_lost_proxy_decays() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let request =
        |tokens, usage_rate| [QuotaRequest { tenant: "t".to_owned(), tokens, unused: 0, usage_rate }];
    allocator.allocate(5000, "lost", &request(500, 1000));
    allocator.allocate(5000 + LEASE_MS, "live", &request(2000, 0));
    let leased = |allocator: &mut TokenAllocator, at| -> u64 {
        allocator.allocate(at, "live", &request(2000, 0)).iter().map(|g| g.tokens).sum()
    };
    let soon = leased(&mut allocator, 5000 + LEASE_MS + 1000);
    let later = leased(&mut allocator, 5000 + LEASE_MS + 4000);
    assert!(
        soon < 900 && later >= 500,
        "leased {soon} of 1,000 tokens in the first second, {later} after four seconds (burst 500)"
    );
}

/// Failure guarded against: a tenant's traffic rises suddenly while many proxies have unused leased tokens, and they
/// use these on top of a full bucket. Found by a search on the deployment `nilavu-air-grown`.
#[test]
fn unused_leased_tokens_count_against_bucket_capacity() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let mut proxies: Vec<Proxy> = (0..40).map(|n| Proxy::new(n, 0.0)).collect();
    let serve = |proxies: &mut Vec<Proxy>, allocator: &mut TokenAllocator, from: u64, to: u64, every: u64| {
        for now in (from..to).step_by(10) {
            for (number, proxy) in proxies.iter_mut().enumerate() {
                if (now / 10 + number as u64) % every == 0 && !proxy.use_tokens(now, 10) {
                    proxy.allowance.add_deficit("t", 10);
                    proxy.request(now, allocator);
                    proxy.allowance.remove_deficit("t", 10);
                    proxy.use_tokens(now, 10);
                }
                if (now / 10 + number as u64) % 30 == 0 {
                    proxy.request(now, allocator);
                }
            }
        }
    };
    // The demand is 80% of the quota, then rises to four times the quota.
    serve(&mut proxies, &mut allocator, 10_000, 20_000, 50);
    serve(&mut proxies, &mut allocator, 20_000, 30_000, 10);
    let used: Vec<(u64, u64)> = proxies.iter().flat_map(|p| p.used.clone()).collect();
    let max = max_in_window(&used, 8000) as f64;
    let bound = RATE * 8.0 + BURST;
    assert!(max <= bound, "{max} tokens used in eight seconds, limit {bound}");
    assert!(max >= RATE * 8.0 * 0.97, "only {max} tokens used in eight seconds, limit {bound}");
}

#[test]
fn leased_tokens_expire() {
    let mut allocator = TokenAllocator::default();
    allocator.configure(0, &limits());
    let mut proxy = Proxy::new(0, 0.0);
    proxy.allowance.add_deficit("t", 100);
    proxy.request(5000, &mut allocator);
    proxy.allowance.remove_deficit("t", 100);
    let mut late = proxy.allowance.clone();
    assert_eq!(proxy.allowance.take(5000 + LEASE_MS - 1, "t", 100), Admission::Granted);
    // The leader is lost by then and there was no usage, so there is no reserve either.
    assert_eq!(late.take(5000 + LEASE_MS, "t", 100), Admission::Insufficient);
}
