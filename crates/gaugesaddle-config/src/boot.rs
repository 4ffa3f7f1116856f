//! The boot file: settings that the platform provides to a process at its start, one `key=value` per line.

use crate::finding::{Finding, Findings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;
use std::{env, fs, io};
use thiserror::Error;

/// Environment variable with the path of the boot file.
pub const PATH_VARIABLE: &str = "GAUGESADDLE_BOOT";

/// An error in loading the boot settings.
#[derive(Debug, Error)]
pub enum BootError {
    /// The environment variable is not set.
    #[error("environment variable {PATH_VARIABLE} is not set; expected the path of the boot file")]
    NoPath,
    /// Reading the file failed.
    #[error("reading boot file {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not a valid boot file.
    #[error("invalid boot file {path}: {findings}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// All findings.
        findings: Findings,
    },
}

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_fds: u64,
    /// Disk space in MB; 0: no disk.
    pub disk_mb: u64,
}

/// Service-level bounds of the deployment: deadlines, budgets and tolerances that processes must meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Deadline after the acknowledgement of a drain from which on no request is sent to the backend, in ms.
    pub drain_ms: u64,
    /// Deadline after the acknowledgement of a configuration by which it is in force, in ms.
    pub config_apply_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s.
    pub grace_period_s: f64,
    /// Retries permitted per request.
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in s.
    pub budget_window_s: f64,
    /// Retries per window permitted in excess of the ratio.
    pub budget_slack: f64,
    /// Window of the quotas, in s.
    pub quota_window_s: f64,
    /// Fraction by which a quota may be exceeded.
    pub quota_excess_fraction: f64,
    /// Tokens per window permitted in excess of the quota.
    pub quota_slack: f64,
    /// Deadline of the reply to an operator's configuration change, in ms.
    pub ack_ms: u64,
    /// Time within which a restarted machine must catch up, in s.
    pub catch_up_s: f64,
    /// Fail closed: no request is executed with a revoked API key, not even on a partitioned machine.
    pub fail_closed: bool,
    /// Time after the acknowledgement of a configuration during which a key that it revoked may still be used, in ms.
    pub revoke_ms: u64,
}

/// Simultaneous failures that the deployment must survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: u64,
    /// Number of zones.
    pub zones: u64,
    /// Number of regions.
    pub regions: u64,
}

/// Boot settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct BootSettings {
    /// Host name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine; empty in a deployment without regions.
    pub region: String,
    /// Region of each zone of the fleet.
    pub zones: BTreeMap<String, String>,
    /// Address to listen on for clients.
    pub front: Option<SocketAddrV4>,
    /// Address to listen on for the platform's readiness probe.
    pub ready: Option<SocketAddrV4>,
    /// Address to listen on for backends and operators.
    pub control: Option<SocketAddrV4>,
    /// First and last port of the range for traffic between processes of the fleet.
    pub ephemeral_ports: (u16, u16),
    /// Control addresses of some control processes, from which the others are discovered.
    pub seeds: Vec<SocketAddrV4>,
    /// Cluster bootstrap: the fleet starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Directory for durable state.
    pub data_dir: Option<PathBuf>,
    /// Interval between heartbeats of a backend, in ms.
    pub heartbeat_ms: u64,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Simultaneous failures that the deployment must survive.
    pub tolerance: FaultTolerance,
    /// Service-level bounds.
    pub bounds: Bounds,
}

/// A value of the boot file and the number of its line, from 1.
struct Entry<'a> {
    line_number: usize,
    value: &'a str,
}

/// Parser state of a boot file: its entries by key, and the findings so far.
struct Reader<'a> {
    entries: BTreeMap<&'a str, Entry<'a>>,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Reader<'a> {
        let mut reader = Reader { entries: BTreeMap::new(), findings: Vec::new() };
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let line = line.trim();
            if line.is_empty() {
                continue;
            }
            match line.split_once('=') {
                Some((key, value)) => {
                    reader.entries.insert(key.trim(), Entry { line_number, value: value.trim() });
                }
                None => reader.findings.push(Finding::new(format!("line {line_number}"), "key=value")),
            }
        }
        reader
    }

    /// The entry of a key, unless it is missing or empty.
    fn entry(&self, key: &str) -> Option<&Entry<'a>> {
        self.entries.get(key).filter(|entry| !entry.value.is_empty())
    }

    /// The value of a key that may be missing or empty.
    fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let entry = self.entry(key)?;
        match entry.value.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                let path = format!("line {}, {key}", entry.line_number);
                self.findings.push(Finding::new(path, expected));
                None
            }
        }
    }

    fn optional_or<T: FromStr>(&mut self, key: &str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// The value of a key that must be present.
    fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if self.entry(key).is_none() {
            self.findings.push(Finding::new(key, format!("{expected}, and the key is missing")));
            return None;
        }
        self.optional(key, expected)
    }

    /// The values of a key with a comma-separated list; empty where the key is missing.
    fn list<T: FromStr>(&mut self, key: &str, expected: &str) -> Vec<T> {
        let Some(entry) = self.entry(key) else { return Vec::new() };
        let line_number = entry.line_number;
        let items: Result<Vec<T>, _> = entry.value.split(',').map(|item| item.trim().parse()).collect();
        items.unwrap_or_else(|_| {
            let path = format!("line {line_number}, {key}");
            self.findings.push(Finding::new(path, expected));
            Vec::new()
        })
    }

    /// A range of ports, first and last.
    fn port_range(&mut self, key: &str) -> Option<(u16, u16)> {
        let expected = "two ports, the first not above the second";
        self.required::<String>(key, expected)?;
        let ports: Vec<u16> = self.list(key, expected);
        match ports[..] {
            [first, last] if first <= last => Some((first, last)),
            _ => {
                let line_number = self.entries.get(key).map_or(0, |entry| entry.line_number);
                let path = format!("line {line_number}, {key}");
                // A list that could not be parsed has been reported already.
                if !self.findings.iter().any(|finding| finding.path == path) {
                    self.findings.push(Finding::new(path, expected));
                }
                None
            }
        }
    }

    fn zones(&self) -> BTreeMap<String, String> {
        let zone_and_region = |(key, entry): (&&str, &Entry)| {
            let zone = key.strip_prefix("zones.")?;
            Some((zone.to_owned(), entry.value.to_owned()))
        };
        self.entries.iter().filter_map(zone_and_region).collect()
    }
}

