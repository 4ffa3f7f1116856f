//! Shared parts of the review's scripts: machines with the project's processes, a platform, an operator, backends and
//! clients. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ---------------------------------------------------------------- record and end of the script

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<(u32, Child)>> = Mutex::new(Vec::new());
static TEMPORARY: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Set in a stand-in that runs as a process of its own: the start of the script, in seconds of the time of day.
static SCRIPT_STARTED_S: OnceLock<f64> = OnceLock::new();

fn time_of_day_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// Seconds since the start of the script.
pub fn now_s() -> f64 {
    match SCRIPT_STARTED_S.get() {
        Some(started_s) => time_of_day_s() - started_s,
        None => STARTED.get_or_init(Instant::now).elapsed().as_secs_f64(),
    }
}

/// Writes a line to `record.txt`.
pub fn record(line: impl AsRef<str>) {
    let line = format!("{:8.3}  {}\n", now_s(), line.as_ref());
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}

/// Writes a line to `record.txt` and to standard output.
pub fn say(line: impl AsRef<str>) {
    let _ = writeln!(io::stdout(), "{}", line.as_ref());
    record(line);
}

/// Ends all processes, removes the temporary folder and exits.
pub fn finish(code: i32, verdict: &str) -> ! {
    say(verdict);
    for (_, mut child) in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = TEMPORARY.lock().unwrap_or_else(|e| e.into_inner()).take() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends the script as one that could not run.
pub fn give_up(reason: &str) -> ! {
    finish(COULD_NOT_RUN, &format!("the case could not run: {reason}"))
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Prepares the record, the temporary folder, and a limit on the time of the script.
pub fn begin(limit_s: u64) {
    now_s();
    let record_path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    // Stand-ins append to it too.
    let _ = std::fs::remove_file(&record_path);
    match std::fs::OpenOptions::new().create(true).append(true).open(&record_path) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(e) => give_up(&format!("cannot write {record_path}: {e}")),
    }
    std::panic::set_hook(Box::new(|panic| give_up(&format!("{panic}"))));
    let folder = std::env::temp_dir().join(format!("gaugesaddle-review-{}-{}", std::process::id(), random() % 100_000));
    if let Err(e) = std::fs::create_dir_all(&folder) {
        give_up(&format!("cannot create a temporary folder: {e}"));
    }
    *TEMPORARY.lock().unwrap() = Some(folder);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(limit_s));
        give_up("the time limit was reached")
    });
    record(format!("disruption: {}", trouble()));
}

/// Starts this program once more, as a stand-in that is a process of its own; returns its id.
pub fn start_stand_in(arguments: &[&str]) -> u32 {
    let program = std::env::current_exe().unwrap_or_else(|e| give_up(&format!("{e}")));
    let record_path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command.env("RECORD", record_path).env("STARTED", (time_of_day_s() - now_s()).to_string());
    end_with_parent(&mut command);
    match spawn(command) {
        Ok(child) => {
            let id = child.id();
            CHILDREN.lock().unwrap().push((id, child));
            id
        }
        Err(e) => give_up(&format!("cannot start a stand-in: {e}")),
    }
}

/// Prepares the record in a stand-in that was started by [`start_stand_in`].
pub fn begin_stand_in() {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let _ = SCRIPT_STARTED_S.set(variable("STARTED").parse().unwrap_or(0.0));
    if let Ok(file) = std::fs::OpenOptions::new().append(true).open(variable("RECORD")) {
        let _ = RECORD.set(Mutex::new(file));
    }
}

fn end_with_parent(command: &mut Command) {
    // SAFETY: the call between fork and exec only sets a flag of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a time of the script, in seconds.
pub fn sleep_until(at_s: f64) {
    let left = at_s - now_s();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
        STATE.store(nanos ^ (u64::from(std::process::id()) << 32) | 1, Ordering::Relaxed);
    }
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

// ---------------------------------------------------------------- machines

/// A machine: one loopback address that runs a control process, a proxy, or both.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// The machines of a deployment and the settings of their processes.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub port: u16,
    folder: PathBuf,
    programs: PathBuf,
    /// Lines that replace or extend the settings of the deployment.
    pub settings: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Edge,
}

