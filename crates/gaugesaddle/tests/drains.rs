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
                    assert!(client.answer().is_some(), "each is answered");
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
fn wait_until_both_serve(a: &Backend, b: &Backend) {
    let before = (a.requests().len(), b.requests().len());
    until("both serve", || a.requests().len() > before.0 + 3 && b.requests().len() > before.1 + 3);
}

/// Waits out the grace from when the news was there, and a second more in which `leaving` must get nothing.
fn assert_nothing_sent_after_grace(published_at: Instant, leaving: &Backend, other: &Backend) {
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
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
        wait_until_both_serve(&a, &b);
        Pair { a, b, config, discovery, proxy, traffic }
    }

    fn leaving(&self) -> [Value; 1] {
        [line("a", self.a.address, "draining", 0)]
    }

    /// The news were there at that moment: from then on for the grace, and never after it.
    fn assert_grace_kept(self, published_at: Instant) {
        assert_nothing_sent_after_grace(published_at, &self.a, &self.b);
        self.traffic.end();
    }
}

/// The whole list: `a` as it says, `b` ready.
fn lines(a: &Backend, state: &str, b: &Backend) -> [Value; 2] {
    [line("a", a.address, state, 0), line("b", b.address, "ready", 0)]
}

/// The case of the trial: discovery is silent, a call goes out in the silence and is swallowed by it, discovery comes back
/// with servers that leave. Before the mend that call was waited for up to 5.5 s, and its servers were sent requests.
#[test]
fn a_drain_published_after_an_outage_is_applied_despite_an_unanswered_call() {
    let pair = Pair::start();
    for _ in 0..2 {
        pair.discovery.stop_answering();
        std::thread::sleep(Duration::from_millis(700));
        let published_at = Instant::now();
        pair.discovery.resume(false, &pair.leaving());
        assert_nothing_sent_after_grace(published_at, &pair.a, &pair.b);
        pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b));
        wait_until_both_serve(&pair.a, &pair.b);
    }
    pair.traffic.end();
}

/// The watch falls silent and the drain comes in the same moment: the silence has to be noticed by the proxy itself.
#[test]
fn a_drain_published_as_the_watch_stalls_is_applied_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.stop_answering();
    let published_at = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// Every watch is reset, and so is what comes for a while; the drain comes in the moment in which it ends. The pauses of
/// before grew to a second.
#[test]
fn a_drain_after_connection_resets_is_applied_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.reset();
    std::thread::sleep(Duration::from_millis(2_700));
    let published_at = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// The answer that brings the drain stops in its middle, on a connection that stays open.
#[test]
fn a_truncated_list_is_requested_again() {
    let pair = Pair::start();
    let published_at = Instant::now();
    pair.discovery.publish_truncated(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// An agent that began to count anew: its changes are none of the list held, and the drain stands in the whole one only.
#[test]
fn an_older_index_makes_the_proxy_request_a_snapshot() {
    let pair = Pair::start();
    (0..3).for_each(|_| pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b)));
    let published_at = Instant::now();
    pair.discovery.restart_with(&lines(&pair.a, "draining", &pair.b));
    pair.assert_grace_kept(published_at);
}

/// A list in many lines says the same.
#[test]
fn an_indented_list_is_applied() {
    let pair = Pair::start();
    pair.discovery.indent();
    let published_at = Instant::now();
    pair.discovery.publish(true, &lines(&pair.a, "draining", &pair.b));
    pair.assert_grace_kept(published_at);
}

/// A process starts with an old list. What its agent has counts as told from its first moment.
#[test]
fn a_new_process_replaces_its_outdated_list_within_the_grace_period() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let address = free_address();
    let _discovery = Discovery::start_at(address, &lines(&a, "draining", &b));
    let published_at = Instant::now();
    let proxy = Proxy::start(&config(address, &lines(&a, "ready", &b)));
    let traffic = Traffic::at(&proxy);
    assert_nothing_sent_after_grace(published_at, &a, &b);
    traffic.end();
}

/// A process starts while discovery is down, refusing at first: what the agent gets at its return counts at once.
#[test]
fn a_process_started_without_discovery_applies_the_first_list_in_time() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let address = free_address();
    let proxy = Proxy::start(&config(address, &lines(&a, "ready", &b)));
    let traffic = Traffic::at(&proxy);
    wait_until_both_serve(&a, &b);
    std::thread::sleep(Duration::from_millis(2_800)); // the pauses of before had grown to a second
    let published_at = Instant::now();
    let _discovery = Discovery::start_at(address, &lines(&a, "draining", &b));
    assert_nothing_sent_after_grace(published_at, &a, &b);
    traffic.end();
}