/// Descriptions of expected values in findings.
const ADDRESS: &str = "an IPv4 address and port";
const INTEGER: &str = "a whole number";
const NUMBER: &str = "a number";

impl BootSettings {
    /// Reads the boot file that the environment variable [`PATH_VARIABLE`] names.
    ///
    /// # Errors
    ///
    /// The variable is not set, the file cannot be read, or it is invalid.
    pub fn read() -> Result<BootSettings, BootError> {
        let path = env::var(PATH_VARIABLE).map_err(|_| BootError::NoPath)?;
        match fs::read_to_string(&path) {
            Ok(text) => BootSettings::parse(&text).map_err(|findings| BootError::Invalid { path, findings }),
            Err(source) => Err(BootError::Read { path, source }),
        }
    }

    /// Address at which the control process of the machine `ip` accepts frames: the port range is the same on all
    /// machines, and control processes use its first port.
    pub fn control_process_address(&self, ip: u32) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(ip), self.ephemeral_ports.0)
    }

    /// Parses the text of a boot file; unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// All findings, each with line and key.
    pub fn parse(text: &str) -> Result<BootSettings, Findings> {
        let mut reader = Reader::new(text);
        match read_settings(&mut reader) {
            Some(settings) if reader.findings.is_empty() => Ok(settings),
            _ => Err(Findings(reader.findings)),
        }
    }
}

/// Reads all keys before it fails for a missing one, so that all findings are collected.
fn read_settings(reader: &mut Reader) -> Option<BootSettings> {
    let node_name = reader.required("nodeName", "a name");
    let ip = reader.required("ip", "an IPv4 address");
    let zone = reader.required("zone", "a name");
    let region = reader.optional_or("region", "a name", String::new());
    let ephemeral_ports = reader.port_range("ephemeralPorts");
    let front = reader.optional("bind.front", ADDRESS);
    let ready = reader.optional("bind.ready", ADDRESS);
    let control = reader.optional("bind.control", ADDRESS);
    let seeds = reader.list("seeds", "IPv4 addresses and ports, split by commas");
    let bootstrap = reader.optional_or("bootstrap", "true or false", false);
    let heartbeat_ms = reader.optional_or("heartbeatMs", INTEGER, 1200);
    let limits = read_limits(reader);
    let tolerance = read_tolerance(reader);
    let bounds = read_bounds(reader);
    let data_dir: Option<String> = reader.optional("dataDir", "a path");
    let zones = reader.zones();
    Some(BootSettings {
        node_name: node_name?,
        ip: ip?,
        zone: zone?,
        region,
        zones,
        front,
        ready,
        control,
        ephemeral_ports: ephemeral_ports?,
        seeds,
        bootstrap,
        data_dir: data_dir.map(PathBuf::from),
        heartbeat_ms,
        limits,
        tolerance,
        bounds,
    })
}

fn read_limits(reader: &mut Reader) -> ResourceLimits {
    ResourceLimits {
        memory_mb: reader.optional_or("limits.memoryMb", INTEGER, 256),
        max_fds: reader.optional_or("limits.maxFds", INTEGER, 1024),
        disk_mb: reader.optional_or("limits.diskMb", INTEGER, 0),
    }
}

fn read_tolerance(reader: &mut Reader) -> FaultTolerance {
    FaultTolerance {
        machines: reader.optional_or("faultTolerance.machines", INTEGER, 1),
        zones: reader.optional_or("faultTolerance.zones", INTEGER, 0),
        regions: reader.optional_or("faultTolerance.regions", INTEGER, 0),
    }
}

fn read_bounds(reader: &mut Reader) -> Bounds {
    Bounds {
        drain_ms: reader.optional_or("bounds.drainMs", INTEGER, 2000),
        config_apply_ms: reader.optional_or("bounds.configApplyMs", INTEGER, 2000),
        grace_period_s: reader.optional_or("bounds.gracePeriodS", NUMBER, 8.0),
        retry_budget_ratio: reader.optional_or("bounds.retryBudgetRatio", NUMBER, 0.1),
        budget_window_s: reader.optional_or("bounds.budgetWindowS", NUMBER, 10.0),
        budget_slack: reader.optional_or("bounds.budgetSlack", NUMBER, 0.0),
        quota_window_s: reader.optional_or("bounds.quotaWindowS", NUMBER, 8.0),
        quota_excess_fraction: reader.optional_or("bounds.quotaOver", NUMBER, 0.0),
        quota_slack: reader.optional_or("bounds.quotaSlack", NUMBER, 0.0),
        ack_ms: reader.optional_or("bounds.ackMs", INTEGER, 4000),
        catch_up_s: reader.optional_or("bounds.catchUpS", NUMBER, 4.0),
        fail_closed: reader.optional_or("bounds.closed", "true or false", false),
        revoke_ms: reader.optional_or("bounds.revokeMs", INTEGER, 5000),
    }
}
