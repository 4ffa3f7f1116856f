//! The boot file: what the platform tells a process at its start, one `key=value` a line.

use crate::{Finding, Findings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;
use std::{env, fs, io};
use thiserror::Error;

/// Environment variable with the path of the boot file.
pub const PATH_VARIABLE: &str = "GAUGESADDLE_BOOT";

/// Why there are no settings.
#[derive(Debug, Error)]
pub enum BootError {
    /// The environment names no file.
    #[error("{PATH_VARIABLE}: expected the path of the boot file")]
    NoPath,
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The file is no boot file.
    #[error("{path}: {findings}")]
    Invalid {
        /// The file.
        path: String,
        /// Everything that is wrong with it.
        findings: Findings,
    },
}

/// What a process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_fds: u64,
    /// Disk in MB; 0 where there is none.
    pub disk_mb: u64,
}

/// The figures of the rules in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after an acknowledged drain until no request goes to the backend, in ms.
    pub drain_ms: u64,
    /// Time after an acknowledged configuration until it is in force, in ms.
    pub config_apply_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s.
    pub grace_period_s: f64,
    /// Repeats for each request.
    pub retry_budget_ratio: f64,
    /// Window of the repeats, in s.
    pub budget_window_s: f64,
    /// Repeats in a window above the ratio.
    pub budget_slack: f64,
    /// Window of the quotas, in s.
    pub quota_window_s: f64,
    /// Part that may be used above the quota.
    pub quota_over: f64,
    /// Tokens in a window above the quota.
    pub quota_slack: f64,
    /// Time within which an operator's order wants its answer, in ms.
    pub ack_ms: u64,
    /// Time that a machine that came back needs, in s.
    pub catch_up_s: f64,
    /// No request runs on a key that was taken away, on any machine, in touch or not.
    pub closed: bool,
    /// Time after an acknowledged configuration for which a key that it took away may still be used, in ms.
    pub revoke_ms: u64,
}

/// What may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines that count.
    pub machines: u64,
    /// Zones.
    pub zones: u64,
    /// Regions.
    pub regions: u64,
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct BootSettings {
    /// Name of the machine.
    pub node_name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Zones and their regions.
    pub zones: BTreeMap<String, String>,
    /// For clients.
    pub front: Option<SocketAddrV4>,
    /// For the platform's question whether the process is ready.
    pub ready: Option<SocketAddrV4>,
    /// For backends and the operator.
    pub control: Option<SocketAddrV4>,
    /// Ports that are free for what processes say to each other, first and last.
    pub ephemeral_ports: (u16, u16),
    /// Control addresses of some control processes.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole fleet starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Folder on the machine's disk.
    pub data_dir: Option<PathBuf>,
    /// Between heartbeats of a backend, in ms.
    pub heartbeat_ms: u64,
    /// What the process may use.
    pub limits: ResourceLimits,
    /// What may be lost at once.
    pub tolerance: FaultTolerance,
    /// Figures of the rules.
    pub bounds: Bounds,
}

/// A line's value and number.
struct Line<'a> {
    number: usize,
    value: &'a str,
}

struct Reader<'a> {
    lines: BTreeMap<&'a str, Line<'a>>,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Reader<'a> {
        let mut reader = Reader { lines: BTreeMap::new(), findings: Vec::new() };
        for (index, line) in text.lines().enumerate() {
            let (number, line) = (index + 1, line.trim());
            if line.is_empty() {
                continue;
            }
            match line.split_once('=') {
                Some((key, value)) => {
                    reader.lines.insert(key.trim(), Line { number, value: value.trim() });
                }
                None => reader.findings.push(Finding::new(format!("line {number}"), "key=value")),
            }
        }
        reader
    }

    /// A key that may be missing or empty.
    fn optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let line = self.lines.get(key).filter(|l| !l.value.is_empty())?;
        match line.value.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                let place = format!("line {}, {key}", line.number);
                self.findings.push(Finding::new(place, expected));
                None
            }
        }
    }

    fn or<T: FromStr>(&mut self, key: &str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// A key that must be there.
    fn required<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        if self.lines.get(key).is_none_or(|l| l.value.is_empty()) {
            self.findings.push(Finding::new(key, format!("{expected}, and the key is missing")));
            return None;
        }
        self.optional(key, expected)
    }

    fn list<T: FromStr>(&mut self, key: &str, expected: &str) -> Vec<T> {
        let Some(line) = self.lines.get(key).filter(|l| !l.value.is_empty()) else { return Vec::new() };
        let items: Result<Vec<T>, _> = line.value.split(',').map(|item| item.trim().parse()).collect();
        items.unwrap_or_else(|_| {
            let place = format!("line {}, {key}", line.number);
            self.findings.push(Finding::new(place, expected));
            Vec::new()
        })
    }

    fn ports(&mut self, key: &str) -> Option<(u16, u16)> {
        let expected = "two ports, the first not above the second";
        self.required::<String>(key, expected)?;
        let ports: Vec<u16> = self.list(key, expected);
        match ports[..] {
            [first, last] if first <= last => Some((first, last)),
            _ => {
                let number = self.lines.get(key).map_or(0, |l| l.number);
                let place = format!("line {number}, {key}");
                if !self.findings.iter().any(|f| f.place == place) {
                    self.findings.push(Finding::new(place, expected));
                }
                None
            }
        }
    }

    fn zones(&self) -> BTreeMap<String, String> {
        let zone = |(key, line): (&&str, &Line)| {
            Some((key.strip_prefix("zones.")?.to_owned(), line.value.to_owned()))
        };
        self.lines.iter().filter_map(zone).collect()
    }
}

