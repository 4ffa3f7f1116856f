//! Scripted peers: backends whose every answer the test words, discovery that says what it is told, clients that
//! write bytes. For tests of single exchanges; a fleet that behaves like one is in `crate::world`.

use crate::lease::Lease;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, LazyLock, Mutex};
use std::time::{Duration, Instant};

/// Far longer than anything here takes; only a failure waits so long.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits for a condition.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < end, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message as it stood on the wire.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header; its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
    /// The status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a Content-Length or none; `None` where the connection ends before its end.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let mut lines = lines.into_iter();
    let start = lines.next()?;
    let split = |l: String| l.split_once(':').map(|(n, v)| (n.to_lowercase(), v.trim().to_string()));
    let headers: Vec<(String, String)> = lines.filter_map(split).collect();
    let mut message = Message { start, headers, ..Message::default() };
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a fake backend does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Say(String),
    /// Writes this and closes it.
    SayAndClose(String),
    /// Nothing; the connection stays open.
    Silence,
}

/// A 200 with that body.
pub fn ok(body: &str) -> Reply {
    Reply::Say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

#[derive(Default)]
struct Seen {
    requests: Mutex<Vec<Message>>,
    opened: Mutex<usize>,
    closed: Mutex<usize>,
}

/// A backend on a port of its own.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Seen>,
}

impl Backend {
    /// Starts one that answers each request by that function.
    pub fn start(answer: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, answer) = (Arc::new(Seen::default()), Arc::new(answer));
        let all = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (seen, answer) = (all.clone(), answer.clone());
                std::thread::spawn(move || Backend::converse(stream, &seen, &*answer));
            }
        });
        Backend { address, seen }
    }

    fn converse(mut stream: TcpStream, seen: &Seen, answer: &dyn Fn(&Message) -> Reply) {
        *seen.opened.lock().unwrap() += 1;
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = read_message(&mut reader) {
            seen.requests.lock().unwrap().push(message.clone());
            let (text, close) = match answer(&message) {
                Reply::Say(text) => (text, false),
                Reply::SayAndClose(text) => (text, true),
                Reply::Silence => continue,
            };
            let _ = stream.write_all(text.as_bytes());
            if close {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                break;
            }
        }
        *seen.closed.lock().unwrap() += 1;
    }

    /// What it has been sent whole.
    pub fn requests(&self) -> Vec<Message> {
        self.seen.requests.lock().unwrap().clone()
    }
    /// Connections that it has accepted.
    pub fn opened(&self) -> usize {
        *self.seen.opened.lock().unwrap()
    }
    /// Connections of these that have ended.
    pub fn closed(&self) -> usize {
        *self.seen.closed.lock().unwrap()
    }
}

/// An address whose connections come up only once [`Late::let_in`] is called: its queue is full.
pub struct Late {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl Late {
    /// Fills its queue.
    pub fn start() -> Late {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let brief = Duration::from_millis(300);
        let queued = std::iter::from_fn(|| TcpStream::connect_timeout(&address, brief).ok());
        let queued = queued.take(10_000).collect();
        Late { address, listener, queued }
    }

    /// Takes all connections; joined after [`Late::done`], it tells how many bytes came on them.
    pub fn let_in(self) -> std::thread::JoinHandle<usize> {
        drop(self.queued);
        std::thread::spawn(move || {
            let (mut bytes, mut buffer) = (0, [0; 4096]);
            for mut stream in self.listener.incoming().map_while(Result::ok) {
                match stream.read(&mut buffer) {
                    Ok(n) if buffer.starts_with(b"done") => return bytes + n - 4,
                    Ok(n) => bytes += n,
                    Err(_) => {}
                }
            }
            bytes
        })
    }

    /// No more comes.
    pub fn done(address: SocketAddr) {
        TcpStream::connect(address).unwrap().write_all(b"done").unwrap();
    }
}

/// A line of the list.
pub fn line(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}

#[derive(Default)]
struct News {
    index: u64,
    /// By name, with the version that brought it.
    lines: BTreeMap<String, (u64, Value)>,
    /// The version that was told as a whole list; 0: none was, and `lines` are changes of a list that it never told.
    whole: u64,
    /// The next answer, word for word.
    said: Option<String>,
    /// Lists come in many lines.
    indented: bool,
    /// The next list stops in its middle.
    half: bool,
    /// The last version given, and calls when it was.
    given: (u64, usize),
    /// How often it has fallen silent and come back: even, it speaks.
    turns: u64,
    /// In place of silence it closes what is open and what comes.
    resets: bool,
}

impl News {
    /// What a call is answered; `None`: nothing yet. `over`: it may wait no longer.
    fn answer(&mut self, after: Option<u64>, over: bool, calls: usize) -> Option<String> {
        if let Some(said) = self.said.take() {
            self.given = (self.index, calls);
            return Some(said);
        }
        let whole = after.is_none_or(|after| after < self.whole);
        match after {
            None if self.whole == 0 => return None,
            Some(after) if after >= self.index && !over => return None,
            Some(after) if after >= self.index => {}
            _ => self.given = (self.index, calls),
        }
        let is_gone = |line: &Value| line["status"] == "gone";
        let told = self.lines.values().filter(|(version, line)| {
            if whole {
                !is_gone(line)
            } else {
                after.is_some_and(|after| *version > after)
            }
        });
        let lines: Vec<&Value> = told.map(|l| &l.1).collect();
        let list = json!({"index": self.index, "snapshot": whole, "endpoints": lines});
        if self.indented {
            return serde_json::to_string_pretty(&list).ok();
        }
        Some(list.to_string())
    }

