//! Simulated nodes and clients for measurements: nodes respond at once, and clients use raw sockets, to cost little
//! compared with the process under measurement. All nodes share one thread; each client has its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n0123456789abcdef0123456789abcdef";
/// Read timeout of a client; a request without a response by then counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Nodes that run on one thread.
pub struct Nodes {
    /// The listening addresses.
    pub addresses: Vec<SocketAddr>,
    /// Number of requests answered by all nodes.
    pub answered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Nodes {
    /// Starts `count` nodes.
    pub fn start(count: usize) -> io::Result<Nodes> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (answered, stop) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (counter, should_stop) = (answered.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                for listener in listeners {
                    let counter = counter.clone();
                    tokio::task::spawn_local(accept(listener, counter));
                }
                while !should_stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        Ok(Nodes { addresses, answered, stop, thread: Some(thread) })
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, answered: Arc<AtomicU64>) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let answered = answered.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = Vec::with_capacity(4096);
            while let Ok(1..) = stream.read_buf(&mut buffer).await {
                while let Some(length) = message_length(&buffer) {
                    buffer.drain(..length);
                    answered.fetch_add(1, Ordering::Relaxed);
                    if stream.write_all(RESPONSE).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// The length of the first message in the buffer, if it is complete.
fn message_length(buffer: &[u8]) -> Option<usize> {
    let head_length = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&buffer[..head_length]).ok()?;
    let length = text.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let end = head_length + length.unwrap_or(0);
    (buffer.len() >= end).then_some(end)
}

/// Results of the clients' requests.
#[derive(Default)]
pub struct LoadResults {
    /// Latencies of responses with status 200 in microseconds, sorted.
    pub latencies: Vec<u64>,
    /// Number of requests with another status or without a response.
    pub failed: u64,
    /// Duration of the run.
    pub seconds: f64,
}

impl LoadResults {
    /// A quantile of the latencies.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let at =
            ((self.latencies.len() as f64 * fraction) as usize).min(self.latencies.len().saturating_sub(1));
        self.latencies.get(at).copied().unwrap_or(0) as f64
    }

    /// Responses with status 200 per second.
    pub fn rate(&self) -> f64 {
        self.latencies.len() as f64 / self.seconds.max(1e-9)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn request(is_read: bool) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let common = format!("Host: x\r\nX-Correlation-Id: {id:016x}\r\nX-Time-Left-Ms: 1000\r\n");
    if is_read {
        format!("GET /read/{id:x} HTTP/1.1\r\n{common}X-Service-Class: read\r\n\r\n")
    } else {
        format!(
            "POST /vote/{id:x} HTTP/1.1\r\n{common}X-Service-Class: vote\r\nIdempotency-Key: {id:016x}\r\n\
         Content-Length: 8\r\n\r\none vote"
        )
    }
}

/// A client that sends requests sequentially on one connection.
struct Client {
    to: SocketAddr,
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    fn open(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { to, stream, buffer: Vec::with_capacity(4096) })
    }

    /// Sends a request and records its result, with the latency counted from `since`; opens a new connection after an
    /// error.
    fn send_and_record(&mut self, results: &mut LoadResults, text: &str, since: Instant) -> io::Result<()> {
        match self.send_request(text) {
            Ok(200) => results.latencies.push(since.elapsed().as_micros() as u64),
            Ok(_) => results.failed += 1,
            Err(_) => {
                results.failed += 1;
                *self = Client::open(self.to)?;
            }
        }
        Ok(())
    }

    /// Sends a request and returns the status of the response.
    fn send_request(&mut self, text: &str) -> io::Result<u16> {
        self.stream.write_all(text.as_bytes())?;
        self.buffer.clear();
        let mut chunk = [0; 4096];
        loop {
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..n]);
            if message_length(&self.buffer).is_some() {
                let status = self.buffer.get(9..12).and_then(|s| std::str::from_utf8(s).ok());
                return Ok(status.and_then(|s| s.parse().ok()).unwrap_or(0));
            }
        }
    }
}

/// Sends requests at a constant rate from several threads with staggered schedules. Latencies count from the scheduled
/// time of a request, so that delays by a busy thread are included (no coordinated omission).
pub fn run_at_rate(to: SocketAddr, per_s: f64, seconds: f64) -> io::Result<LoadResults> {
    let threads = 8;
    let start = Instant::now();
    let clients: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || -> io::Result<LoadResults> {
                let mut client = Client::open(to)?;
                let mut results = LoadResults::default();
                let interval_s = f64::from(threads) / per_s;
                for n in 0.. {
                    let due = interval_s * (f64::from(n) + f64::from(t) / f64::from(threads));
                    if due >= seconds {
                        return Ok(results);
                    }
                    let due = start + Duration::from_secs_f64(due);
                    if let Some(wait) = due.checked_duration_since(Instant::now()) {
                        std::thread::sleep(wait);
                    }
                    client.send_and_record(&mut results, &request(n % 2 == 0), due)?;
                }
                Ok(results)
            })
        })
        .collect();
    join_clients(clients, start)
}

/// Sends requests on `connections` connections, each as soon as the last one is answered (closed loop).
pub fn run_at_max_rate(to: SocketAddr, connections: usize, seconds: f64) -> io::Result<LoadResults> {
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(seconds);
    let clients: Vec<_> = (0..connections)
        .map(|_| {
            std::thread::spawn(move || -> io::Result<LoadResults> {
                let mut client = Client::open(to)?;
                let mut results = LoadResults::default();
                let mut n = 0;
                while Instant::now() < end {
                    let sent = Instant::now();
                    n += 1;
                    client.send_and_record(&mut results, &request(n % 2 == 0), sent)?;
                }
                Ok(results)
            })
        })
        .collect();
    join_clients(clients, start)
}

fn join_clients(
    clients: Vec<JoinHandle<io::Result<LoadResults>>>, start: Instant,
) -> io::Result<LoadResults> {
    let mut all = LoadResults::default();
    for thread in clients {
        let results =
            thread.join().map_err(|_| io::Error::other("a client thread of the measurement panicked"))??;
        all.latencies.extend(results.latencies);
        all.failed += results.failed;
    }
    all.latencies.sort_unstable();
    all.seconds = start.elapsed().as_secs_f64();
    Ok(all)
}

#[cfg(test)]
mod tests;
