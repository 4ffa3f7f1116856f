//! Drains published by discovery: the grace period starts when a drain is published, whether or not the proxy
//! receives it. Each test delays or loses the update in another way and checks that no request reaches the draining
//! server after it.

use gaugesaddle_testbed::peak_kb;
use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time within which sends to a draining server must stop: 500 ms of the settings, and 50 ms for the protocol.
const GRACE: Duration = Duration::from_millis(500 + 50);

/// Three clients that send requests continuously until [`Traffic::end`].
struct Traffic(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Traffic {
    fn at(proxy: &Proxy) -> Traffic {
        let (on, address) = (Arc::new(AtomicBool::new(true)), proxy.address);
        let ask = |on: Arc<AtomicBool>| {
            move || {
                let mut client = Client::open(address);
                while on.load(Ordering::SeqCst) {
                    client.send(&request("read", 7000));
                    assert!(client.read_response().is_some(), "each request is answered");
                }
            }
        };
        let threads = (0..3).map(|_| std::thread::spawn(ask(on.clone()))).collect();
        Traffic(on, threads)
    }

    fn end(mut self) {
        self.0.store(false, Ordering::SeqCst);
        self.1.drain(..).for_each(|t| t.join().expect("every request is answered"));
    }
}

/// Waits until both backends have received more requests.
fn wait_until_both_serve(a: &Backend, b: &Backend) {
    let before = (a.requests().len(), b.requests().len());
    until("both receive requests", || a.requests().len() > before.0 + 3 && b.requests().len() > before.1 + 3);
}

/// Waits until the grace period from the publication is over, and for one second more, in which `leaving` must receive
/// nothing.
fn assert_nothing_sent_after_grace(published_at: Instant, leaving: &Backend, other: &Backend) {
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let (before, served) = (leaving.requests().len(), other.requests().len());
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        leaving.requests().len() - before,
        0,
        "requests were sent to the draining server after the grace period"
    );
    let served = other.requests().len() - served;
    assert!(served > 10, "the other server receives the requests: {served}");
}

/// A proxy under load with two ready servers, and its discovery agent.
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
        [endpoint("a", self.a.address, "draining", 0)]
    }

    /// Checks that `a` receives nothing once the grace period from that moment is over, and ends the traffic.
    fn assert_grace_kept(self, published_at: Instant) {
        assert_nothing_sent_after_grace(published_at, &self.a, &self.b);
        self.traffic.end();
    }
}

/// The whole endpoint list: `a` with the given status, `b` ready.
fn lines(a: &Backend, state: &str, b: &Backend) -> [Value; 2] {
    [endpoint("a", a.address, state, 0), endpoint("b", b.address, "ready", 0)]
}

/// Discovery stops answering, a call sent meanwhile is never answered, and discovery returns with a drain. A proxy that
/// waits up to 5.5 s for the lost call sends requests to the draining server.
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

/// The watch stalls at the moment of the drain: the proxy must detect the stall by itself.
#[test]
fn a_drain_published_as_the_watch_stalls_is_applied_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.stop_answering();
    let published_at = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// All discovery connections are reset for 2.7 s, and the drain is published as the resets end. A retry delay that
/// grows to one second applies the drain too late.
#[test]
fn a_drain_after_connection_resets_is_applied_by_the_next_call() {
    let pair = Pair::start();
    pair.discovery.reset();
    std::thread::sleep(Duration::from_millis(2_700));
    let published_at = Instant::now();
    pair.discovery.resume(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// The response with the drain is truncated on a connection that stays open.
#[test]
fn a_truncated_list_is_requested_again() {
    let pair = Pair::start();
    let published_at = Instant::now();
    pair.discovery.publish_truncated(false, &pair.leaving());
    pair.assert_grace_kept(published_at);
}

/// A restarted agent counts its index from the start: its changes do not apply to the list in the proxy, and only the
/// snapshot has the drain.
#[test]
fn an_older_index_makes_the_proxy_request_a_snapshot() {
    let pair = Pair::start();
    (0..3).for_each(|_| pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b)));
    let published_at = Instant::now();
    pair.discovery.restart_with(&lines(&pair.a, "draining", &pair.b));
    pair.assert_grace_kept(published_at);
}

