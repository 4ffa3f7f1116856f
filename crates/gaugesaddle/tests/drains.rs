//! Told is told: what discovery has to say counts whether or not the proxy hears it. Every test opens with a way in which
//! the news does not come, and judges by the first bytes that reach a server that leaves.

use gaugesaddle_testbed::scripted::*;
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
    assert!(other.requests().len() > served + 10, "the other one serves");
}

/// The case of the trial: discovery is silent, a call goes out in the silence and is swallowed by it, discovery comes back
/// with servers that leave. Before the mend that call was waited for up to 5.5 s, and its servers were sent requests.
#[test]
fn a_drain_at_discoverys_return_is_known_though_a_call_was_swallowed() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let lines = |state: &str| [line("a", a.address, state, 0), line("b", b.address, "ready", 0)];
    let proxy = Proxy::start(&config(discovery.address, &lines("ready")));
    discovery.tell(true, &lines("ready"));
    let traffic = Traffic::at(&proxy);
    for _ in 0..2 {
        both_serve(&a, &b);
        discovery.fall_silent();
        std::thread::sleep(Duration::from_millis(700));
        let told = Instant::now();
        discovery.come_back(false, &[line("a", a.address, "draining", 0)]);
        nothing_after_the_grace(told, &a, &b);
        discovery.tell(true, &lines("ready"));
    }
    traffic.end();
}

/// The watch falls silent and the drain comes in the same moment: the silence has to be noticed by the proxy itself.
#[test]
fn a_drain_in_the_moment_of_a_silence_is_known_by_the_next_call() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let lines = |state: &str| [line("a", a.address, state, 0), line("b", b.address, "ready", 0)];
    let proxy = Proxy::start(&config(discovery.address, &lines("ready")));
    discovery.tell(true, &lines("ready"));
    let traffic = Traffic::at(&proxy);
    both_serve(&a, &b);
    discovery.fall_silent();
    let told = Instant::now();
    discovery.come_back(false, &[line("a", a.address, "draining", 0)]);
    nothing_after_the_grace(told, &a, &b);
    traffic.end();
}