impl Fleet {
    /// Machines on free loopback addresses; `zones` names the zone of each.
    pub fn new(zones: &[&str], settings: &str) -> Fleet {
        let programs = std::env::var("PROGRAMS").unwrap_or_else(|_| "target/release".to_owned());
        let programs = std::fs::canonicalize(&programs).unwrap_or_else(|e| give_up(&format!("{programs}: {e}")));
        for program in ["gaugesaddle", "gaugesaddle-control"] {
            if !programs.join(program).exists() {
                give_up(&format!("{program} is not built"));
            }
        }
        let folder = TEMPORARY.lock().unwrap().clone().unwrap();
        for _ in 0..50 {
            let (a, b) = ((random() % 200 + 20) as u8, (random() % 250) as u8);
            let port = 20_000 + (random() % 1500) as u16 * 8;
            let machine = |(at, zone): (usize, &&str)| Machine {
                name: format!("edge-{zone}-{}", at + 1),
                ip: Ipv4Addr::new(127, a, b, at as u8 + 1),
                zone: (*zone).to_owned(),
            };
            let machines: Vec<Machine> = zones.iter().enumerate().map(machine).collect();
            let is_free = |m: &Machine| (0..8).all(|p| TcpListener::bind((m.ip, port + p)).is_ok());
            if machines.iter().all(is_free) {
                return Fleet { machines, port, folder, programs, settings: settings.to_owned() };
            }
        }
        give_up("no free ports")
    }

    pub fn control(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.port)
    }

    pub fn front(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.port + 1)
    }

    pub fn ready(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.port + 2)
    }

    /// Addresses of all control processes.
    pub fn controls(&self, machines: &[usize]) -> Vec<SocketAddrV4> {
        machines.iter().map(|at| self.control(*at)).collect()
    }

    /// Writes the settings of a process; it may read them again while it runs.
    pub fn boot_file(&self, at: usize, role: Role, seeds: &[usize], bootstrap: bool, disk: bool) -> PathBuf {
        let Machine { name, ip, zone } = &self.machines[at];
        let port = self.port;
        let (role_name, serves) = match role {
            Role::Control => ("control", "control"),
            Role::Edge => ("edge", "edge"),
        };
        let seeds: Vec<String> = seeds.iter().map(|seed| self.control(*seed).to_string()).collect();
        let data = self.folder.join(format!("disk-{at}-{role_name}"));
        let mut zones: Vec<&str> = self.machines.iter().map(|m| m.zone.as_str()).collect();
        zones.dedup();
        let mut text = format!(
            "nodeName={name}\nrole={role_name}\nmachineClass=edge\nserves={serves}\nip={ip}\nzone={zone}\nregion=r1\n"
        );
        for zone in zones {
            text += &format!("zones.{zone}=r1\n");
        }
        match role {
            Role::Control => text += &format!("bind.control={ip}:{port}\n"),
            Role::Edge => text += &format!("bind.front={ip}:{}\nbind.ready={ip}:{}\n", port + 1, port + 2),
        }
        text += &format!("ephemeralPorts={},{}\nseeds={}\nbootstrap={bootstrap}\n", port + 3, port + 7, seeds.join(","));
        text += &format!("countsForQuorum={disk}\nlimits.cpuShare=0.45\nlimits.cpuCores=1\nlimits.memoryMb=260\n");
        text += "limits.maxFds=4100\nlimits.linkMbps=1000.0\n";
        if disk {
            text += &format!("limits.diskMb=64\ndataDir={}\n", data.display());
        }
        text += "discovery=registration\nentry=virtual_ip\nheartbeatMs=1200\n\
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\n\
            faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
            bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
            bounds.drainMs=2000\nbounds.gracePeriodS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n\
            bounds.downgradeSlackMs=250\nbounds.outerMs=5000\nbounds.closed=false\nbounds.revokeMs=5000\n\
            bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=58\nbounds.quotaWindowS=8\n\
            bounds.quotaOver=0.1\nbounds.quotaSlack=140000\nbounds.recoveryS=12\nbounds.pass_ms=120\nbounds.again_s=10\n";
        text += &self.settings;
        let path = self.folder.join(format!("boot-{at}-{role_name}.conf"));
        if let Err(e) = std::fs::write(&path, text) {
            give_up(&format!("cannot write a boot file: {e}"));
        }
        path
    }

    /// Starts a process with the command of the deploy file; returns its id. `disk` tells whether the machine has one.
    pub fn start(&self, at: usize, role: Role, seeds: &[usize], bootstrap: bool, disk: bool) -> u32 {
        let boot = self.boot_file(at, role, seeds, bootstrap, disk);
        let (program, argument) = match role {
            Role::Control => ("gaugesaddle-control", "serve"),
            Role::Edge => ("gaugesaddle", "edge"),
        };
        let log = |stream: &str| {
            let keep = std::env::var("LOGS").ok()?;
            let path = Path::new(&keep).join(format!("{}-{program}.{stream}", self.machines[at].name));
            std::fs::OpenOptions::new().create(true).append(true).open(path).ok()
        };
        let mut command = Command::new(self.programs.join(program));
        command.arg(argument).env_clear().env("GAUGESADDLE_BOOT", &boot).stdin(Stdio::null());
        command.stdout(log("out").map_or_else(Stdio::null, Stdio::from));
        command.stderr(log("err").map_or_else(Stdio::null, Stdio::from));
        end_with_parent(&mut command);
        match spawn(command) {
            Ok(child) => {
                let id = child.id();
                record(format!("platform: starts {role:?} on {} (bootstrap={bootstrap})", self.machines[at].name));
                CHILDREN.lock().unwrap().push((id, child));
                id
            }
            Err(e) => give_up(&format!("cannot start {program}: {e}")),
        }
    }

    /// Whether the proxy of a machine says that it is ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        matches!(call(self.ready(at), request, 1000), Outcome::Answer(answer) if answer.status == 200)
    }
}

