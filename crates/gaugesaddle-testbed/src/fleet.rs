//! A small router fleet on loopback: control processes and proxies run as processes, each machine is a loopback
//! address, and the functions here make the calls of backends, the operator and clients. Used by tests of several
//! processes and by the demo.

use crate::program;
use crate::scripted::{read_message, until, Backend, Message};
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Timeout of a connect or a read, which no call reaches unless something is wrong.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Program of the data plane and its argument.
const EDGE: (&str, &str) = ("gaugesaddle", "edge");
/// Program of the control plane and its argument.
const CONTROL: (&str, &str) = ("gaugesaddle-control", "serve");

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Control plane.
    Control,
    /// Data plane.
    Edge,
}

/// A machine and its process.
struct Node {
    role: Role,
    has_disk: bool,
    ip: Ipv4Addr,
    bootstrap: bool,
    child: Option<Child>,
}

/// A fleet. Its processes are killed and its folder removed when it is dropped.
pub struct Fleet {
    folder: PathBuf,
    port: u16,
    nodes: Vec<Node>,
    /// Whether the processes inherit the standard error of this process for their logs.
    inherit_stderr: bool,
    /// Additional lines of every boot file.
    settings: String,
}

static FLEETS: AtomicU32 = AtomicU32::new(0);

// Ports of a machine, as offsets from the fleet's first port.
const CONTROL_PORT: u16 = 0;
const FRONT_PORT: u16 = 1;
const READY_PORT: u16 = 2;
const FREE_PORTS: u16 = 3;

