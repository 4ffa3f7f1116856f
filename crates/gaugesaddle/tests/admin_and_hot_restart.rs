//! Operations on a proxy under load: misbehaving clients of the admin address, excluded backends, evacuation, and a hot
//! restart, in which a second process replaces the first.

use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A proxy's configuration with an admin address.
fn with_admin(discovery: &Discovery, backends: &[(&str, &Backend)]) -> (Value, SocketAddr) {
    let lines: Vec<Value> = backends.iter().map(|(n, b)| endpoint(n, b.address, "ready", 0)).collect();
    let mut config = config(discovery.address, &lines);
    let admin = free_address();
    config["admin"] = json!(admin.to_string());
    (config, admin)
}

/// The status of a request to the admin address, 0 if there was no response.
fn admin_call(admin: SocketAddr, text: &str) -> u16 {
    let Ok(mut client) = Client::try_open(admin) else { return 0 };
    client.send(&format!("{text} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
    client.read_response().map_or(0, |a| a.status())
}

/// A temporary directory, removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("gs-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn an_excluded_backend_gets_no_requests_whatever_the_list_says() {
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let (config, admin) = with_admin(&discovery, &[("a", &a), ("b", &b)]);
    let proxy = Proxy::start(&config);
    let serve =
        |n| (0..n).for_each(|_| assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200));
    until("both backends receive requests", || {
        serve(4);
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=a"), 200);
    let before = a.requests().len();
    serve(20);
    // The exclusion holds when discovery lists the backend again as ready, and as restarted.
    discovery.publish(true, &[endpoint("a", a.address, "ready", 0), endpoint("b", b.address, "ready", 0)]);
    let seen = discovery.calls();
    until("the list is applied", || discovery.calls() > seen);
    serve(20);
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=a"), 200, "exclusion is idempotent");
    discovery.publish(false, &[endpoint("a", a.address, "ready", 1_000)]);
    until("the change is applied", || discovery.calls() > seen + 1);
    serve(20);
    assert_eq!(a.requests().len(), before);
    assert_eq!(admin_call(admin, "PUT /api/include?target=a"), 200, "one inclusion ends both exclusions");
    until("backend a receives requests again", || {
        serve(4);
        a.requests().len() > before
    });
    for (text, status) in [
        ("PUT /api/exclude?target=never", 404),
        ("PUT /api/include?target=never", 404),
        ("PUT /api/exclude", 400),
        ("PUT /api/exclude?target=a&target=b", 400),
        ("GET /api/exclude?target=a", 405),
        ("GET /api/none", 404),
        ("GET /api/ready", 200),
    ] {
        assert_eq!(admin_call(admin, text), status, "{text}");
    }
    // With all backends excluded the proxy is not ready.
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=a"), 200);
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=b"), 200);
    assert_eq!((proxy.ready(), admin_call(admin, "GET /api/ready")), (503, 503));
    assert_eq!(send_request(&proxy, &request("read", 300)).status(), 503);
}

/// Connections to the admin address without a complete request delay no other one, and their number is bounded.
#[test]
fn incomplete_admin_requests_do_not_delay_valid_ones() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let (config, admin) = with_admin(&discovery, &[("a", &backend)]);
    let proxy = Proxy::start(&config);
    let mut bad: Vec<Client> = (0..60)
        .map(|i| {
            let mut client = Client::open(admin);
            client.send(["", "GET /api/re", "PUT /api/exclude?target=a HTTP/1.1\r\nHo"][i % 3]);
            client
        })
        .collect();
    let start = Instant::now();
    assert_eq!(admin_call(admin, "GET /api/ready"), 200);
    assert!(start.elapsed() < Duration::from_secs(1));
    assert!(bad.iter_mut().all(Client::wait_for_close), "each incomplete connection is closed");
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
}

/// After an evacuation request the proxy is not ready, answers requests on open connections and closes them; a rejoin
/// request makes it ready again.
#[test]
fn evacuation_closes_connections_and_rejoin_reverts_it() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let (config, admin) = with_admin(&discovery, &[("a", &backend)]);
    let proxy = Proxy::start(&config);
    let mut clients: Vec<Client> = (0..2)
        .map(|_| {
            let mut client = Client::open(proxy.address);
            client.send(&request("read", 7000));
            assert_eq!(client.read_response().map(|a| a.status()), Some(200));
            client
        })
        .collect();
    let start = Instant::now();
    assert_eq!(admin_call(admin, "PUT /api/evacuate"), 200);
    assert_eq!((proxy.ready(), admin_call(admin, "GET /api/ready")), (503, 503));
    clients[0].send(&request("read", 7000));
    assert_eq!(
        clients[0].read_response().map(|a| a.status()),
        Some(200),
        "a request on an open connection is answered during the drain"
    );
    assert!(clients[0].wait_for_close(), "the connection is closed after the response");
    assert!(clients[1].wait_for_close(), "the idle connection is closed");
    assert!(start.elapsed() < Duration::from_secs(4));
    assert_eq!(admin_call(admin, "PUT /api/rejoin"), 200);
    until("the proxy is ready", || proxy.ready() == 200);
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
}

