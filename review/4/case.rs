//! A machine that was taken away as planned stays a voter for 2 s. The loss of one disk in that time, which is to be borne,
//! ends the core for good.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::net::SocketAddrV4;
use std::process::Command;
use std::time::Instant;

/// Figures of Nilavu's sheet. Three machines with a disk, the loss of one is to be borne.
const SETTINGS: &str = "limits.cpuShare=0.45\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
    limits.linkMbps=1000.0\ndiscovery=registration\nentry=virtual_ip\nheartbeatMs=1200\n\
    contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\nfaultTolerance.machines=1\n\
    bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.gracePeriodS=8\n\
    bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.closed=false\n\
    bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=58\n\
    bounds.quotaWindowS=8\nbounds.quotaOver=0.1\nbounds.quotaSlack=140000\nbounds.recoveryS=12\n";

/// `recoveryS`, `catchUpS`, and how long the machine that loses its disk is down.
const RECOVERY_MS: u64 = 12_000;
const CATCH_UP_MS: u64 = 4_000;
const DOWN_MS: u64 = 3_000;

fn configuration(revision: u64) -> String {
    format!(
        "{{\"revision\":{revision},\"routes\":[{{\"name\":\"r-lookup\",\"hostname\":\"h.example\",\"pathPrefix\":\"/lookup/\",\
         \"routeType\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":0,\"service\":\"desk\",\
         \"maxAttempts\":1,\"public\":false,\"sessionAffinity\":false,\"streamResume\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":98}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

fn main() {
    run_case(case)
}

fn case() -> bool {
    let record = Record::create("review/4/record.txt");
    record.line(&format!("disruption: {}", has_trouble()));
    // Three machines with a disk, and later the successor of one of them, the last one.
    let mut fleet = Fleet::new(&record, 4, 0, SETTINGS);
    let successor = 3;
    for at in 0..3 {
        fleet.start(at);
    }
    fleet.configure(&configuration(1));
    await_voters(&fleet, &[0, 1, 2], 3, "three voters");
    let Some(leader) = (0..3).find(|at| leads(&fleet, *at)) else { cannot_run("no leader") };
    let Some(leaving) = (0..3).rev().find(|at| *at != leader) else { cannot_run("no other machine") };
    let name = |at: usize| fleet.machines[at].name.clone();
    record.line(&format!("{} leads, {} is taken away, its successor is {}", name(leader), name(leaving), name(successor)));
    // Planned replacement: the new machine first. It has longer than catchUpS.
    fleet.set_bootstrap(successor, false);
    fleet.start(successor);
    await_voters(&fleet, &[leader], 4, "four voters with the successor");
    pause(CATCH_UP_MS + 2000);
    show(&fleet, leader);
    // Then SIGTERM.
    fleet.signal(leaving, SIGTERM, "SIGTERM (replace_core, planned: the old machine leaves)");
    pause(800);
    let ended = !fleet.runs(leaving);
    fleet.kill_and_wait(leaving);
    record.line(&format!("platform: {} has ended by itself: {ended}; it is gone", fleet.machines[leaving].name));
    let answer = put(fleet.control(leader), 1, &configuration(2)).map_or(0, |answer| answer.status);
    record.line(&format!("operator: revision 2 gets {answer}"));
    let acknowledged = if answer == 200 { 2 } else { 1 };
    show(&fleet, leader);
    if has_trouble() {
        fleet.signal(leader, SIGKILL, "SIGKILL (after_ack_wipe: the machine that acknowledged loses its disk)");
        fleet.kill_and_wait(leader);
        fleet.wipe(leader);
        pause(DOWN_MS);
        fleet.start(leader);
    }
    record.line("platform: all machines are back");
    let back = Instant::now();
    let running: Vec<usize> = (0..4).filter(|at| *at != leaving).collect();
    // The operator asks for the configuration again and again, for longer than recoveryS and contactMs.
    let mut came = None;
    while came.is_none() && back.elapsed() < millis(RECOVERY_MS + 8_000) {
        for at in &running {
            let got = call(fleet.control(*at), "GET /Config.Get HTTP/1.1\r\nHost: control\r\n\r\n", 1500);
            let (status, body) = got.map_or((0, String::new()), |a| (a.status, String::from_utf8_lossy(&a.body).into_owned()));
            record.line(&format!("operator: Config.Get at {} gets {status}", fleet.machines[*at].name));
            if status == 200 {
                came = Some(body);
                break;
            }
        }
        pause(500);
    }
    for at in &running {
        show(&fleet, *at);
    }
    let is_newest = came.as_ref().is_some_and(|body| body.contains(&format!("\"revision\":{acknowledged},")));
    record.say(&format!(
        "CONFIG: the acknowledged revision {acknowledged} came back: {is_newest}; asked for {} ms after all machines were back \
         (recoveryS 12)",
        back.elapsed().as_millis()
    ));
    is_newest
}

fn status(fleet: &Fleet, at: usize) -> String {
    let address: SocketAddrV4 = fleet.address(at, 3);
    let output =
        Command::new("target/release/gaugesaddle-control").args(["status", "--json", "--at", &address.to_string()]).output();
    output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned()).unwrap_or_default()
}

fn leads(fleet: &Fleet, at: usize) -> bool {
    status(fleet, at).contains("\"role\":\"leader\"")
}

fn show(fleet: &Fleet, at: usize) {
    fleet.record.line(&format!("status of {}: {}", fleet.machines[at].name, status(fleet, at)));
}

fn await_voters(fleet: &Fleet, at: &[usize], voters: usize, what: &str) {
    let end = Instant::now() + millis(15_000);
    while !at.iter().all(|at| status(fleet, *at).matches('#').count() > voters) {
        if Instant::now() > end {
            cannot_run(what);
        }
        pause(100);
    }
}