impl Fleet {
    /// Starts that many control processes and proxies, each on a machine of its own.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start(controls: u8, edges: u8) -> io::Result<Fleet> {
        Fleet::start_with(controls, edges, false, "")
    }

    /// Like [`Fleet::start`], with `bounds.closed`: no request uses an API key later than `revoke_ms` after its
    /// revocation.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start_fail_closed(controls: u8, edges: u8, revoke_ms: u64) -> io::Result<Fleet> {
        let settings = format!("bounds.closed=true\nbounds.revokeMs={revoke_ms}\n");
        Fleet::start_with(controls, edges, false, &settings)
    }

    /// Like [`Fleet::start`], with additional lines in every boot file and optionally with the processes' logs on
    /// standard error.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start_with(controls: u8, edges: u8, inherit_stderr: bool, settings: &str) -> io::Result<Fleet> {
        Fleet::start_machines(&vec![true; controls.into()], edges, inherit_stderr, settings)
    }

    /// Starts a control process for each entry of `disks`, which tells whether its machine has a disk, and no proxies. The first
    /// three machines are the seeds.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start_controls(disks: &[bool]) -> io::Result<Fleet> {
        Fleet::start_machines(disks, 0, false, "")
    }

    /// Starts a control process for each entry of `disks`, as [`Fleet::start_controls`] does, and that many proxies, with
    /// additional lines in every boot file.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start_with_disks(disks: &[bool], edges: u8, settings: &str) -> io::Result<Fleet> {
        Fleet::start_machines(disks, edges, false, settings)
    }

    fn start_machines(disks: &[bool], edges: u8, inherit_stderr: bool, settings: &str) -> io::Result<Fleet> {
        let (pid, number) = (std::process::id(), FLEETS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(format!("gaugesaddle-fleet-{pid}-{number}"));
        std::fs::create_dir_all(&folder)?;
        let port = 20_000 + (pid % 5000) as u16 * 8;
        let third = ((pid / 5000 + number * 5) % 250) as u8;
        let settings = settings.to_owned();
        let mut fleet = Fleet { folder, port, nodes: Vec::new(), inherit_stderr, settings };
        let controls = disks.iter().map(|has_disk| (Role::Control, *has_disk));
        let edges = (0..edges).map(|_| (Role::Edge, false));
        for (machine, (role, has_disk)) in (1..).zip(controls.chain(edges)) {
            let ip = Ipv4Addr::new(127, 1 + (pid % 200) as u8, third, machine);
            fleet.nodes.push(Node { role, has_disk, ip, bootstrap: true, child: None });
        }
        for at in 0..fleet.nodes.len() {
            fleet.start_process(at)?;
        }
        Ok(fleet)
    }

    /// Number of machines.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the fleet has no machines.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    fn seeds(&self) -> String {
        let controls = self.nodes.iter().filter(|n| n.role == Role::Control).take(3);
        let address = |n: &Node| format!("{}:{}", n.ip, self.port + CONTROL_PORT);
        controls.map(address).collect::<Vec<_>>().join(",")
    }

    fn boot_file(&self, at: usize) -> String {
        let Node { role, has_disk, ip, bootstrap, .. } = &self.nodes[at];
        let port = self.port;
        let serves = if *role == Role::Control { "control" } else { "edge" };
        let (disk, folder) =
            if *has_disk { (64, self.data_folder(at).display().to_string()) } else { (0, String::new()) };
        let lines = [
            format!("nodeName=node-{at}\nrole={serves}\nserves={serves}\nip={ip}\nzone=z{at}\nregion=r"),
            format!("bind.control={ip}:{}\nbind.front={ip}:{}", port + CONTROL_PORT, port + FRONT_PORT),
            format!("bind.ready={ip}:{}", port + READY_PORT),
            format!("ephemeralPorts={},{}", port + FREE_PORTS, port + FREE_PORTS + 3),
            format!("seeds={}\nbootstrap={bootstrap}\nheartbeatMs=1200", self.seeds()),
            format!("limits.memoryMb=260\nlimits.maxFds=900\nlimits.diskMb={disk}\ndataDir={folder}"),
            format!("faultTolerance.machines={}", self.disks().saturating_sub(1) / 2),
            "bounds.gracePeriodS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10".to_owned(),
            "bounds.budgetSlack=50\nbounds.quotaWindowS=8\nbounds.quotaSlack=0\n".to_owned(),
            self.settings.clone(),
        ];
        lines.join("\n")
    }

    fn disks(&self) -> usize {
        self.nodes.iter().filter(|node| node.has_disk).count()
    }

    fn data_folder(&self, at: usize) -> PathBuf {
        self.folder.join(format!("disk-{at}"))
    }

    /// Starts the process of a machine; it must not be running.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start_process(&mut self, at: usize) -> io::Result<()> {
        let file = self.folder.join(format!("boot-{at}.conf"));
        std::fs::write(&file, self.boot_file(at))?;
        let (name, argument) = if self.nodes[at].role == Role::Control { CONTROL } else { EDGE };
        let log = if self.inherit_stderr { Stdio::inherit() } else { Stdio::null() };
        let child = Command::new(program::path(name))
            .arg(argument)
            .env("GAUGESADDLE_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.nodes[at].child = Some(child);
        Ok(())
    }

    /// Kills a process with SIGKILL and waits for its end; its disk remains.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].bootstrap = false;
        if let Some(mut child) = self.nodes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Removes a machine's disk; its process must not be running.
    ///
    /// # Errors
    /// The folder cannot be removed.
    pub fn wipe(&mut self, at: usize) -> io::Result<()> {
        std::fs::remove_dir_all(self.data_folder(at))
    }

    /// Sends SIGTERM to a process.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn terminate(&mut self, at: usize) -> io::Result<()> {
        self.signal(at, "-TERM")
    }

    /// Kills a process with SIGKILL while other threads use the fleet. [`Fleet::kill`] must follow before
    /// [`Fleet::start_process`].
    pub fn send_sigkill(&self, at: usize) {
        let _ = self.signal(at, "-KILL");
    }

    /// Suspends a process with SIGSTOP until [`Fleet::resume`].
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn suspend(&self, at: usize) -> io::Result<()> {
        self.signal(at, "-STOP")
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn resume(&self, at: usize) -> io::Result<()> {
        self.signal(at, "-CONT")
    }

    fn signal(&self, at: usize, signal: &str) -> io::Result<()> {
        let Some(child) = &self.nodes[at].child else { return Ok(()) };
        Command::new("kill").args([signal, &child.id().to_string()]).status()?;
        Ok(())
    }

    /// Whether a process is running.
    pub fn is_running(&mut self, at: usize) -> bool {
        self.nodes[at].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    fn address(&self, at: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[at].ip, self.port + port)
    }

    /// The address of a proxy for clients.
    pub fn front(&self, at: usize) -> SocketAddrV4 {
        self.address(at, FRONT_PORT)
    }

    /// The address of a control process for backends and the operator.
    pub fn control(&self, at: usize) -> SocketAddrV4 {
        self.address(at, CONTROL_PORT)
    }

    /// The address of a control process for other processes of the fleet.
    pub fn internal(&self, at: usize) -> SocketAddrV4 {
        self.address(at, FREE_PORTS)
    }

    /// The status of a control process, as the command `status --json` prints it; null if it does not answer.
    pub fn status(&self, at: usize) -> Value {
        let arguments = ["status", "--json", "--at", &self.internal(at).to_string()];
        let output =
            Command::new(program::path(CONTROL.0)).args(arguments).env_remove("GAUGESADDLE_BOOT").output();
        output.ok().and_then(|output| serde_json::from_slice(&output.stdout).ok()).unwrap_or_default()
    }

    /// The voters in the newest state of a control process; empty if it does not answer.
    pub fn voters(&self, at: usize) -> Vec<String> {
        serde_json::from_value(self.status(at)["voters"].take()).unwrap_or_default()
    }

    /// The folder of the fleet's files, removed with the fleet.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// Whether a proxy's readiness endpoint reports ready.
    pub fn is_ready(&self, at: usize) -> bool {
        call(self.address(at, READY_PORT), "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a configuration to a control process. Returns the status and body of the response; status 0 if there is
    /// none.
    pub fn put(&self, at: usize, base: u64, document: &str) -> (u16, String) {
        self.send_configuration(at, "Put", base, document)
    }

    /// Sends a patch of the configuration to a control process; returns the same as [`Fleet::put`].
    pub fn patch(&self, at: usize, base: u64, patch: &str) -> (u16, String) {
        self.send_configuration(at, "Patch", base, patch)
    }

    fn send_configuration(&self, at: usize, call: &str, base: u64, body: &str) -> (u16, String) {
        let text = format!(
            "POST /Config.{call} HTTP/1.1\r\nHost: c\r\nConfig-Revision: {base}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.control_call(at, &text)
    }

    /// Reads the configuration from a control process; returns the same as [`Fleet::put`].
    pub fn get(&self, at: usize) -> (u16, String) {
        self.control_call(at, "GET /Config.Get HTTP/1.1\r\nHost: c\r\n\r\n")
    }

    /// Waits until a proxy sends requests to each of these backends. A proxy is ready once it knows one of them. They must
    /// answer requests on the route `/plain/`, whose `Request-Id` is `q1`.
    pub fn await_backends(&self, at: usize, backends: &[&Backend]) {
        let text = "POST /plain/known HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nApi-Key: k-free\r\n\
                    Content-Length: 0\r\n\r\n";
        until("the proxy uses all backends", || {
            let _ = call(self.front(at), text);
            let is_known = |backend: &&Backend| {
                backend.requests().iter().any(|message| message.start.contains("/plain/known"))
            };
            backends.iter().all(is_known)
        });
    }

    /// Sends a backend's heartbeat; returns the status of the response.
    pub fn heartbeat(&self, at: usize, id: &str, service: &str, address: SocketAddr, state: &str) -> u16 {
        static SEQUENCE: AtomicU32 = AtomicU32::new(1);
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        let body = json!({"service": service, "address": address.to_string(), "zone": "z0", "revision": "v1",
            "slots": 8, "state": state, "coldRemainingMs": 0, "sequence": sequence})
        .to_string();
        let text = format!(
            "POST /Instances.Heartbeat/{id} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.control_call(at, &text).0
    }

    fn control_call(&self, at: usize, text: &str) -> (u16, String) {
        match call(self.address(at, CONTROL_PORT), text) {
            Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
            Err(_) => (0, String::new()),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.nodes.len() {
            self.kill(at);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one request on a new connection. The response must have a `Content-Length` or no body.
///
/// # Errors
/// The connection fails, or ends before a response.
pub fn call(to: SocketAddrV4, text: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to.into(), CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    (&stream).write_all(text.as_bytes())?;
    read_message(&mut BufReader::new(stream)).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A chunked response, read incrementally.
pub struct Chunked {
    reader: BufReader<TcpStream>,
    /// The status line and headers.
    pub head: Message,
}

impl Chunked {
    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// The connection fails, or ends before the head of a response.
    pub fn open(to: SocketAddrV4, text: &str) -> io::Result<Chunked> {
        let stream = TcpStream::connect_timeout(&to.into(), CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        (&stream).write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = read_message(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(Chunked { reader, head })
    }

    /// Reads the next chunk; `None` after the last one.
    ///
    /// # Errors
    /// The connection ends before the end of the response.
    pub fn next_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::UnexpectedEof)?;
        let mut chunk = vec![0; length + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(length);
        Ok((length > 0).then_some(chunk))
    }

    /// Reads the rest of the body up to the last chunk; after an error, the chunks read so far are lost.
    ///
    /// # Errors
    /// The connection ends before the end of the response.
    pub fn rest(&mut self) -> io::Result<String> {
        let mut all = Vec::new();
        while let Some(chunk) = self.next_chunk()? {
            all.extend(chunk);
        }
        Ok(String::from_utf8_lossy(&all).into_owned())
    }
}

/// A configuration with the routes of the tests: `/plain/` (idempotent, two attempts), `/once/` (not idempotent),
/// `/stream/` (may be resumed) and `/single/` (a stream with a single attempt), all for the service `s`.
pub fn document(revision: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resume: bool| {
        json!({"name": name, "hostname": "h.example", "pathPrefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": 8000, "targetLatencyMs": 800, "priority": 1, "service": "s", "maxAttempts": attempts,
            "public": false, "sessionAffinity": false, "streamResume": resume, "gap_aim_ms": 500})
    };
    json!({
        "revision": revision,
        "routes": [route("plain", "idempotent", 2, false), route("once", "non_idempotent", 2, false),
                   route("stream", "streaming", 2, true), route("single", "streaming", 1, false)],
        "services": [{"name": "s", "healthCheckPath": "/healthz", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "free", "apiKeys": ["k-free"], "priority": 0},
            {"name": "tight", "apiKeys": ["k-tight"], "priority": 1, "unit": "tokens", "plainTokens": 100,
             "ratePerS": 100, "burst": 300}]
    })
}
