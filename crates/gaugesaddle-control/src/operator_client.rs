//! The client behind the operator's commands: changes, reads and watches the configuration, and reads the status of a
//! control process.
//!
//! It calls the control addresses in turn, as the protocol requires of every caller: after an error, or a status 5xx,
//! 408 or 429, it calls the next one, until a time-out. Its functions block.

use cyper::Client;
use eyre::{bail, eyre, Result, WrapErr};
use gaugesaddle_config::{ConfigPatch, OperatorConfig};
use gaugesaddle_protocol::{DistributionReport, Reply, Request, StatusReport};
use gaugesaddle_transport::Caller;
use serde_json::json;
use std::net::SocketAddrV4;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// Time-out for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next address is called.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Which addresses to call, and for how long to retry.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Control addresses.
    pub addresses: Vec<SocketAddrV4>,
    /// Time after which no further attempt is made.
    pub timeout: Duration,
}

/// An HTTP response.
struct HttpResponse {
    status: u16,
    body: String,
}

impl HttpResponse {
    /// Whether the response is final, that is, no other process would respond differently.
    fn is_conclusive(&self) -> bool {
        self.status < 500 && ![408, 429].contains(&self.status)
    }
}

/// A call of the HTTP interface.
enum Call<'a> {
    Get,
    Change { change: Change<'a>, base: u64 },
}

/// A configuration change, in JSON.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// A full configuration.
    Full(&'a str),
    /// A patch of named items.
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

/// Submits a change based on the revision `base`, by default the current one, and returns the committed revision.
///
/// # Errors
///
/// The change is rejected, another revision is current, or no process gave a conclusive response in time.
pub fn submit(endpoints: &Endpoints, change: Change, base: Option<u64>) -> Result<u64> {
    on_runtime(async {
        let base = match base {
            Some(base) => base,
            None => current(endpoints).await?.map_or(Ok(0), |text| revision(&text))?,
        };
        let response = conclusive_response(endpoints, &Call::Change { change, base }).await?;
        match response.status {
            200 => revision(change.text()),
            412 => bail!("the change is not based on the current revision: {}", response.body),
            status => bail!("rejected with status {status}:\n{}", response.body),
        }
    })
}

/// Returns the configuration that would result from applying a patch to the current one. It is validated as the fleet
/// validates it, but not submitted.
///
/// # Errors
///
/// The patch is invalid, another revision than `base` is current, or the current one cannot be read.
pub fn preview(endpoints: &Endpoints, patch: &str, base: Option<u64>) -> Result<String> {
    let current = get(endpoints)?.unwrap_or_default();
    let current_revision = if current.is_empty() { 0 } else { revision(&current)? };
    if base.is_some_and(|base| base != current_revision) {
        bail!("the change is not based on the current revision: revision {current_revision} is in place");
    }
    let patched = ConfigPatch::parse(patch.as_bytes()).and_then(|patch| {
        let document = patch.apply(current.as_bytes())?;
        OperatorConfig::parse(&document).map(|_| (patch.revision, document))
    });
    let (new_revision, document) = patched.map_err(|findings| eyre!("{}", findings.to_multiline()))?;
    if new_revision <= current_revision {
        bail!("revision: expected more than {current_revision}");
    }
    Ok(String::from_utf8(document)?)
}

/// Reads the current configuration; `None` before the first one.
///
/// # Errors
///
/// No process gave a conclusive response in time.
pub fn get(endpoints: &Endpoints) -> Result<Option<String>> {
    on_runtime(current(endpoints))
}

/// Calls `on_change` with revision and text of each new configuration, until it returns [`ControlFlow::Break`].
///
/// # Errors
///
/// No process gave a conclusive response in time.
pub fn watch(
    endpoints: &Endpoints, interval: Duration, mut on_change: impl FnMut(u64, &str) -> ControlFlow<()>,
) -> Result<()> {
    on_runtime(async {
        let mut last = None;
        loop {
            if let Some(text) = current(endpoints).await? {
                let revision = revision(&text)?;
                if last != Some(revision) {
                    last = Some(revision);
                    if on_change(revision, &text).is_break() {
                        return Ok(());
                    }
                }
            }
            compio::time::sleep(interval).await;
        }
    })
}

async fn current(endpoints: &Endpoints) -> Result<Option<String>> {
    let response = conclusive_response(endpoints, &Call::Get).await?;
    match response.status {
        200 => Ok(Some(response.body)),
        404 => Ok(None),
        status => bail!("reading the configuration failed with status {status}: {}", response.body),
    }
}

/// The revision of a document.
fn revision(document: &str) -> Result<u64> {
    let value: serde_json::Value = serde_json::from_str(document).wrap_err("parsing the configuration")?;
    value["revision"].as_u64().ok_or_else(|| eyre!("revision: expected a whole number"))
}

/// Calls each address in turn until one gives a conclusive response, or the time-out has passed.
async fn conclusive_response(endpoints: &Endpoints, call: &Call<'_>) -> Result<HttpResponse> {
    let client = Client::new();
    let deadline = Instant::now() + endpoints.timeout;
    let mut last_error = eyre!("no control address was given");
    for address in endpoints.addresses.iter().cycle() {
        match compio::time::timeout(CALL_TIMEOUT, send_call(&client, *address, call)).await {
            Ok(Ok(response)) if response.is_conclusive() => return Ok(response),
            Ok(Ok(response)) => {
                last_error = eyre!("{address} responded with status {}: {}", response.status, response.body);
            }
            Ok(Err(e)) => last_error = e.wrap_err(format!("calling {address}")),
            Err(_) => last_error = eyre!("{address} did not respond within {CALL_TIMEOUT:?}"),
        }
        if Instant::now() >= deadline {
            break;
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}

async fn send_call(client: &Client, address: SocketAddrV4, call: &Call<'_>) -> Result<HttpResponse> {
    let request = match call {
        Call::Get => client.get(format!("http://{address}/Config.Get"))?,
        Call::Change { change, base } => client
            .post(format!("http://{address}/{}", change.path()))?
            .header("Config-Revision", base.to_string())?
            .header("Content-Type", "application/json")?
            .body(change.text().to_owned()),
    };
    let response = request.send().await?;
    let status = response.status().as_u16();
    let body = response.text().await?;
    Ok(HttpResponse { status, body })
}

/// Reads the status of a control process at its internal address (the first port of the boot file's port range).
///
/// # Errors
///
/// The process cannot be reached, or does not reply within a time-out.
pub fn status(address: SocketAddrV4) -> Result<StatusReport> {
    match call_process(address, &Request::Status)? {
        Reply::Status(report) => Ok(*report),
        _ => bail!("{address} gave an unexpected reply to a status request"),
    }
}

/// Reads from a control process, at its internal address, which of its proxies have the newest configuration.
///
/// # Errors
///
/// The process cannot be reached, does not reply within a time-out, or is of a build without this call.
pub fn distribution(address: SocketAddrV4) -> Result<DistributionReport> {
    match call_process(address, &Request::Distribution)? {
        Reply::Distribution(report) => Ok(*report),
        _ => bail!("{address} gave an unexpected reply to a distribution request"),
    }
}

fn call_process(address: SocketAddrV4, request: &Request) -> Result<Reply> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut caller =
            Caller::open(address, CALL_TIMEOUT).await.wrap_err_with(|| format!("calling {address}"))?;
        Ok(caller.call(request, CALL_TIMEOUT).await?)
    })
}