/// Starts a process from a thread that lasts as long as the script: the system kills a process with the thread that
/// started it (`PR_SET_PDEATHSIG`).
fn spawn(command: Command) -> io::Result<Child> {
    type Request = (Command, mpsc::Sender<io::Result<Child>>);
    static SPAWNER: OnceLock<Mutex<mpsc::Sender<Request>>> = OnceLock::new();
    let spawner = SPAWNER.get_or_init(|| {
        let (sender, requests) = mpsc::channel::<Request>();
        thread::spawn(move || {
            for (mut command, reply) in requests {
                let _ = reply.send(command.spawn());
            }
        });
        Mutex::new(sender)
    });
    let (reply, child) = mpsc::channel();
    let _ = spawner.lock().unwrap().send((command, reply));
    child.recv().map_err(|_| io::Error::from(ErrorKind::BrokenPipe))?
}

/// Sends a signal to a process that this script started.
pub fn signal(id: u32, signal: i32) {
    let is_running = CHILDREN.lock().unwrap().iter_mut().any(|(pid, child)| *pid == id && matches!(child.try_wait(), Ok(None)));
    if is_running {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(id as i32, signal) };
    }
}

/// Whether a process that this script started has ended.
pub fn has_ended(id: u32) -> bool {
    CHILDREN.lock().unwrap().iter_mut().all(|(pid, child)| *pid != id || !matches!(child.try_wait(), Ok(None)))
}

/// Waits for the end of a process.
pub fn wait_for_end(id: u32, timeout_s: f64) -> bool {
    let until = now_s() + timeout_s;
    while now_s() < until {
        if has_ended(id) {
            return true;
        }
        sleep_ms(2);
    }
    false
}

/// Resident memory of a process, in MB.
pub fn resident_mb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1000.0
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a client saw.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer(Message),
    /// The connection ended or broke before a whole answer; whether any byte of it had arrived.
    Cut { begun: bool },
    /// Nothing more arrived in time.
    Silent { begun: bool },
    NotConnected,
}

/// Reads a head and, where `whole`, the body.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    message.start = line.trim_end().to_owned();
    message.status = line.split(' ').nth(1).and_then(|s| s.trim().parse().ok()).unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(to: SocketAddrV4, request: &[u8], timeout_ms: u64) -> Outcome {
    let timeout = Duration::from_millis(timeout_ms);
    let Ok(stream) = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1)) else {
        return Outcome::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_write_timeout(Some(timeout));
    if (&stream).write_all(request).is_err() {
        return Outcome::Cut { begun: false };
    }
    let mut reader = BufReader::new(stream);
    match reader.fill_buf() {
        Ok([]) => return Outcome::Cut { begun: false },
        Ok(_) => {}
        Err(e) if is_timeout(&e) => return Outcome::Silent { begun: false },
        Err(_) => return Outcome::Cut { begun: false },
    }
    match read_message(&mut reader) {
        Ok(message) => Outcome::Answer(message),
        Err(e) if is_timeout(&e) => Outcome::Silent { begun: true },
        Err(_) => Outcome::Cut { begun: true },
    }
}

/// An operator's or backend's call; the next control process is called after a failure or a 5xx.
pub fn control_call(controls: &[SocketAddrV4], request: &[u8], within_s: f64) -> Option<Message> {
    let until = now_s() + within_s;
    let mut at = random() as usize;
    loop {
        let to = controls[at % controls.len()];
        if let Outcome::Answer(answer) = call(to, request, 1000) {
            if answer.status < 500 {
                return Some(answer);
            }
        }
        at += 1;
        if now_s() > until {
            return None;
        }
        sleep_ms(100);
    }
}

