//! Guards, with real processes, against proxies that refuse what an acknowledged change has added: because their control
//! processes are suspended, because a large change fills the links of the control processes, or because they cannot know
//! that a change was made.

use gaugesaddle_testbed::fleet::{call, document, Fleet};
use gaugesaddle_testbed::scripted::until;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Time after an acknowledgement from which every proxy must have the change in force (`bounds.configApplyMs`).
const CONFIG_APPLY_MS: u64 = 3000;
/// Control processes of the large fleet: as many as 6 zones with two machines each have.
const CONTROLS: usize = 12;
/// Those of them with a disk.
const DISKS: usize = 3;
const EDGES: u8 = 40;
/// Number of routes that a large change adds.
const ADDED_ROUTES: u64 = 1400;

/// A configuration in which the route `/change-REVISION/` is the newest one.
fn with_added_routes(revision: u64, routes: u64) -> String {
    let mut document = document(revision);
    let template = document["routes"][0].clone();
    let added = (0..routes).map(|number| {
        let mut route = template.clone();
        let name = if number == 0 { format!("change-{revision}") } else { format!("li{number}-{revision}") };
        route["pathPrefix"] = format!("/{name}/").into();
        route["name"] = name.into();
        route
    });
    let added: Vec<Value> = added.collect();
    document["routes"].as_array_mut().expect("routes").extend(added);
    document.to_string()
}

/// What a proxy answers on the route of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The route is known: 503, since there are no backends.
    InForce,
    /// 404.
    Refused,
    /// The proxy cannot tell: 503, and the connection is closed.
    Unproven,
    /// No response, or the proxy has no configuration.
    Unavailable,
}

fn answer_on(fleet: &Fleet, edge: usize, revision: u64) -> Answer {
    let request = format!("GET /change-{revision}/a HTTP/1.1\r\nHost: h.example\r\nApi-Key: k-free\r\n\r\n");
    let Ok(message) = call(fleet.front(edge), &request) else { return Answer::Unavailable };
    match (message.status(), message.header("connection"), message.header("retry-after")) {
        (404, _, _) => Answer::Refused,
        (503, Some("close"), _) => Answer::Unproven,
        (503, _, Some("0.2")) => Answer::InForce,
        _ => Answer::Unavailable,
    }
}

/// Starts a fleet of 12 control processes, and waits until every proxy has its first configuration.
fn large_fleet() -> Fleet {
    let disks: Vec<bool> = (0..CONTROLS).map(|number| number < DISKS).collect();
    let settings = format!("bounds.configApplyMs={CONFIG_APPLY_MS}\n");
    let fleet = Fleet::start_with_disks(&disks, EDGES, &settings).expect("fleet starts");
    put(&fleet, 0, &with_added_routes(1, 1));
    for edge in CONTROLS..fleet.len() {
        until("the proxy has the first configuration", || answer_on(&fleet, edge, 1) == Answer::InForce);
    }
    fleet
}

fn put(fleet: &Fleet, base: u64, document: &str) {
    until("the change is acknowledged", || (0..DISKS).any(|at| fleet.put(at, base, document).0 == 200));
}

/// Kills and restarts each control process with a disk, so that each proxy follows a process by its own order and not the
/// seed that it called first; most of them have no disk.
fn spread_proxies(fleet: &mut Fleet) {
    for at in 0..DISKS {
        fleet.kill(at);
        let other = (at + 1) % DISKS;
        until("another process leads", || fleet.get(other).0 == 200);
        fleet.start_process(at).expect("process restarts");
        until("the restarted process serves", || fleet.get(at).0 == 200);
    }
    until("most proxies follow processes without a disk", || {
        let pulling = |at: usize| fleet.status(at)["distribution"]["proxies"].as_u64().unwrap_or(0);
        let without_disk: u64 = (DISKS..CONTROLS).map(pulling).sum();
        without_disk > u64::from(EDGES) / 2
    });
}