/// Formats the status of a process as one JSON document, for scripts; the distribution is under the key `distribution`.
pub fn status_json(report: &StatusReport, distribution: Option<&DistributionReport>) -> String {
    let mut value = json!({
        "replica": report.replica, "role": report.role, "term": report.term, "leader": report.leader,
        "voters": report.voters, "index": report.index, "revision": report.revision, "fresh": report.fresh,
        "disk": report.disk, "peersAlive": report.peers_alive, "backends": report.backends,
        "backendsLeaving": report.backends_leaving, "proxies": report.proxies,
    });
    if let Some(distribution) = distribution {
        value["distribution"] = json!({
            "revision": distribution.revision, "ageMs": distribution.age_ms, "proxies": distribution.proxies,
            "outdatedProxies": distribution.outdated_proxies, "oldestPullMs": distribution.oldest_pull_ms,
            "sentBytes": distribution.sent_bytes, "outdated": distribution.outdated,
        });
    }
    value.to_string()
}

/// Formats a report as text, for a terminal.
fn report_text(report: &StatusReport) -> String {
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

/// Formats the status of a process as text.
pub fn status_text(report: &StatusReport, distribution: Option<&DistributionReport>) -> String {
    let mut lines = vec![report_text(report)];
    if let Some(distribution) = distribution {
        let outdated = distribution.outdated_proxies;
        lines.push(format!(
            "pulling    {} proxies, the last pull of each {} ms ago at most; {outdated} lack revision {}",
            distribution.proxies, distribution.oldest_pull_ms, distribution.revision
        ));
        lines.push(format!(
            "sent       {} bytes of that revision, committed {} ms ago",
            distribution.sent_bytes, distribution.age_ms
        ));
        if outdated > 0 {
            lines.push(format!("outdated   {}", distribution.outdated.join(" ")));
        }
    }
    lines.join("\n")
}
