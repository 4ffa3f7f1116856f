//! The proxy under test, as a process with its own configuration.

use super::{until, Client};
use crate::lease::Lease;
use serde_json::{json, Value};
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex};

/// The settings of a small deployment with one class of each effect.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key_scope": "zone", "window_us": 1_200_000, "aim_us": 5_000_000,
               "deadline_us": 8_000_000, "gain": 1.0, "late_worth": 0.0, "stream": false})
    };
    json!({
        "blend": {"whole": 0.7, "worst_class": 0.3},
        "costs": {"cross_zone": 0.0},
        "customers": [],
        "discovery": "automatic",
        "granularity_us": 4000,
        "group_size": 1,
        "position": 0,
        "limits": {"cancel": true, "conn_idle_us": 30_000_000, "dial_timeout_us": 2_000_000, "max_attempts": 4,
                   "open_cap": 20_000, "parallel_tries": true},
        "my_zone": "east",
        "over_share_worth": 0.1,
        "profiles": [class("read", "free"), class("vote", "guarded"), class("pay", "single_shot")],
        "rules": {"cold_from": 0.3, "fall_multiple": 2.5, "must_ask_in_us": 10_000_000,
                  "ramp_time_us": 9_000_000, "tip_after_us": 2_000_000},
        "weight_source": "rough",
        "zones": ["east", "west"],
    })
}

/// An address that is in use by no other process or test: each call returns another one, from a network that this
/// process has leased. An ephemeral port that is bound and released may be assigned again to the next test before the
/// proxy binds it; two proxies then serve at one address without an error, since they share it as the two processes of
/// an upgrade do.
pub fn free_address() -> SocketAddr {
    static OWN: LazyLock<Lease> = LazyLock::new(|| Lease::acquire().expect("a lease of a network"));
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    OWN.numbered(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The configuration of a proxy in the deployment of [`settings`], listening at a free address.
pub fn config(discovery: SocketAddr, known: &[Value]) -> Value {
    json!({
        "name": "n1", "listen": free_address().to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": known}, "settings": settings(),
    })
}

/// A running proxy. It is killed when dropped.
pub struct Proxy {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Proxy {
    /// Starts a proxy and waits until it reports ready.
    pub fn start(config: &Value) -> Proxy {
        let proxy = Proxy::spawn(config);
        until("the proxy to report ready", || proxy.ready() == 200);
        proxy
    }

    /// Starts a proxy.
    pub fn spawn(config: &Value) -> Proxy {
        Proxy::spawn_with(config, "unlimited", &[])
    }

    /// Starts a proxy with a limit on descriptors set by `ulimit`, which is not part of the configuration, and with
    /// arguments.
    pub fn spawn_with(config: &Value, descriptors: &str, arguments: &[&str]) -> Proxy {
        Proxy::spawn_as(config, descriptors, arguments, &[])
    }

    /// Starts a proxy with additional environment variables.
    pub fn spawn_with_env(config: &Value, variables: &[(&str, &OsStr)]) -> Proxy {
        Proxy::spawn_as(config, "unlimited", &[], variables)
    }

    fn spawn_as(
        config: &Value, descriptors: &str, arguments: &[&str], variables: &[(&str, &OsStr)],
    ) -> Proxy {
        let address = config["listen"].as_str().unwrap().parse().unwrap_or_else(|_| free_address());
        let file = Proxy::file(address);
        std::fs::write(&file, config.to_string()).unwrap();
        let limit =
            if descriptors == "unlimited" { String::new() } else { format!("ulimit -n {descriptors}; ") };
        let mut child = Command::new("sh")
            .args([
                "-c",
                &format!("{limit}exec \"$0\" \"$@\""),
                &crate::program::path("gaugesaddle").to_string_lossy(),
            ])
            .args(arguments)
            .env("BALANCER_CONFIG", &file)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (mut stderr, log) =
            (BufReader::new(child.stderr.take().unwrap()), Arc::<Mutex<String>>::default());
        let output = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while stderr.read_line(&mut line).is_ok_and(|n| n > 0) {
                output.lock().unwrap().push_str(&std::mem::take(&mut line));
            }
        });
        Proxy { child, address, log }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The status of its readiness endpoint; 0 if it does not respond.
    pub fn ready(&self) -> u16 {
        let Ok(mut client) = Client::try_open(self.address) else { return 0 };
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read_response().map_or(0, |a| a.status())
    }

    /// The text that it has written to standard error.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Sends a signal as an option of `kill`, such as `-HUP` or `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and makes the proxy reload it by SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(Proxy::file(self.address), config).unwrap();
        self.signal("-HUP");
    }

    fn file(address: SocketAddr) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("gaugesaddle-{address}.json"))
    }

    /// Waits for the exit of its process.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the exit of the process", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(Proxy::file(self.address));
    }
}