/// Waits until a change is in force at every proxy; returns the proxies at which a request that was sent later than the
/// bound was not handled by the change.
fn late_proxies(fleet: &Fleet, revision: u64, acknowledged: Instant) -> Vec<(usize, Duration)> {
    let mut late = Vec::new();
    let mut outdated: Vec<usize> = (CONTROLS..fleet.len()).collect();
    until("the change is in force everywhere", || {
        outdated.retain(|edge| {
            let age = acknowledged.elapsed();
            let is_in_force = answer_on(fleet, *edge, revision) == Answer::InForce;
            if !is_in_force && age > Duration::from_millis(CONFIG_APPLY_MS) {
                late.push((*edge, age));
            }
            !is_in_force
        });
        outdated.is_empty()
    });
    late
}

#[test]
fn change_is_in_force_in_time_while_most_control_processes_are_suspended() {
    let mut fleet = large_fleet();
    spread_proxies(&mut fleet);
    for at in DISKS..CONTROLS {
        fleet.suspend(at).expect("signal is sent");
    }
    put(&fleet, 1, &with_added_routes(2, 1));
    let late = late_proxies(&fleet, 2, Instant::now());
    for at in DISKS..CONTROLS {
        fleet.resume(at).expect("signal is sent");
    }
    assert!(late.is_empty(), "{} requests after the bound: {late:?}", late.len());
}

/// Bytes per second of the slowest link of a control process in a large deployment (10 Mbit/s).
const SLOWEST_LINK_BYTES_PER_S: u64 = 1_250_000;
/// Proxies per control process in a large deployment: 300 over 12.
const PROXIES_PER_PROCESS: u64 = 25;

#[test]
fn large_change_fits_the_slowest_link_within_a_second() {
    let fleet = large_fleet();
    put(&fleet, 1, &with_added_routes(2, ADDED_ROUTES));
    assert_eq!(late_proxies(&fleet, 2, Instant::now()), []);
    let mut sent = Vec::new();
    until("each control process counts the bytes of the change", || {
        let reports: Vec<Value> = (0..CONTROLS).map(|at| fleet.status(at)["distribution"].clone()).collect();
        sent = reports
            .iter()
            .filter_map(|report| Some((report["proxies"].as_u64()?, report["sentBytes"].as_u64()?)))
            .collect();
        let current =
            |report: &Value| report["revision"] == json!(2) && report["outdatedProxies"] == json!(0);
        reports.iter().all(current)
    });
    let (proxies, bytes) = sent.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(proxies >= u64::from(EDGES), "{proxies} proxies pull");
    let bytes_per_proxy = bytes / u64::from(EDGES);
    assert!(
        bytes_per_proxy * PROXIES_PER_PROCESS < SLOWEST_LINK_BYTES_PER_S,
        "{bytes_per_proxy} bytes for each proxy"
    );
}

#[test]
fn proxy_without_recent_proof_answers_503_on_an_unknown_route() {
    let fleet = large_fleet();
    let edge = CONTROLS;
    assert_eq!(answer_on(&fleet, edge, 2), Answer::Refused);
    for at in 0..CONTROLS {
        fleet.suspend(at).expect("signal is sent");
    }
    let suspended = Instant::now();
    until("the refusal is no longer certain", || {
        let age = suspended.elapsed();
        let answer = answer_on(&fleet, edge, 2);
        assert!([Answer::Refused, Answer::Unproven].contains(&answer), "{answer:?}");
        let is_late = age >= Duration::from_millis(CONFIG_APPLY_MS);
        assert!(answer == Answer::Unproven || !is_late, "refused after {age:?}");
        answer == Answer::Unproven
    });
    assert_eq!(answer_on(&fleet, edge, 1), Answer::InForce, "known routes are served");
    for at in 0..CONTROLS {
        fleet.resume(at).expect("signal is sent");
    }
    until("the refusal is certain again", || answer_on(&fleet, edge, 2) == Answer::Refused);
}