/// Sends a configuration until there is a clear answer; its status.
pub fn put_config(controls: &[SocketAddrV4], base: u64, document: &str, within_s: f64) -> Option<u16> {
    let request = format!(
        "POST /Config.Put HTTP/1.1\r\nHost: control\r\nConfig-Revision: {base}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{document}",
        document.len()
    );
    record(format!("operator: POST /Config.Put on top of {base}"));
    let status = control_call(controls, request.as_bytes(), within_s).map(|answer| answer.status);
    record(format!("operator: the answer is {status:?}"));
    status
}

// ---------------------------------------------------------------- backends

pub type Handler = dyn Fn(&Backend, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A backend that registers itself and serves requests.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: Mutex<&'static str>,
    /// Whether it still runs.
    pub runs: AtomicBool,
    sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// When its drain was acknowledged, in seconds.
    pub drain_acknowledged_s: Mutex<Option<f64>>,
}

impl Backend {
    /// Starts a backend on a loopback address, which sends heartbeats to `controls`.
    pub fn start(
        id: &str, service: &str, ip: Ipv4Addr, zone: &str, slots: u32, controls: Vec<SocketAddrV4>, handler: Arc<Handler>,
    ) -> Arc<Backend> {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| give_up(&format!("backend: {e}")));
        let port = listener.local_addr().map(|a| a.port()).unwrap_or(0);
        let backend = Arc::new(Backend {
            id: id.to_owned(),
            service: service.to_owned(),
            address: SocketAddrV4::new(ip, port),
            zone: zone.to_owned(),
            slots,
            state: Mutex::new("ready"),
            runs: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            connections: Mutex::new(Vec::new()),
            drain_acknowledged_s: Mutex::new(None),
        });
        record(format!("backend {id}: starts at {}", backend.address));
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !serving.runs.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let (backend, handler) = (serving.clone(), handler.clone());
                thread::spawn(move || drop(backend.serve(stream, &*handler)));
            }
        });
        let beating = backend.clone();
        thread::spawn(move || {
            while beating.runs.load(Ordering::SeqCst) {
                beating.heartbeat(&controls);
                sleep_ms(1200);
            }
        });
        backend
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_message(&mut reader)?;
            if !self.runs.load(Ordering::SeqCst) {
                return Ok(());
            }
            if request.start.starts_with("GET /healthz") {
                let status = if *self.state.lock().unwrap() == "ready" { "200 OK" } else { "503 Unavailable" };
                write!(writer, "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)?;
                continue;
            }
            let expected = request.header("expected-instance");
            if !expected.is_empty() && expected != self.id {
                let id = request.header("request-id");
                write!(writer, "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if !handler(self, &request, &mut writer)? {
                return Ok(());
            }
        }
    }

    /// Sends one heartbeat until it is acknowledged; false where there is no acknowledgement.
    pub fn heartbeat(&self, controls: &[SocketAddrV4]) -> bool {
        let state = *self.state.lock().unwrap();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"stage\":\"dual\",\"models\":[{{\"name\":\"m\",\"revision\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.slots
        );
        let request = format!(
            "POST /Instances.Heartbeat/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        control_call(controls, request.as_bytes(), 5.0).is_some_and(|answer| answer.status / 100 == 2)
    }

    /// Announces that the backend drains; returns once that is acknowledged.
    pub fn drain(&self, controls: &[SocketAddrV4]) -> bool {
        *self.state.lock().unwrap() = "draining";
        record(format!("backend {}: says draining", self.id));
        let acknowledged = self.heartbeat(controls);
        if acknowledged {
            *self.drain_acknowledged_s.lock().unwrap() = Some(now_s());
        }
        record(format!("backend {}: draining acknowledged: {acknowledged}", self.id));
        acknowledged
    }

    /// Deregisters the backend and ends it: its connections are closed.
    pub fn end(&self, controls: &[SocketAddrV4]) {
        let request = format!(
            "POST /Instances.Deregister/{} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        let answer = control_call(controls, request.as_bytes(), 3.0).map(|answer| answer.status);
        record(format!("backend {}: deregistered: {answer:?}", self.id));
        self.stop();
    }

    /// Ends the backend without a word.
    pub fn stop(&self) {
        self.runs.store(false, Ordering::SeqCst);
        record(format!("backend {}: ends", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.address.into(), Duration::from_millis(100));
    }
}

/// A head for a whole answer of a backend.
pub fn answer_head(backend: &Backend, request: &Message, length: usize) -> String {
    let id = request.header("request-id");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{id}\r\nContent-Length: {length}\r\n\r\n",
        backend.id
    )
}

pub fn request_id() -> String {
    format!("{:016x}", random())
}