/// SIGHUP while discovery is silent at the old address and nobody is at the new one yet, and twice in a row.
#[test]
fn a_discovery_address_change_during_an_outage_loses_no_drain() {
    let mut pair = Pair::start();
    pair.discovery.stop_answering();
    let (first, second) = (free_address(), free_address());
    for address in [first, second, second] {
        pair.config["discovery"] = json!(address.to_string());
        pair.proxy.reload(&pair.config.to_string());
    }
    std::thread::sleep(Duration::from_millis(1_700));
    let published_at = Instant::now();
    let _moved = Discovery::start_at(second, &lines(&pair.a, "draining", &pair.b));
    pair.assert_grace_kept(published_at);
}

/// A drain that is taken back, and a server that is gone and back under its name at another address.
#[test]
fn a_cancelled_drain_and_a_returning_server_receive_requests_again() {
    let pair = Pair::start();
    let published_at = Instant::now();
    pair.discovery.publish(false, &pair.leaving());
    assert_nothing_sent_after_grace(published_at, &pair.a, &pair.b);
    pair.discovery.publish(false, &[line("a", pair.a.address, "ready", 0)]);
    wait_until_both_serve(&pair.a, &pair.b);
    let published_at = Instant::now();
    pair.discovery.publish(false, &[line("a", pair.a.address, "gone", 0)]);
    assert_nothing_sent_after_grace(published_at, &pair.a, &pair.b);
    let c = Backend::start(|_| ok("c"));
    let before = pair.a.requests().len();
    pair.discovery.publish(false, &[line("a", c.address, "ready", 0)]);
    wait_until_both_serve(&c, &pair.b);
    assert_eq!(pair.a.requests().len(), before, "nothing goes to its old address");
    pair.traffic.end();
}

/// All servers leave at once: requests are refused with advice, never sent, and taken again when one is back.
#[test]
fn requests_are_rejected_unsent_while_all_servers_drain() {
    let pair = Pair::start();
    let published_at = Instant::now();
    let leaving =
        |b: &Backend| [line("a", pair.a.address, "draining", 0), line("b", b.address, "draining", 0)];
    pair.discovery.publish(false, &leaving(&pair.b));
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let sent = (pair.a.requests().len(), pair.b.requests().len());
    let refused = ask(&pair.proxy, &request("pay", 300));
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "it says when to come back");
    assert_eq!((pair.a.requests().len(), pair.b.requests().len()), sent);
    pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b));
    wait_until_both_serve(&pair.a, &pair.b);
    pair.traffic.end();
}

/// A list of a hundred thousand servers, and one that fits by its bytes and not by its lines: both are refused by name, the
/// list held serves on, memory stays within what is told, and the next list that can be used is known in time.
#[test]
fn an_oversized_list_is_rejected_within_the_memory_limit() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &lines(&a, "ready", &b));
    config["limits"]["memory_mb"] = json!(32);
    let proxy = Proxy::start(&config);
    discovery.publish(true, &lines(&a, "ready", &b));
    let traffic = Traffic::at(&proxy);
    wait_until_both_serve(&a, &b);
    let many = |count: usize| {
        let all: Vec<Value> = (0..count).map(|n| line(&format!("s{n}"), b.address, "draining", 0)).collect();
        json!({"index": 9_000, "snapshot": true, "endpoints": all}).to_string()
    };
    discovery.answer_with(&many(100_000));
    until("it is refused by its bytes", || {
        proxy.log().contains("discovery: the list: length limit exceeded")
    });
    discovery.answer_with(&many(2_500));
    let refused = "endpoints: expected no more than 2048 lines for the memory told, got 2500";
    until("it is refused by its lines", || proxy.log().contains(refused));
    wait_until_both_serve(&a, &b);
    let peak = peak_kb(proxy.id()).expect("it runs") >> 10;
    assert!(peak < 32, "{peak} MB");
    let published_at = Instant::now();
    discovery.publish(true, &lines(&a, "draining", &b));
    assert_nothing_sent_after_grace(published_at, &a, &b);
    traffic.end();
}
