//! A tier on loopback, its proxies started and stopped by the test; what each holds is read from its state and log.

// Each test file uses some of it.
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

/// A tier on loopback, its proxies started and stopped by the test.
pub struct Tier {
    pub proxies: Vec<Option<Proxy>>,
    pub ways: DatagramRelay,
    pub discovery: Discovery,
    pub backend: Backend,
    pub listens: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub lease: Lease,
    keyed: bool,
    /// Added to each operator's file.
    more: String,
}

impl Tier {
    pub fn told(name: &str, places: usize, keyed: bool) -> Tier {
        let lease = Lease::acquire().unwrap();
        let folder = std::env::temp_dir().join(format!("gs-peers-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let listens: Vec<SocketAddr> =
            (0..places).map(|p| SocketAddr::new(lease.proxy(p).ip(), 7946)).collect();
        let ways = DatagramRelay::start(&listens, lease.peer().ip(), 1).unwrap();
        let key = folder.join("key");
        std::fs::write(&key, [7; 48]).unwrap();
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
        Tier {
            proxies: (0..places).map(|_| None).collect(),
            ways,
            discovery: Discovery::start(),
            backend: Backend::start(|_| ok("x")),
            listens,
            folder,
            lease,
            keyed,
            more: String::new(),
        }
    }

    /// All of them run and hold one another alive.
    pub fn start(name: &str, places: usize) -> Tier {
        Tier::start_with(name, places, "")
    }

    /// All but the last place, which the test has; with more in each operator's file.
    pub fn start_but_last(name: &str, places: usize, more: &str) -> Tier {
        let mut tier = Tier::told(name, places, true);
        tier.add(more);
        (0..places - 1).for_each(|p| tier.run(p));
        tier
    }

    /// All of them, with more in each operator's file.
    pub fn start_with(name: &str, places: usize, more: &str) -> Tier {
        let mut tier = Tier::start_but_last(name, places, more);
        tier.run(places - 1);
        tier.agree("all know one another");
        tier
    }

    pub fn socket(&self, place: usize) -> PathBuf {
        self.folder.join(format!("{place}.sock"))
    }

    pub fn file(&self, place: usize) -> PathBuf {
        self.file_with(place, place)
    }

    /// Of a process whose state is read at another place.
    fn file_with(&self, place: usize, state_of: usize) -> PathBuf {
        let addresses: Vec<String> = self.ways.addresses().iter().map(|a| format!("\"{a}\"")).collect();
        let key = if self.keyed { format!("key = {:?}\n", self.folder.join("key")) } else { String::new() };
        let text = format!(
            "[state]\nsocket = {:?}\n[peers]\nenabled = true\nlisten = \"{}\"\nown = {}\naddresses = [{}]\n{key}{}",
            self.socket(state_of),
            self.listens[place],
            addresses[place],
            addresses.join(", "),
            self.more
        );
        let file = self.folder.join(format!("{state_of}.toml"));
        std::fs::write(&file, text).unwrap();
        file
    }

    fn config(&self, place: usize) -> serde_json::Value {
        let mut config = config(self.discovery.address, &[endpoint("a", self.backend.address, "ready", 0)]);
        config["name"] = format!("p{place}").into();
        config["listen"] = self.lease.proxy(place).to_string().into();
        config["seed"] = format!("{:x}", place + 1).into();
        config["settings"]["group_size"] = self.listens.len().into();
        config["settings"]["position"] = place.into();
        config
    }

    /// A process of a place, with a second address by which its successor finds it; the successor's state is read at a
    /// place of its own, which is no member of the tier.
    pub fn run_for_upgrade(&mut self, place: usize, state_of: usize) {
        let mut config = self.config(place);
        config["admin"] = free_address().to_string().into();
        let file = self.file_with(place, state_of);
        let proxy = Proxy::spawn_with_env(
            &config,
            &[("TMPDIR", self.folder.as_os_str()), ("GAUGESADDLE_CONFIG", file.as_os_str())],
        );
        if self.proxies.len() <= state_of {
            self.proxies.resize_with(state_of + 1, || None);
        }
        self.proxies[state_of] = Some(proxy);
        until("its state", || self.state(state_of).is_some());
    }

    /// Adds to each operator's file.
    pub fn add(&mut self, more: &str) {
        self.more += more;
    }

    /// One that stands in a zone and has a list, and an agent, of its own.
    pub fn run_in(&mut self, place: usize, zone: &str, discovery: SocketAddr, lines: &[serde_json::Value]) {
        let mut config = self.config(place);
        config["settings"]["my_zone"] = zone.into();
        config["discovery"] = discovery.to_string().into();
        config["known"]["endpoints"] = lines.into();
        self.run_with(place, &config);
    }

    pub fn run(&mut self, place: usize) {
        let config = self.config(place);
        self.run_with(place, &config);
    }

    fn run_with(&mut self, place: usize, config: &serde_json::Value) {
        let file = self.file(place);
        let proxy = Proxy::spawn_with(config, "unlimited", &["--config", file.to_str().unwrap()]);
        self.proxies[place] = Some(proxy);
        until("its state", || self.state(place).is_some());
    }

    pub fn kill(&mut self, place: usize) {
        self.proxies[place] = None;
    }

    pub fn proxy(&self, place: usize) -> &Proxy {
        self.proxies[place].as_ref().expect("runs")
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.proxies.len()).filter(|p| self.proxies[*p].is_some()).collect()
    }

    pub fn state(&self, place: usize) -> Option<Snapshot> {
        gaugesaddle::state::request(&self.socket(place)).ok()
    }

    /// A part of its state as people read it.
    pub fn table(&self, place: usize, part: &str) -> String {
        let program = gaugesaddle_testbed::program::path("gaugesaddle");
        let mut command = std::process::Command::new(program);
        let shown = command.args(["state", part, "--socket"]).arg(self.socket(place)).output().unwrap();
        String::from_utf8_lossy(&shown.stdout).into_owned()
    }

    pub fn view(&self, place: usize) -> MembershipView {
        self.state(place).and_then(|s| s.peers).expect("its view")
    }

    pub fn row(&self, place: usize, of: usize) -> MemberRow {
        self.view(place).peers.swap_remove(of)
    }

    /// Each of these holds exactly the others of them for alive, in their present processes.
    pub fn agrees(&self, places: &[usize]) -> bool {
        let views: Vec<MembershipView> = places.iter().map(|p| self.view(*p)).collect();
        views.iter().all(|view| {
            view.peers.iter().all(|row| {
                let at = places.iter().position(|p| *p == usize::from(row.place));
                match at {
                    Some(at) => row.state == "alive" && row.boot.as_ref() == Some(&views[at].boot),
                    None => row.state != "alive" && row.state != "suspect",
                }
            })
        })
    }

    pub fn agree(&self, what: &str) {
        let running = self.running();
        until(what, || self.agrees(&running));
    }

    /// The same, and within a time.
    pub fn agree_within(&self, what: &str, within: Duration) {
        let begun = Instant::now();
        self.agree(what);
        assert!(begun.elapsed() < within, "{what}: only after {:?}", begun.elapsed());
    }

    /// Each of these has asked so many more questions: time for every fault to show.
    pub fn asked(&self, places: &[usize], more: u64) {
        let before: Vec<u64> = places.iter().map(|p| self.view(*p).asked).collect();
        until("their questions", || {
            places.iter().zip(&before).all(|(p, before)| self.view(*p).asked >= before + more)
        });
    }

    /// Lines of a proxy's log in which it calls another dead.
    pub fn deaths(&self, place: usize) -> Vec<String> {
        let log = self.proxy(place).log();
        log.lines().filter(|l| l.contains(" is dead after ")).map(String::from).collect()
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.proxies.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A member of the tier that says of itself what the test words: the real protocol, with no proxy behind it.
pub struct Liar {
    body: Arc<Mutex<Vec<u8>>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Liar {
    /// At that place, which no proxy has.
    pub fn start(tier: &Tier, place: usize) -> Liar {
        let (body, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let socket = UdpSocket::bind(tier.listens[place]).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let config = TierConfig {
            addresses: tier.ways.addresses().to_vec(),
            own_index: place as u16,
            broadcast_address: None,
            name: format!("p{place}"),
            zone: String::new(),
        };
        let auth = Authenticator::from_secret(&[7; 48]).unwrap();
        let begun = Instant::now();
        let now = move || Time(1_000_000 + begun.elapsed().as_micros() as u64);
        let mut peers = Membership::new(Settings::default(), auth, config, Boot(77), 7, now()).unwrap();
        let (says, stopped) = (body.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let (mut out, mut buffer, mut published) = (Vec::new(), [0; 2048], now());
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((n, from)) = socket.recv_from(&mut buffer) {
                    peers.handle_datagram(now(), from, &buffer[..n], &mut out);
                }
                if now() >= published {
                    published = now() + Micros(250_000);
                    peers.publish(now(), &says.lock().unwrap());
                }
                peers.run_due_timers(now(), &mut out);
                for output in out.drain(..) {
                    if let Output::Send { to, bytes } = output {
                        let _ = socket.send_to(&bytes, to);
                    }
                }
            }
        });
        Liar { body, stop, thread: Some(thread) }
    }

    /// What its records hold from now on.
    pub fn say(&self, body: Vec<u8>) {
        *self.body.lock().unwrap() = body;
    }
}

impl Drop for Liar {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
