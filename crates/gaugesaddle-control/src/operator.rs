//! The operator's commands: bring, read and watch a configuration, and see how a control process stands.
//!
//! They call the control addresses in turn, as the protocol asks of every caller: after a failure, a 5xx, a 408 or a 429
//! the next one is called, until a time is over.

use cyper::Client;
use eyre::{bail, eyre, Result, WrapErr};
use gaugesaddle_config::{ConfigPatch, OperatorConfig};
use gaugesaddle_protocol::{Reply, Request, StatusReport};
use gaugesaddle_transport::Caller;
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// One call has so long.
const CALL: Duration = Duration::from_secs(3);
/// Pause before the next address is called.
const PAUSE: Duration = Duration::from_millis(100);

/// Where to call, and for how long to go on.
#[derive(Clone, Debug)]
pub struct Target {
    /// Control addresses.
    pub addresses: Vec<SocketAddrV4>,
    /// Time until a call is given up.
    pub patience: Duration,
}

/// An answer that is clear.
struct Clear {
    status: u16,
    text: String,
}

/// What is called.
enum Call<'a> {
    Get,
    ConfigurationChange { change: Change<'a>, base: u64 },
}

/// What an order brings.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// A whole configuration.
    Full(&'a str),
    /// Changes of named items.
    Patch(&'a str),
}

impl<'a> Change<'a> {
    fn path(self) -> &'static str {
        match self {
            Change::Full(_) => "Config.Put",
            Change::Patch(_) => "Config.Patch",
        }
    }

    fn text(self) -> &'a str {
        match self {
            Change::Full(text) | Change::Patch(text) => text,
        }
    }
}

fn on_runtime<T>(future: impl std::future::Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}

/// Brings a change; `base` is the revision it builds on, by default the current one. Returns the revision put in force.
pub fn order(target: &Target, change: Change, base: Option<u64>) -> Result<u64> {
    on_runtime(async {
        let base = match base {
            Some(base) => base,
            None => current(target).await?.map_or(Ok(0), |text| revision(&text))?,
        };
        let answer = clear_answer(target, &Call::ConfigurationChange { change, base }).await?;
        match answer.status {
            200 => revision(change.text()),
            412 => bail!("another version is in place: {}", answer.text),
            status => bail!("refused with {status}:\n{}", answer.text),
        }
    })
}

/// The whole that a patch makes of the current configuration, checked as the fleet would; nothing is brought.
pub fn preview(target: &Target, patch: &str, base: Option<u64>) -> Result<String> {
    let current = get(target)?.unwrap_or_default();
    let in_place = if current.is_empty() { 0 } else { revision(&current)? };
    if base.is_some_and(|base| base != in_place) {
        bail!("another version is in place: revision {in_place} is in place");
    }
    let made = ConfigPatch::parse(patch.as_bytes()).and_then(|patch| {
        let made = patch.apply(current.as_bytes())?;
        OperatorConfig::parse(&made).map(|_| (patch.revision, made))
    });
    let (brought, made) = made.map_err(|findings| eyre!("{}", findings.to_multiline()))?;
    if brought <= in_place {
        bail!("revision: expected more than {in_place}");
    }
    Ok(String::from_utf8(made)?)
}

/// The current configuration; `None` before the first.
pub fn get(target: &Target) -> Result<Option<String>> {
    on_runtime(current(target))
}

/// Calls `seen` with each new configuration until it returns false.
pub fn watch(target: &Target, period: Duration, mut seen: impl FnMut(u64, &str) -> bool) -> Result<()> {
    on_runtime(async {
        let mut last = None;
        loop {
            if let Some(text) = current(target).await? {
                let revision = revision(&text)?;
                if last != Some(revision) {
                    last = Some(revision);
                    if !seen(revision, &text) {
                        return Ok(());
                    }
                }
            }
            compio::time::sleep(period).await;
        }
    })
}

async fn current(target: &Target) -> Result<Option<String>> {
    let answer = clear_answer(target, &Call::Get).await?;
    match answer.status {
        200 => Ok(Some(answer.text)),
        404 => Ok(None),
        status => bail!("the configuration was refused with {status}: {}", answer.text),
    }
}

fn revision(document: &str) -> Result<u64> {
    let value: serde_json::Value = serde_json::from_str(document).wrap_err("the configuration")?;
    value["revision"].as_u64().ok_or_else(|| eyre!("revision: expected a whole number"))
}

/// Calls each address in turn until one gives a clear answer.
async fn clear_answer(target: &Target, call: &Call<'_>) -> Result<Clear> {
    let client = Client::new();
    let end = Instant::now() + target.patience;
    let mut last = eyre!("no control address");
    for address in target.addresses.iter().cycle() {
        match compio::time::timeout(CALL, one_call(&client, *address, call)).await {
            Ok(Ok(answer)) if answer.status < 500 && ![408, 429].contains(&answer.status) => {
                return Ok(answer)
            }
            Ok(Ok(answer)) => last = eyre!("{address} answers {}: {}", answer.status, answer.text),
            Ok(Err(e)) => last = e.wrap_err(format!("calling {address}")),
            Err(_) => last = eyre!("{address} does not answer within {CALL:?}"),
        }
        if Instant::now() >= end {
            break;
        }
        compio::time::sleep(PAUSE).await;
    }
    Err(last)
}

async fn one_call(client: &Client, address: SocketAddrV4, call: &Call<'_>) -> Result<Clear> {
    let request = match call {
        Call::Get => client.get(format!("http://{address}/Config.Get"))?,
        Call::ConfigurationChange { change, base } => client
            .post(format!("http://{address}/{}", change.path()))?
            .header("Config-Revision", base.to_string())?
            .header("Content-Type", "application/json")?
            .body(change.text().to_owned()),
    };
    let response = request.send().await?;
    let status = response.status().as_u16();
    Ok(Clear { status, text: response.text().await? })
}

/// How the control process at an address for processes (the first of the free ports) stands.
pub fn status(address: SocketAddrV4) -> Result<StatusReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut caller = Caller::open(address, CALL).await.wrap_err_with(|| format!("calling {address}"))?;
        match caller.call(&Request::Status, CALL).await? {
            Reply::Status(report) => Ok(*report),
            _ => bail!("{address} gives no status"),
        }
    })
}

/// A report as one JSON document.
pub fn report_json(report: &StatusReport) -> String {
    json!({
        "replica": report.replica, "role": report.role, "term": report.term, "leader": report.leader,
        "voters": report.voters, "index": report.index, "revision": report.revision, "fresh": report.fresh,
        "disk": report.disk, "peersAlive": report.peers_alive, "backends": report.backends,
        "backendsLeaving": report.backends_leaving, "proxies": report.proxies,
    })
    .to_string()
}

/// A report for reading.
pub fn report_text(report: &StatusReport) -> String {
    let leader = report.leader.as_deref().unwrap_or("none known");
    [
        format!("replica    {} ({}, disk {})", report.replica, report.role, report.disk),
        format!("leader     {leader}, term {}, fresh {}", report.term, report.fresh),
        format!("voters     {}", report.voters.join(" ")),
        format!("revision   {} (index {})", report.revision, report.index),
        format!("processes  {} others that serve control", report.peers_alive),
        format!("backends   {} ready, {} leaving", report.backends, report.backends_leaving),
        format!("proxies    {}", report.proxies),
    ]
    .join("\n")
}