/// A list that is formatted over several lines is applied like a compact one.
#[test]
fn an_indented_list_is_applied() {
    let pair = Pair::start();
    pair.discovery.indent();
    let published_at = Instant::now();
    pair.discovery.publish(true, &lines(&pair.a, "draining", &pair.b));
    pair.assert_grace_kept(published_at);
}

/// A process starts with an outdated list: the grace period of the agent's drain starts with the process.
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

/// A process starts while discovery refuses connections: the grace period of a drain starts when the agent is back.
#[test]
fn a_process_started_without_discovery_applies_the_first_list_in_time() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let address = free_address();
    let proxy = Proxy::start(&config(address, &lines(&a, "ready", &b)));
    let traffic = Traffic::at(&proxy);
    wait_until_both_serve(&a, &b);
    std::thread::sleep(Duration::from_millis(2_800)); // a growing retry delay reaches one second by now
    let published_at = Instant::now();
    let _discovery = Discovery::start_at(address, &lines(&a, "draining", &b));
    assert_nothing_sent_after_grace(published_at, &a, &b);
    traffic.end();
}

/// SIGHUP changes the discovery address while the old agent does not answer and no agent listens at the new address
/// yet; the last change is repeated.
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

/// A drain is cancelled, and a removed server returns under its name with another address.
#[test]
fn a_cancelled_drain_and_a_returning_server_receive_requests_again() {
    let pair = Pair::start();
    let published_at = Instant::now();
    pair.discovery.publish(false, &pair.leaving());
    assert_nothing_sent_after_grace(published_at, &pair.a, &pair.b);
    pair.discovery.publish(false, &[endpoint("a", pair.a.address, "ready", 0)]);
    wait_until_both_serve(&pair.a, &pair.b);
    let published_at = Instant::now();
    pair.discovery.publish(false, &[endpoint("a", pair.a.address, "gone", 0)]);
    assert_nothing_sent_after_grace(published_at, &pair.a, &pair.b);
    let c = Backend::start(|_| ok("c"));
    let before = pair.a.requests().len();
    pair.discovery.publish(false, &[endpoint("a", c.address, "ready", 0)]);
    wait_until_both_serve(&c, &pair.b);
    assert_eq!(pair.a.requests().len(), before, "requests were sent to the old address");
    pair.traffic.end();
}

/// All servers drain at once: requests are rejected with Retry-After and not sent, and admitted again once a server
/// is ready.
#[test]
fn requests_are_rejected_unsent_while_all_servers_drain() {
    let pair = Pair::start();
    let published_at = Instant::now();
    let leaving =
        |b: &Backend| [endpoint("a", pair.a.address, "draining", 0), endpoint("b", b.address, "draining", 0)];
    pair.discovery.publish(false, &leaving(&pair.b));
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let sent = (pair.a.requests().len(), pair.b.requests().len());
    let refused = send_request(&pair.proxy, &request("pay", 300));
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "the rejection carries Retry-After");
    assert_eq!((pair.a.requests().len(), pair.b.requests().len()), sent);
    pair.discovery.publish(true, &lines(&pair.a, "ready", &pair.b));
    wait_until_both_serve(&pair.a, &pair.b);
    pair.traffic.end();
}

/// Sends requests until one is at `broken`, which holds it. Returns its client, and the number of requests at `leaving`.
fn hold_request(proxy: &Proxy, broken: &Backend, leaving: &Backend) -> (Client, usize) {
    loop {
        let (at_broken, at_leaving) = (broken.requests().len(), leaving.requests().len());
        let mut client = Client::open(proxy.address);
        client.send(&request("read", 7000));
        until("the request is at a server", || {
            broken.requests().len() > at_broken || leaving.requests().len() > at_leaving
        });
        if broken.requests().len() > at_broken {
            return (client, at_leaving);
        }
        assert!(client.read_response().is_some(), "the request is answered");
    }
}

