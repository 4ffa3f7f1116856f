//! A proxy tier on loopback whose proxies the test starts and stops. Their membership views are read from their state
//! sockets and logs.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use gaugesaddle::registry::{MemberRow, MembershipView, Snapshot};
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{Authenticator, Boot, Membership, Output, Settings, TierConfig};
use gaugesaddle_testbed::datagrams::DatagramRelay;
use gaugesaddle_testbed::lease::Lease;
use gaugesaddle_testbed::scripted::*;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Proxies on loopback, by member index, with one discovery agent and one backend.
pub struct Tier {
    pub proxies: Vec<Option<Proxy>>,
    pub network: DatagramRelay,
    pub discovery: Discovery,
    pub backend: Backend,
    pub listen_addresses: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub lease: Lease,
    with_key: bool,
    /// TOML text appended to the operator's file of each proxy.
    extra_settings: String,
}

impl Tier {
    /// Allocates the addresses and files of a tier and starts no proxy.
    pub fn prepare(name: &str, size: usize, with_key: bool) -> Tier {
        let lease = Lease::acquire().unwrap();
        let folder = std::env::temp_dir().join(format!("gs-peers-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let listen_addresses: Vec<SocketAddr> =
            (0..size).map(|p| SocketAddr::new(lease.proxy(p).ip(), 7946)).collect();
        let network = DatagramRelay::start(&listen_addresses, lease.peer().ip(), 1).unwrap();
        let key = folder.join("key");
        std::fs::write(&key, [7; 48]).unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        Tier {
            proxies: (0..size).map(|_| None).collect(),
            network,
            discovery: Discovery::start(),
            backend: Backend::start(|_| ok("x")),
            listen_addresses,
            folder,
            lease,
            with_key,
            extra_settings: String::new(),
        }
    }

    /// Starts all proxies and waits until each considers all others alive.
    pub fn start(name: &str, size: usize) -> Tier {
        Tier::start_with(name, size, "")
    }

    /// Starts all proxies but the last, whose address the test uses, with extra settings in each operator's file.
    pub fn start_all_but_last(name: &str, size: usize, extra_settings: &str) -> Tier {
        let mut tier = Tier::prepare(name, size, true);
        tier.add_settings(extra_settings);
        (0..size - 1).for_each(|p| tier.start_proxy(p));
        tier
    }

    /// Starts all proxies with extra settings in each operator's file and waits until their views agree.
    pub fn start_with(name: &str, size: usize, extra_settings: &str) -> Tier {
        let mut tier = Tier::start_all_but_last(name, size, extra_settings);
        tier.start_proxy(size - 1);
        tier.wait_for_agreement("all members are alive in every view");
        tier
    }

    pub fn socket(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{index}.sock"))
    }

    /// Writes the operator's file of a proxy.
    pub fn file(&self, index: usize) -> PathBuf {
        self.file_with(index, index)
    }

    /// Writes the operator's file of a process of member `index` whose state socket is that of `state_of`.
    fn file_with(&self, index: usize, state_of: usize) -> PathBuf {
        let addresses: Vec<String> = self.network.addresses().iter().map(|a| format!("\"{a}\"")).collect();
        let key =
            if self.with_key { format!("key = {:?}\n", self.folder.join("key")) } else { String::new() };
        let text = format!(
            "[state]\nsocket = {:?}\n[peers]\nenabled = true\nlisten = \"{}\"\nown = {}\naddresses = [{}]\n{key}{}",
            self.socket(state_of),
            self.listen_addresses[index],
            addresses[index],
            addresses.join(", "),
            self.extra_settings
        );
        let file = self.folder.join(format!("{state_of}.toml"));
        std::fs::write(&file, text).unwrap();
        file
    }

    fn config(&self, index: usize) -> serde_json::Value {
        let mut config = config(self.discovery.address, &[endpoint("a", self.backend.address, "ready", 0)]);
        config["name"] = format!("p{index}").into();
        config["listen"] = self.lease.proxy(index).to_string().into();
        config["seed"] = format!("{:x}", index + 1).into();
        config["settings"]["group_size"] = self.listen_addresses.len().into();
        config["settings"]["position"] = index.into();
        config
    }

    /// Starts a process of member `index` with an admin address, through which its successor finds it. The state of
    /// the successor is read at `state_of`, an index outside the tier.
    pub fn start_for_hot_restart(&mut self, index: usize, state_of: usize) {
        let mut config = self.config(index);
        config["admin"] = free_address().to_string().into();
        let file = self.file_with(index, state_of);
        let proxy = Proxy::spawn_with_env(
            &config,
            &[("TMPDIR", self.folder.as_os_str()), ("GAUGESADDLE_CONFIG", file.as_os_str())],
        );
        if self.proxies.len() <= state_of {
            self.proxies.resize_with(state_of + 1, || None);
        }
        self.proxies[state_of] = Some(proxy);
        until("the state socket answers", || self.state(state_of).is_some());
    }

    /// Appends settings to the operator's file of each proxy that starts later.
    pub fn add_settings(&mut self, extra_settings: &str) {
        self.extra_settings += extra_settings;
    }

    /// Starts a proxy in a zone, with a discovery agent and an endpoint list of its own.
    pub fn start_proxy_in_zone(
        &mut self, index: usize, zone: &str, discovery: SocketAddr, lines: &[serde_json::Value],
    ) {
        let mut config = self.config(index);
        config["settings"]["my_zone"] = zone.into();
        config["discovery"] = discovery.to_string().into();
        config["known"]["endpoints"] = lines.into();
        self.start_proxy_with(index, &config);
    }

    pub fn start_proxy(&mut self, index: usize) {
        let config = self.config(index);
        self.start_proxy_with(index, &config);
    }

    fn start_proxy_with(&mut self, index: usize, config: &serde_json::Value) {
        let file = self.file(index);
        let proxy = Proxy::spawn_with(config, "unlimited", &["--config", file.to_str().unwrap()]);
        self.proxies[index] = Some(proxy);
        until("the state socket answers", || self.state(index).is_some());
    }

    pub fn kill(&mut self, index: usize) {
        self.proxies[index] = None;
    }

    pub fn proxy(&self, index: usize) -> &Proxy {
        self.proxies[index].as_ref().expect("the proxy runs")
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.proxies.len()).filter(|p| self.proxies[*p].is_some()).collect()
    }

    pub fn state(&self, index: usize) -> Option<Snapshot> {
        gaugesaddle::state::request(&self.socket(index)).ok()
    }

    /// A section of the state as the command line prints it.
    pub fn table(&self, index: usize, part: &str) -> String {
        let program = gaugesaddle_testbed::program::path("gaugesaddle");
        let mut command = std::process::Command::new(program);
        let shown = command.args(["state", part, "--socket"]).arg(self.socket(index)).output().unwrap();
        String::from_utf8_lossy(&shown.stdout).into_owned()
    }

    pub fn view(&self, index: usize) -> MembershipView {
        self.state(index).and_then(|s| s.peers).expect("a membership view in the state")
    }

    pub fn row(&self, index: usize, of: usize) -> MemberRow {
        self.view(index).peers.swap_remove(of)
    }

    /// Whether each of these proxies considers exactly these members alive, each with its current boot id.
    pub fn agrees(&self, indices: &[usize]) -> bool {
        let views: Vec<MembershipView> = indices.iter().map(|p| self.view(*p)).collect();
        views.iter().all(|view| {
            view.peers.iter().all(|row| {
                let at = indices.iter().position(|p| *p == usize::from(row.place));
                match at {
                    Some(at) => row.state == "alive" && row.boot.as_ref() == Some(&views[at].boot),
                    None => row.state != "alive" && row.state != "suspect",
                }
            })
        })
    }

    pub fn wait_for_agreement(&self, what: &str) {
        let running = self.running();
        until(what, || self.agrees(&running));
    }

    /// Waits for agreement and fails if it takes longer than `within`.
    pub fn expect_agreement_within(&self, what: &str, within: Duration) {
        let begun = Instant::now();
        self.wait_for_agreement(what);
        assert!(begun.elapsed() < within, "{what}: only after {:?}", begun.elapsed());
    }

    /// Waits until each of these proxies has sent `count` more probes, so that failures have time to show.
    pub fn wait_for_probes(&self, indices: &[usize], count: u64) {
        let before: Vec<u64> = indices.iter().map(|p| self.view(*p).asked).collect();
        until("more probes are sent", || {
            indices.iter().zip(&before).all(|(p, before)| self.view(*p).asked >= before + count)
        });
    }

    /// Lines of a proxy's log in which it declares a member dead.
    pub fn death_log_lines(&self, index: usize) -> Vec<String> {
        let log = self.proxy(index).log();
        log.lines().filter(|l| l.contains(" is dead after ")).map(String::from).collect()
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.proxies.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A tier member without a proxy: it runs the membership protocol and publishes the record that the test sets.
pub struct FakeMember {
    body: Arc<Mutex<Vec<u8>>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakeMember {
    /// Starts a member at an index that no proxy uses.
    pub fn start(tier: &Tier, index: usize) -> FakeMember {
        let (body, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let socket = UdpSocket::bind(tier.listen_addresses[index]).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let config = TierConfig {
            addresses: tier.network.addresses().to_vec(),
            own_index: index as u16,
            broadcast_address: None,
            name: format!("p{index}"),
            zone: String::new(),
        };
        let auth = Authenticator::from_secret(&[7; 48]).unwrap();
        let begun = Instant::now();
        let now = move || Time(1_000_000 + begun.elapsed().as_micros() as u64);
        let mut peers = Membership::new(Settings::default(), auth, config, Boot(77), 7, now()).unwrap();
        let (shared_body, stopped) = (body.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let (mut out, mut buffer, mut published) = (Vec::new(), [0; 2048], now());
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((n, from)) = socket.recv_from(&mut buffer) {
                    peers.handle_datagram(now(), from, &buffer[..n], &mut out);
                }
                if now() >= published {
                    published = now() + Micros(250_000);
                    peers.publish(now(), &shared_body.lock().unwrap());
                }
                peers.run_due_timers(now(), &mut out);
                for output in out.drain(..) {
                    if let Output::Send { to, bytes } = output {
                        let _ = socket.send_to(&bytes, to);
                    }
                }
            }
        });
        FakeMember { body, stop, thread: Some(thread) }
    }

    /// Sets the record that is published from now on.
    pub fn set_record(&self, body: Vec<u8>) {
        *self.body.lock().unwrap() = body;
    }
}

impl Drop for FakeMember {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