const ADDRESS: &str = "an IPv4 address and port";
const WHOLE: &str = "a whole number";
const NUMBER: &str = "a number";

impl BootSettings {
    /// Reads the boot file that the environment names.
    pub fn read() -> Result<BootSettings, BootError> {
        let path = env::var(PATH_VARIABLE).map_err(|_| BootError::NoPath)?;
        match fs::read_to_string(&path) {
            Ok(text) => BootSettings::parse(&text).map_err(|findings| BootError::Invalid { path, findings }),
            Err(source) => Err(BootError::Read { path, source }),
        }
    }

    /// Where a machine's control process takes frames: the ports are the same on all machines.
    pub fn control_process(&self, ip: u32) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(ip), self.ephemeral_ports.0)
    }

    /// Reads the text of a boot file. Unknown keys are left alone.
    pub fn parse(text: &str) -> Result<BootSettings, Findings> {
        let mut reader = Reader::new(text);
        let settings = read(&mut reader);
        match settings {
            Some(settings) if reader.findings.is_empty() => Ok(settings),
            _ => Err(Findings(reader.findings)),
        }
    }
}

fn read(r: &mut Reader) -> Option<BootSettings> {
    let node_name = r.required("nodeName", "a name");
    let ip = r.required("ip", "an IPv4 address");
    let zone = r.required("zone", "a name");
    let region = r.or("region", "a name", String::new());
    let ephemeral_ports = r.ports("ephemeralPorts");
    let front = r.optional("bind.front", ADDRESS);
    let ready = r.optional("bind.ready", ADDRESS);
    let control = r.optional("bind.control", ADDRESS);
    let seeds = r.list("seeds", "IPv4 addresses and ports, split by commas");
    let bootstrap = r.or("bootstrap", "true or false", false);
    let heartbeat_ms = r.or("heartbeatMs", WHOLE, 1200);
    let limits = limits(r);
    let tolerance = tolerance(r);
    let bounds = bounds(r);
    let data_dir: Option<String> = r.optional("dataDir", "a path");
    let zones = r.zones();
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

fn limits(r: &mut Reader) -> ResourceLimits {
    ResourceLimits {
        memory_mb: r.or("limits.memoryMb", WHOLE, 256),
        max_fds: r.or("limits.maxFds", WHOLE, 1024),
        disk_mb: r.or("limits.diskMb", WHOLE, 0),
    }
}

fn tolerance(r: &mut Reader) -> FaultTolerance {
    FaultTolerance {
        machines: r.or("faultTolerance.machines", WHOLE, 1),
        zones: r.or("faultTolerance.zones", WHOLE, 0),
        regions: r.or("faultTolerance.regions", WHOLE, 0),
    }
}

fn bounds(r: &mut Reader) -> Bounds {
    Bounds {
        drain_ms: r.or("bounds.drainMs", WHOLE, 2000),
        config_apply_ms: r.or("bounds.configApplyMs", WHOLE, 2000),
        grace_period_s: r.or("bounds.gracePeriodS", NUMBER, 8.0),
        retry_budget_ratio: r.or("bounds.retryBudgetRatio", NUMBER, 0.1),
        budget_window_s: r.or("bounds.budgetWindowS", NUMBER, 10.0),
        budget_slack: r.or("bounds.budgetSlack", NUMBER, 0.0),
        quota_window_s: r.or("bounds.quotaWindowS", NUMBER, 8.0),
        quota_over: r.or("bounds.quotaOver", NUMBER, 0.0),
        quota_slack: r.or("bounds.quotaSlack", NUMBER, 0.0),
        ack_ms: r.or("bounds.ackMs", WHOLE, 4000),
        catch_up_s: r.or("bounds.catchUpS", NUMBER, 4.0),
        closed: r.or("bounds.closed", "true or false", false),
        revoke_ms: r.or("bounds.revokeMs", WHOLE, 5000),
    }
}