/// Tells a proxy to stop while a request is at one server, drains the other one, and has the first one break off after the
/// grace period. Returns the number of requests that then reached the draining server; `None` if the proxy had sent the
/// request there before, as it may while that server is ready.
fn requests_after_a_drain_while_the_proxy_stops() -> Option<usize> {
    let (held, release) = Hold::new();
    let is_held = Arc::new(AtomicBool::new(false));
    let hold = is_held.clone();
    let broken = Backend::start(move |_| {
        if hold.load(Ordering::SeqCst) && held.wait_once() {
            Reply::RespondAndClose(String::new())
        } else {
            ok("broken")
        }
    });
    let leaving = Backend::start(|_| ok("leaving"));
    let discovery = Discovery::start();
    let both = |state: &str| {
        let leaving = endpoint("leaving", leaving.address, state, 0);
        [endpoint("broken", broken.address, "ready", 0), leaving]
    };
    let mut config = config(discovery.address, &both("ready"));
    config["settings"]["limits"]["parallel_tries"] = json!(false);
    let mut proxy = Proxy::start(&config);
    discovery.publish(true, &both("ready"));
    // The retry budget is a fraction of the requests.
    until("the proxy uses both servers", || {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        broken.requests().len() > 10 && leaving.requests().len() > 10
    });
    is_held.store(true, Ordering::SeqCst);
    let (mut client, others) = hold_request(&proxy, &broken, &leaving);
    proxy.terminate();
    let published_at = Instant::now();
    discovery.publish(true, &both("draining"));
    until("the proxy stops", || proxy.ready() != 200);
    until("the grace period of the drain is over", || published_at.elapsed() > GRACE);
    let before = leaving.requests().len();
    release.send(()).expect("the server waits");
    let _ = client.read_response();
    assert!(proxy.exit().success(), "{}", proxy.log());
    (before == others).then(|| leaving.requests().len() - before)
}

/// Guards against a proxy that was told to stop and no longer follows discovery: it sends a request on to a server that has
/// drained meanwhile.
#[test]
fn a_drain_published_while_the_proxy_stops_is_applied() {
    let mut sent = None;
    until("the request stays at the first server until the drain", || {
        sent = requests_after_a_drain_while_the_proxy_stops();
        sent.is_some()
    });
    assert_eq!(sent, Some(0), "the request was sent to the draining server");
}

/// A list of 100 000 servers exceeds the size limit, and one of 2500 the line limit: both are rejected with the limit
/// in the log, the previous list stays in use, memory stays within its limit, and the next valid list is applied in
/// time.
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
        let all: Vec<Value> =
            (0..count).map(|n| endpoint(&format!("s{n}"), b.address, "draining", 0)).collect();
        json!({"index": 9_000, "snapshot": true, "endpoints": all}).to_string()
    };
    discovery.answer_with(&many(100_000));
    until("the list is rejected for its size", || {
        proxy.log().contains("discovery: the list: length limit exceeded")
    });
    discovery.answer_with(&many(2_500));
    let refused = "endpoints: expected no more than 2048 lines for the memory told, got 2500";
    until("the list is rejected for its number of lines", || proxy.log().contains(refused));
    wait_until_both_serve(&a, &b);
    let peak = peak_kb(proxy.id()).expect("the proxy runs") >> 10;
    assert!(peak < 32, "peak memory of {peak} MB exceeds the limit of 32 MB");
    let published_at = Instant::now();
    discovery.publish(true, &lines(&a, "draining", &b));
    assert_nothing_sent_after_grace(published_at, &a, &b);
    traffic.end();
}