    fn take_up(&mut self, whole: bool, lines: &[Value]) {
        self.index += 1;
        if whole {
            (self.lines, self.whole) = (BTreeMap::new(), self.index);
        }
        for line in lines {
            let name = line["name"].as_str().unwrap_or_default().to_string();
            self.lines.insert(name, (self.index, line.clone()));
        }
    }
}

/// Discovery: answers a call once there is news, or after its wait. One that falls silent swallows the calls that are out
/// and those that come: they are not answered either when it is back.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    news: Arc<(Mutex<News>, Condvar)>,
    calls: Arc<Mutex<usize>>,
    closed: Arc<Mutex<usize>>,
}

impl Discovery {
    /// Starts one that has nothing to tell.
    pub fn start() -> Discovery {
        Discovery::listen(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts one at an address that refused until now, with the whole list to tell.
    pub fn start_at(address: SocketAddr, lines: &[Value]) -> Discovery {
        let discovery = Discovery::listen(TcpListener::bind(address).unwrap());
        discovery.news.0.lock().unwrap().take_up(true, lines);
        discovery
    }

    fn listen(listener: TcpListener) -> Discovery {
        let address = listener.local_addr().unwrap();
        let discovery =
            Discovery { address, news: Arc::default(), calls: Arc::default(), closed: Arc::default() };
        let all = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = all.clone();
                std::thread::spawn(move || discovery.converse(stream));
            }
        });
        discovery
    }

    fn converse(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = read_message(&mut reader) {
            *self.calls.lock().unwrap() += 1;
            let Some(answer) = self.news(&stream, &message.start) else { break };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
            let half = std::mem::take(&mut self.news.0.lock().unwrap().half);
            let shown = if half { &answer[..answer.len() / 2] } else { &answer[..] };
            let _ = stream.write_all((head + shown).as_bytes());
        }
    }

    /// Waits for news; `None` once the other side has closed the connection.
    fn news(&self, stream: &TcpStream, call: &str) -> Option<String> {
        let number = |key: &str| {
            let (_, rest) = call.split_once(key)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut news = self.news.0.lock().unwrap();
        let turns = news.turns;
        stream.set_nonblocking(true).unwrap();
        while !matches!(stream.peek(&mut [0]), Ok(0)) {
            if turns % 2 == 0 && turns == news.turns {
                if let Some(answer) = news.answer(after, Instant::now() >= end, self.calls()) {
                    stream.set_nonblocking(false).unwrap();
                    return Some(answer);
                }
            }
            if news.resets && news.turns % 2 == 1 {
                return None;
            }
            news = self.news.1.wait_timeout(news, Duration::from_millis(5)).unwrap().0;
        }
        *self.closed.lock().unwrap() += 1;
        None
    }

    /// Connections that the proxy has closed.
    pub fn closed(&self) -> usize {
        *self.closed.lock().unwrap()
    }

    /// Falls silent; returns once a call that came after that is swallowed.
    pub fn fall_silent(&self) {
        self.fail(false);
    }

    /// Closes what is open and what comes; returns once one that came after that is closed.
    pub fn reset(&self) {
        self.fail(true);
    }

    fn fail(&self, resets: bool) {
        let before = {
            let mut news = self.news.0.lock().unwrap();
            assert!(news.turns % 2 == 0, "it speaks no more");
            (news.turns, news.resets) = (news.turns + 1, resets);
            self.calls()
        };
        until("a call in vain", || self.calls() > before);
    }

    /// From closing what comes to swallowing it; returns once a call is swallowed.
    pub fn swallow(&self) {
        let before = {
            let mut news = self.news.0.lock().unwrap();
            assert!(news.turns % 2 == 1, "it speaks");
            news.resets = false;
            self.calls()
        };
        until("a call in vain", || self.calls() > before);
    }

    /// Counts from the start again, and has this list.
    pub fn began_anew(&self, lines: &[Value]) {
        let mut news = self.news.0.lock().unwrap();
        news.index = 0;
        news.take_up(true, lines);
        self.news.1.notify_all();
    }

    /// Has something to tell from this moment on, of which the next answer brings half and then nothing.
    pub fn tell_half(&self, whole: bool, lines: &[Value]) {
        let mut news = self.news.0.lock().unwrap();
        news.take_up(whole, lines);
        news.half = true;
        self.news.1.notify_all();
    }

    /// Speaks again and has something to tell from this moment on, whether or not it is asked.
    pub fn come_back(&self, whole: bool, lines: &[Value]) {
        let mut news = self.news.0.lock().unwrap();
        assert!(news.turns % 2 == 1, "it speaks");
        news.turns += 1;
        news.take_up(whole, lines);
        self.news.1.notify_all();
    }

    /// Tells the whole list or changes, and waits until the proxy has asked again: it holds them then.
    pub fn tell(&self, whole: bool, lines: &[Value]) {
        self.news.0.lock().unwrap().take_up(whole, lines);
        self.until_held();
    }

    /// The same, word for word, to whoever asks next.
    pub fn say(&self, answer: &str) {
        self.news.0.lock().unwrap().said = Some(answer.into());
        self.until_held();
    }

    /// Lists come in many lines from now on.
    pub fn indent(&self) {
        self.news.0.lock().unwrap().indented = true;
    }

    fn until_held(&self) {
        self.news.1.notify_all();
        until("the next call of discovery", || {
            let news = self.news.0.lock().unwrap();
            news.said.is_none() && news.given.0 >= news.index && self.calls() > news.given.1
        });
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        *self.calls.lock().unwrap()
    }
}

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