/// Clients on persistent connections send requests during a hot restart: none is rejected or lost. Exclusions hold in
/// both processes, whichever received them.
#[test]
fn a_hot_restart_loses_no_request_and_keeps_exclusions() {
    let folder = TempFolder::new("upgrade");
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let (mut config, admin) = with_admin(&discovery, &[("a", &a), ("b", &b)]);
    // An included backend counts as just started; slow start is turned off, as it is not part of this test.
    config["settings"]["rules"]["cold_from"] = json!(1.0);
    let temporary = [("TMPDIR", folder.0.as_os_str())];
    let mut first = Proxy::spawn_with_env(&config, &temporary);
    until("the first process is ready", || first.ready() == 200);
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=a"), 200);
    let address = first.address;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut client, mut served_count, mut kept) = (Client::open(address), 0, false);
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    let text = request("read", 7000);
                    client.send(&text);
                    // A proxy may close an idle connection while a request is on its way to it; the client retries
                    // that once.
                    let answer = client.read_response().or_else(|| {
                        assert!(kept, "a request on a new connection was lost");
                        client = Client::open(address);
                        client.send(&text);
                        client.read_response()
                    });
                    let answer = answer.expect("a complete response");
                    kept = true;
                    assert_eq!(answer.status(), 200);
                    served_count += 1;
                    if answer.header("connection") == Some("close") {
                        (client, kept) = (Client::open(address), false);
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
                served_count
            })
        })
        .collect();
    let mut next = config.clone();
    let admin_next = free_address();
    next["admin"] = json!(admin_next.to_string());
    let second = Proxy::spawn_with_env(&next, &temporary);
    until("the second process is ready", || admin_call(admin_next, "GET /api/ready") == 200);
    // A request to one process applies to both.
    assert_eq!(admin_call(admin_next, "PUT /api/include?target=a"), 200);
    assert_eq!(admin_call(admin_next, "PUT /api/exclude?target=b"), 200);
    first.terminate();
    assert!(first.exit().success());
    let before = b.requests().len();
    let served = a.requests().len();
    until("the second process serves alone", || a.requests().len() > served + 50);
    assert_eq!(b.requests().len(), before, "b stays excluded");
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let served_count: Vec<usize> =
        clients.into_iter().map(|c| c.join().expect("the client lost no request")).collect();
    assert!(served_count.iter().all(|n| *n > 10), "{served_count:?}");
    drop(second);
}

/// An exclusion that the old process receives while the new one has no list yet also applies to the new one.
#[test]
fn an_exclusion_relayed_before_the_first_list_is_applied() {
    let folder = TempFolder::new("early");
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let (discovery, silent) = (Discovery::start(), Discovery::start());
    let (mut config, admin) = with_admin(&discovery, &[("a", &a), ("b", &b)]);
    // An included backend counts as just started; slow start is turned off, as it is not part of this test.
    config["settings"]["rules"]["cold_from"] = json!(1.0);
    let temporary = [("TMPDIR", folder.0.as_os_str())];
    let mut first = Proxy::spawn_with_env(&config, &temporary);
    until("the first process is ready", || first.ready() == 200);
    let mut next = config.clone();
    let admin_next = free_address();
    next["admin"] = json!(admin_next.to_string());
    next["discovery"] = json!(silent.address.to_string());
    next["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
    let second = Proxy::spawn_with_env(&next, &temporary);
    until("the processes are connected", || first.log().contains("another process is to replace this one"));
    assert_eq!(admin_call(admin, "PUT /api/exclude?target=a"), 200);
    until("the exclusion was relayed", || second.log().contains("from the other process"));
    silent.publish(true, &[endpoint("a", a.address, "ready", 0), endpoint("b", b.address, "ready", 0)]);
    until("the second process is ready", || admin_call(admin_next, "GET /api/ready") == 200);
    first.terminate();
    assert!(first.exit().success());
    let before = (a.requests().len(), b.requests().len());
    until("the second process serves", || {
        (0..5).for_each(|_| assert_eq!(send_request(&second, &request("read", 7000)).status(), 200));
        b.requests().len() > before.1 + 30
    });
    assert_eq!(a.requests().len(), before.0, "a stays excluded");
    assert_eq!(admin_call(admin_next, "PUT /api/include?target=a"), 200);
    until("backend a receives requests again", || {
        (0..5).for_each(|_| assert_eq!(send_request(&second, &request("read", 7000)).status(), 200));
        a.requests().len() > before.0
    });
}

/// Discovery does not answer while a process is replaced by one that starts with the same outdated list. The drain
/// that the agent publishes on its return applies to both: neither process sends to the draining server after the
/// grace period.
#[test]
fn a_drain_after_an_outage_during_a_hot_restart_applies_to_both_processes() {
    let folder = TempFolder::new("drain");
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let (config, _) = with_admin(&discovery, &[("a", &a), ("b", &b)]);
    let temporary = [("TMPDIR", folder.0.as_os_str())];
    let mut first = Proxy::spawn_with_env(&config, &temporary);
    until("the first process is ready", || first.ready() == 200);
    discovery.publish(true, &[endpoint("a", a.address, "ready", 0), endpoint("b", b.address, "ready", 0)]);
    discovery.stop_answering();
    let mut next = config.clone();
    let admin_next = free_address();
    next["admin"] = json!(admin_next.to_string());
    let second = Proxy::spawn_with_env(&next, &temporary);
    until("the second process is ready", || admin_call(admin_next, "GET /api/ready") == 200);
    let serve = |n: usize| {
        // Both processes listen on the port, and the kernel distributes connections between them.
        (0..n).for_each(|_| assert_eq!(send_request(&second, &request("read", 7000)).status(), 200));
    };
    until("both servers receive requests", || {
        serve(10);
        a.requests().len() > 5 && b.requests().len() > 5
    });
    let published_at = Instant::now();
    discovery.resume(false, &[endpoint("a", a.address, "draining", 0)]);
    std::thread::sleep((published_at + Duration::from_millis(550)).saturating_duration_since(Instant::now()));
    let (leaving, served) = (a.requests().len(), b.requests().len());
    serve(100);
    first.terminate();
    assert!(first.exit().success());
    serve(100);
    assert_eq!(
        a.requests().len(),
        leaving,
        "requests were sent to the draining server after the grace period"
    );
    assert_eq!(b.requests().len(), served + 200);
}
