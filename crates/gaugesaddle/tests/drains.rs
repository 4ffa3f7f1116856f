//! Told is told: what discovery has to say counts whether or not the proxy hears it. Every test opens with a way in which
//! the news does not come, and judges by the first bytes that reach a server that leaves.

use gaugesaddle_testbed::peak_kb;
use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The settings' time in which sends to a server that leaves must stop, and what the protocol adds.
const GRACE: Duration = Duration::from_millis(500 + 50);

/// Clients that ask all the time, until it is dropped.
struct Traffic(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Traffic {
    fn at(proxy: &Proxy) -> Traffic {
        let (on, address) = (Arc::new(AtomicBool::new(true)), proxy.address);
        let ask = |on: Arc<AtomicBool>| {
            move || {
                let mut client = Client::open(address);
                while on.load(Ordering::SeqCst) {
                    client.send(&request("read", 7000));
                    assert!(client.read_response().is_some(), "each is answered");
                }
            }
        };
        let threads = (0..3).map(|_| std::thread::spawn(ask(on.clone()))).collect();
        Traffic(on, threads)
    }

    fn end(mut self) {
        self.0.store(false, Ordering::SeqCst);
        self.1.drain(..).for_each(|t| t.join().expect("every request answered"));
    }
}

/// Both have been asked since.
fn both_serve(a: &Backend, b: &Backend) {
    let before = (a.requests().len(), b.requests().len());
    until("both serve", || a.requests().len() > before.0 + 3 && b.requests().len() > before.1 + 3);
}

/// Waits out the grace from when the news was there, and a second more in which `leaving` must get nothing.
fn nothing_after_the_grace(told: Instant, leaving: &Backend, other: &Backend) {
    std::thread::sleep((told + GRACE).saturating_duration_since(Instant::now()));
    let (before, served) = (leaving.requests().len(), other.requests().len());
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(leaving.requests().len() - before, 0, "sent after the grace");
    let served = other.requests().len() - served;
    assert!(served > 10, "the other one serves: {served}");
}

/// Two servers, their lines, and a proxy that holds both as ready under load.
struct Pair {
    a: Backend,
    b: Backend,
    config: Value,
    discovery: Discovery,
    proxy: Proxy,
    traffic: Traffic,
}

impl Pair {
    fn start() -> Pair {
        let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
        let discovery = Discovery::start();
        let config = config(discovery.address, &lines(&a, "ready", &b));
        let proxy = Proxy::start(&config);
        discovery.publish(true, &lines(&a, "ready", &b));
        let traffic = Traffic::at(&proxy);
        both_serve(&a, &b);
        Pair { a, b, config, discovery, proxy, traffic }
    }

    fn leaving(&self) -> [Value; 1] {
        [endpoint("a", self.a.address, "draining", 0)]
    }

    /// The news were there at that moment: from then on for the grace, and never after it.
    fn kept_since(self, told: Instant) {
        nothing_after_the_grace(told, &self.a, &self.b);
        self.traffic.end();
    }
}

/// The whole list: `a` as it says, `b` ready.
fn lines(a: &Backend, state: &str, b: &Backend) -> [Value; 2] {
    [endpoint("a", a.address, state, 0), endpoint("b", b.address, "ready", 0)]
}

/// The case of the trial: discovery is silent, a call goes out in the silence and is swallowed by it, discovery comes back
/// with servers that leave. Before the mend that call was waited for up to 5.5 s, and its servers were sent requests.
#[test]
fn a_drain_at_discoverys_return_is_known_though_a_call_was_swallowed() {
    let pair = Pair::start();
    for _ in 0..2 {
        pair.discovery.stop_answering();
        std::thread::sleep(Duration::from_millis(700));
        let told = Instant::now();
        pair.discovery.resume(false, &pair.leaving());
        nothing_after_the_grace(told, &pair.a, &pair.b);
        pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b));
        both_serve(&pair.a, &pair.b);
    }
    pair.traffic.end();
}

/// The watch falls silent and the drain comes in the same moment: the silence has to be noticed by the proxy itself.
#[test]
fn a_drain_in_the_moment_of_a_silence_is_known_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.stop_answering();
    let told = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.kept_since(told);
}

/// Every watch is reset, and so is what comes for a while; the drain comes in the moment in which it ends. The pauses of
/// before grew to a second.
#[test]
fn a_drain_after_resets_is_known_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.reset();
    std::thread::sleep(Duration::from_millis(2_700));
    let told = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.kept_since(told);
}

/// The answer that brings the drain stops in its middle, on a connection that stays open.
#[test]
fn half_a_list_is_asked_for_again() {
    let pair = Pair::start();
    let told = Instant::now();
    pair.discovery.publish_truncated(false, &pair.leaving());
    pair.kept_since(told);
}

/// An agent that began to count anew: its changes are none of the list held, and the drain stands in the whole one only.
#[test]
fn an_older_version_makes_the_proxy_ask_for_the_whole_list() {
    let pair = Pair::start();
    (0..3).for_each(|_| pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b)));
    let told = Instant::now();
    pair.discovery.restart_with(&lines(&pair.a, "draining", &pair.b));
    pair.kept_since(told);
}

