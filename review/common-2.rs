//! Shared by the cases of the second review: starts a small deployment on loopback addresses with the commands of the
//! deploy file, and has stand-ins for clients, backends, operator and platform. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// `PR_SET_PDEATHSIG`: the signal that a process gets when the thread that started it ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn pause(ms: u64) {
    thread::sleep(millis(ms));
}

/// `record.txt`: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("record {path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    panic!("{}", why);
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case: `body` returns whether the rule held. A panic is a case that could not run.
pub fn run_case(body: impl FnOnce() -> bool + std::panic::UnwindSafe) -> ! {
    let code = match std::panic::catch_unwind(body) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    std::process::exit(code)
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Control,
    Edge,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub disk: bool,
    bootstrap: bool,
    child: Option<Child>,
}

/// A small deployment: machines with one process each. All processes end when it is dropped.
pub struct Fleet {
    pub folder: PathBuf,
    pub port: u16,
    pub net: (u8, u8),
    pub machines: Vec<Machine>,
    /// Lines of every boot file beside the address lines.
    pub settings: String,
    pub record: Record,
}

impl Fleet {
    /// Prepares machines: `controls` with a disk, `edges` proxies. Nothing is started.
    pub fn new(record: &Record, controls: u8, edges: u8, settings: &str) -> Fleet {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("gaugesaddle-review-2-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", folder.display())));
        let net = (100 + (pid % 100) as u8, (pid / 100 % 250) as u8);
        let mut machines = Vec::new();
        for n in 0..controls + edges {
            let role = if n < controls { Role::Control } else { Role::Edge };
            let kind = if role == Role::Control { "control" } else { "edge" };
            machines.push(Machine {
                name: format!("{kind}-{n}"),
                role,
                ip: Ipv4Addr::new(127, net.0, net.1, 1 + n),
                disk: role == Role::Control,
                bootstrap: true,
                child: None,
            });
        }
        let ips: Vec<Ipv4Addr> = machines.iter().map(|m| m.ip).collect();
        let port = free_ports(&ips, pid);
        Fleet { folder, port, net, machines, settings: settings.to_owned(), record: record.clone() }
    }

    pub fn address(&self, at: usize, offset: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.port + offset)
    }

    pub fn front(&self, at: usize) -> SocketAddrV4 {
        self.address(at, 0)
    }

    pub fn ready(&self, at: usize) -> SocketAddrV4 {
        self.address(at, 1)
    }

    pub fn control(&self, at: usize) -> SocketAddrV4 {
        self.address(at, 2)
    }

    pub fn of_role(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| self.machines[*at].role == role).collect()
    }

    fn boot_text(&self, at: usize) -> String {
        let machine = &self.machines[at];
        let (ip, name, port) = (machine.ip, &machine.name, self.port);
        let serves = if machine.role == Role::Control { "control" } else { "edge" };
        let seeds: Vec<String> =
            self.of_role(Role::Control).into_iter().take(3).map(|c| self.control(c).to_string()).collect();
        let disk = if machine.disk {
            format!("limits.diskMb=64\ndataDir={}\n", self.folder.join(format!("data-{name}")).display())
        } else {
            String::new()
        };
        format!(
            "nodeName={name}\nrole={serves}\nmachineClass=edge\nserves={serves}\nip={ip}\nzone=z1\nregion=r1\n\
             zones.z1=r1\nbind.front={ip}:{port}\nbind.ready={ip}:{}\nbind.control={ip}:{}\n\
             ephemeralPorts={},{}\nseeds={}\nbootstrap={}\ncountsForQuorum={}\n{disk}{}",
            port + 1,
            port + 2,
            port + 3,
            port + 7,
            seeds.join(","),
            machine.bootstrap,
            machine.disk,
            self.settings
        )
    }

    /// The log of a machine's processes.
    pub fn log_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.machines[at].name))
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, at: usize) {
        let file = self.folder.join(format!("{}.conf", self.machines[at].name));
        fs::write(&file, self.boot_text(at)).unwrap_or_else(|e| cannot_run(&format!("boot file: {e}")));
        let (program, argument) = match self.machines[at].role {
            Role::Control => ("target/release/gaugesaddle-control", "serve"),
            Role::Edge => ("target/release/gaugesaddle", "edge"),
        };
        let log = File::options().create(true).append(true).open(self.log_path(at));
        let log = log.map_or(Stdio::null(), Stdio::from);
        let mut command = Command::new(program);
        // SAFETY: only a system call is made between fork and exec. The process ends with the case, however that ends.
        let end_with_case = || {
            unsafe { prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_case) };
        let child = command
            .arg(argument)
            .env_clear()
            .env("GAUGESADDLE_BOOT", &file)
            .env("GAUGESADDLE_LOG", std::env::var("CASE_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")));
        self.machines[at].child = Some(child);
        // The platform gives true only at the very first start.
        self.machines[at].bootstrap = false;
        self.record.line(&format!("platform: {} started at {}", self.machines[at].name, self.machines[at].ip));
    }

    /// Sets `bootstrap` of a machine's next start.
    pub fn set_bootstrap(&mut self, at: usize, bootstrap: bool) {
        self.machines[at].bootstrap = bootstrap;
    }

    /// The machine loses its disk; its process must not run.
    pub fn wipe(&mut self, at: usize) {
        self.record.line(&format!("platform: {} loses its disk", self.machines[at].name));
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{}", self.machines[at].name)));
    }

    pub fn start_all(&mut self) {
        for at in 0..self.machines.len() {
            self.start(at);
        }
    }

    pub fn pid(&self, at: usize) -> i32 {
        self.machines[at].child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, at: usize, signal: i32, name: &str) {
        let pid = self.pid(at);
        if pid > 0 {
            self.record.line(&format!("platform: {name} to {}", self.machines[at].name));
            // SAFETY: the process was started here and not waited for yet.
            unsafe { kill(pid, signal) };
        }
    }

    /// Whether a process still runs; one that has ended is collected.
    pub fn runs(&mut self, at: usize) -> bool {
        self.machines[at].child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill_and_wait(&mut self, at: usize) {
        if let Some(mut child) = self.machines[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Puts the first configuration and waits until all proxies call themselves ready.
    pub fn configure(&self, document: &str) {
        let controls = self.of_role(Role::Control);
        let end = Instant::now() + millis(20_000);
        let mut turn = 0;
        loop {
            let at = controls[turn % controls.len()];
            turn += 1;
            if put(self.control(at), 0, document).is_ok_and(|answer| answer.status == 200) {
                self.record.line("operator: the configuration is acknowledged");
                return;
            }
            if Instant::now() > end {
                cannot_run("the first configuration was not acknowledged");
            }
            pause(100);
        }
    }

    pub fn await_ready(&self) {
        for at in self.of_role(Role::Edge) {
            let end = Instant::now() + millis(20_000);
            while !self.is_ready(at) {
                if Instant::now() > end {
                    cannot_run("a proxy is not ready");
                }
                pause(50);
            }
            self.record.line(&format!("platform: {} is ready", self.machines[at].name));
        }
    }

    pub fn is_ready(&self, at: usize) -> bool {
        call(self.ready(at), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1000).is_ok_and(|a| a.status == 200)
    }

    /// Resident memory of a process in MB (10^6 bytes).
    pub fn resident_mb(&self, at: usize) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid(at))).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        let kib: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
        kib * 1024.0 / 1e6
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.machines.len() {
            self.signal(at, SIGCONT, "SIGCONT");
            self.kill_and_wait(at);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_ports(ips: &[Ipv4Addr], pid: u32) -> u16 {
    for attempt in 0..200 {
        let port = 21_000 + ((pid * 8 + attempt * 808) % 9_000) as u16;
        let is_free = |ip: &Ipv4Addr, offset: u16| TcpListener::bind((*ip, port + offset)).is_ok();
        if ips.iter().all(|ip| (0..8).all(|offset| is_free(ip, offset))) {
            return port;
        }
    }
    cannot_run("no free ports")
}

/// A message of HTTP/1.1: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub status: u16,
    /// The body came whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads the first line and the headers; `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_owned();
    message.status = message.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body with a length or in chunks into the message; `whole` tells whether it ended as it has to.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match read_chunk(reader) {
                Some(chunk) if chunk.is_empty() => {
                    message.whole = true;
                    return;
                }
                Some(chunk) => message.body.extend(chunk),
                None => return,
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    message.whole = reader.read_exact(&mut body).is_ok();
    if message.whole {
        message.body = body;
    }
}

/// The next chunk, empty for the last one; `None` if the connection ends or gives up before.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

pub fn connect(to: SocketAddrV4, timeout_ms: u64) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&SocketAddr::V4(to), millis(timeout_ms))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(millis(timeout_ms)))?;
    stream.set_write_timeout(Some(millis(timeout_ms)))?;
    Ok(stream)
}