/// An address that nobody has or gets: each call gives another, on a network of this process's own. (One that the system
/// draws and that is let go may be drawn again by the next test before its proxy binds it, and two proxies then serve on
/// one address without a complaint, for they share it as an upgrade's two processes do.)
pub fn free_address() -> SocketAddr {
    static OWN: LazyLock<Lease> = LazyLock::new(|| Lease::take().expect("a network of its own"));
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    OWN.named(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A proxy's configuration in that deployment, listening on a free address.
pub fn config(discovery: SocketAddr, known: &[Value]) -> Value {
    json!({
        "name": "n1", "listen": free_address().to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": true, "endpoints": known}, "settings": settings(),
    })
}

/// A running proxy; it is killed with its test.
pub struct Proxy {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Proxy {
    /// Starts one and waits until it says that it is ready.
    pub fn start(config: &Value) -> Proxy {
        let proxy = Proxy::spawn(config);
        until("ready", || proxy.ready() == 200);
        proxy
    }

    /// Starts one.
    pub fn spawn(config: &Value) -> Proxy {
        Proxy::spawn_with(config, "unlimited", &[])
    }

    /// With the system's own limit on descriptors, which the configuration does not tell, and with arguments.
    pub fn spawn_with(config: &Value, descriptors: &str, arguments: &[&str]) -> Proxy {
        Proxy::spawn_as(config, descriptors, arguments, &[])
    }

    /// With variables of its own.
    pub fn spawn_in(config: &Value, variables: &[(&str, &OsStr)]) -> Proxy {
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
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while stderr.read_line(&mut line).is_ok_and(|n| n > 0) {
                kept.lock().unwrap().push_str(&std::mem::take(&mut line));
            }
        });
        Proxy { child, address, log }
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The status of its readiness, 0 if it does not answer.
    pub fn ready(&self) -> u16 {
        let Ok(mut client) = Client::try_open(self.address) else { return 0 };
        client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.answer().map_or(0, |a| a.status())
    }

    /// What it has written to standard error.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Sends a signal by its name, `-HUP` or `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of the configuration and has the proxy read it again.
    pub fn reload(&self, config: &str) {
        std::fs::write(Proxy::file(self.address), config).unwrap();
        self.signal("-HUP");
    }

    fn file(address: SocketAddr) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("gaugesaddle-{address}.json"))
    }

    /// Waits for its end.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the end of the process", || {
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

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects.
    pub fn open(to: SocketAddr) -> Client {
        Client::try_open(to).unwrap()
    }
    /// Connects, if someone listens.
    pub fn try_open(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(LONG))?;
        Ok(Client { stream: BufReader::new(stream) })
    }
    /// Writes; that nobody reads it shows in what comes back.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }
    /// Reads an answer; `None` where the connection ends before its end.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }
    /// Whether the proxy has closed the connection by now.
    pub fn has_ended(&mut self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match seen {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
    /// Whether the proxy has closed the connection; waits for it.
    pub fn ends(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// A request of one of the classes in [`settings`], with an id of its own.
pub fn request(class: &str, left_ms: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, more) = match class {
        "read" => ("GET", ""),
        "vote" => ("POST", "Idempotency-Key: k1\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {left_ms}\r\n{more}\r\n{body}"
    )
}

/// Sends a request on a connection of its own.
pub fn ask(proxy: &Proxy, text: &str) -> Message {
    let mut client = Client::open(proxy.address);
    client.send(text);
    client.answer().expect("a whole answer")
}

#[cfg(test)]
mod tests;