/// A list in many lines says the same.
#[test]
fn an_indented_list_drains_as_well() {
    let pair = Pair::start();
    pair.discovery.indent();
    let told = Instant::now();
    pair.discovery.publish(true, &lines(&pair.a, "draining", &pair.b));
    pair.kept_since(told);
}

/// A process starts with an old list. What its agent has counts as told from its first moment.
#[test]
fn a_new_process_goes_by_the_old_list_for_a_moment_only() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let address = free_address();
    let _discovery = Discovery::start_at(address, &lines(&a, "draining", &b));
    let told = Instant::now();
    let proxy = Proxy::start(&config(address, &lines(&a, "ready", &b)));
    let traffic = Traffic::at(&proxy);
    nothing_after_the_grace(told, &a, &b);
    traffic.end();
}

/// A process starts while discovery is down, refusing at first: what the agent gets at its return counts at once.
#[test]
fn a_process_that_starts_without_discovery_knows_what_it_brings_back() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let address = free_address();
    let proxy = Proxy::start(&config(address, &lines(&a, "ready", &b)));
    let traffic = Traffic::at(&proxy);
    both_serve(&a, &b);
    std::thread::sleep(Duration::from_millis(2_800)); // the pauses of before had grown to a second
    let told = Instant::now();
    let _discovery = Discovery::start_at(address, &lines(&a, "draining", &b));
    nothing_after_the_grace(told, &a, &b);
    traffic.end();
}

/// SIGHUP while discovery is silent at the old address and nobody is at the new one yet, and twice in a row.
#[test]
fn a_move_while_discovery_is_down_loses_nothing() {
    let mut pair = Pair::start();
    pair.discovery.stop_answering();
    let (first, second) = (free_address(), free_address());
    for address in [first, second, second] {
        pair.config["discovery"] = json!(address.to_string());
        pair.proxy.reload(&pair.config.to_string());
    }
    std::thread::sleep(Duration::from_millis(1_700));
    let told = Instant::now();
    let _moved = Discovery::start_at(second, &lines(&pair.a, "draining", &pair.b));
    pair.kept_since(told);
}

/// A drain that is taken back, and a server that is gone and back under its name at another address.
#[test]
fn a_drain_taken_back_and_a_server_back_under_its_name_serve_again() {
    let pair = Pair::start();
    let told = Instant::now();
    pair.discovery.publish(false, &pair.leaving());
    nothing_after_the_grace(told, &pair.a, &pair.b);
    pair.discovery.publish(false, &[endpoint("a", pair.a.address, "ready", 0)]);
    both_serve(&pair.a, &pair.b);
    let told = Instant::now();
    pair.discovery.publish(false, &[endpoint("a", pair.a.address, "gone", 0)]);
    nothing_after_the_grace(told, &pair.a, &pair.b);
    let c = Backend::start(|_| ok("c"));
    let before = pair.a.requests().len();
    pair.discovery.publish(false, &[endpoint("a", c.address, "ready", 0)]);
    both_serve(&c, &pair.b);
    assert_eq!(pair.a.requests().len(), before, "nothing goes to its old address");
    pair.traffic.end();
}

/// All servers leave at once: requests are refused with advice, never sent, and taken again when one is back.
#[test]
fn all_leaving_at_once_is_refused_and_never_sent() {
    let pair = Pair::start();
    let told = Instant::now();
    let leaving =
        |b: &Backend| [endpoint("a", pair.a.address, "draining", 0), endpoint("b", b.address, "draining", 0)];
    pair.discovery.publish(false, &leaving(&pair.b));
    std::thread::sleep((told + GRACE).saturating_duration_since(Instant::now()));
    let sent = (pair.a.requests().len(), pair.b.requests().len());
    let refused = send_request(&pair.proxy, &request("pay", 300));
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "it says when to come back");
    assert_eq!((pair.a.requests().len(), pair.b.requests().len()), sent);
    pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b));
    both_serve(&pair.a, &pair.b);
    pair.traffic.end();
}

/// A list of a hundred thousand servers, and one that fits by its bytes and not by its lines: both are refused by name, the
/// list held serves on, memory stays within what is told, and the next list that can be used is known in time.
#[test]
fn a_list_beyond_all_measure_costs_little_and_changes_nothing() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &lines(&a, "ready", &b));
    config["limits"]["memory_mb"] = json!(32);
    let proxy = Proxy::start(&config);
    discovery.publish(true, &lines(&a, "ready", &b));
    let traffic = Traffic::at(&proxy);
    both_serve(&a, &b);
    let many = |count: usize| {
        let all: Vec<Value> =
            (0..count).map(|n| endpoint(&format!("s{n}"), b.address, "draining", 0)).collect();
        json!({"index": 9_000, "snapshot": true, "endpoints": all}).to_string()
    };
    discovery.answer_with(&many(100_000));
    until("it is refused by its bytes", || {
        proxy.log().contains("discovery: the list: length limit exceeded")
    });
    discovery.answer_with(&many(2_500));
    let refused = "endpoints: expected no more than 2048 lines for the memory told, got 2500";
    until("it is refused by its lines", || proxy.log().contains(refused));
    both_serve(&a, &b);
    let peak = peak_kb(proxy.id()).expect("it runs") >> 10;
    assert!(peak < 32, "{peak} MB");
    let told = Instant::now();
    discovery.publish(true, &lines(&a, "draining", &b));
    nothing_after_the_grace(told, &a, &b);
    traffic.end();
}