/// One request on a new connection, and its answer.
pub fn call(to: SocketAddrV4, text: &str, timeout_ms: u64) -> io::Result<Message> {
    let mut stream = connect(to, timeout_ms)?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut message);
    Ok(message)
}

pub fn put(to: SocketAddrV4, base: u64, document: &str) -> io::Result<Message> {
    let text = format!(
        "POST /Config.Put HTTP/1.1\r\nHost: control\r\nConfig-Revision: {base}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{document}",
        document.len()
    );
    call(to, &text, 2000)
}

/// A backend's registration, renewed every `heartbeatMs` until it is dropped or told to stop.
pub struct Heartbeats {
    stop: Arc<AtomicBool>,
}

static SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// Sends one heartbeat to the control processes in turn, until one acknowledges it.
pub fn heartbeat(controls: &[SocketAddrV4], id: &str, service: &str, address: SocketAddrV4, slots: u32, state: &str) -> bool {
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"revision\":\"v1\",\"slots\":{slots},\
         \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
    );
    controls.iter().any(|control| {
        let text = format!(
            "POST /Instances.Heartbeat/{id} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        call(*control, &text, 1000).is_ok_and(|answer| answer.status == 200)
    })
}

impl Heartbeats {
    pub fn start(record: &Record, controls: Vec<SocketAddrV4>, id: &str, service: &str, address: SocketAddrV4, slots: u32) -> Heartbeats {
        let end = Instant::now() + millis(20_000);
        while !heartbeat(&controls, id, service, address, slots, "ready") {
            if Instant::now() > end {
                cannot_run("a backend was not registered");
            }
            pause(100);
        }
        record.line(&format!("backend {id}: registered for {service} at {address}"));
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, id, service) = (stop.clone(), id.to_owned(), service.to_owned());
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                pause(1200);
                if !stopped.load(Ordering::Relaxed) {
                    heartbeat(&controls, &id, &service, address, slots, "ready");
                }
            }
        });
        Heartbeats { stop }
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Accepts connections of a backend. `serve` answers one request on the connection and says whether it stays open.
pub fn serve_backend(
    ip: Ipv4Addr, serve: impl Fn(&mut TcpStream, Message) -> bool + Send + Sync + 'static,
) -> SocketAddrV4 {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| cannot_run(&format!("backend: {e}")));
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { cannot_run("backend address") };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                let mut stream = stream;
                while let Some(mut request) = read_head(&mut reader) {
                    read_body(&mut reader, &mut request);
                    if !request.whole || !serve(&mut stream, request) {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    address
}

/// Whether the caller has closed its end, or reset the connection. Reads nothing of a next request.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
