//! Plain stand-ins for measurements: nodes that answer at once, and clients on raw sockets that cost little beside what
//! is measured. Each has a thread of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n0123456789abcdef0123456789abcdef";
/// A client that waits longer for an answer gives the measurement up.
const PATIENCE: Duration = Duration::from_secs(5);

/// Nodes on one thread.
pub struct Nodes {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    /// Requests that they have answered.
    pub answered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Nodes {
    /// Starts so many.
    pub fn start(count: usize) -> io::Result<Nodes> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (answered, stop) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let (counter, ended) = (answered.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                for listener in listeners {
                    let counter = counter.clone();
                    tokio::task::spawn_local(accept(listener, counter));
                }
                while !ended.load(Ordering::Relaxed) {
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
                    if stream.write_all(ANSWER).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// The length of the first message, once it is there whole.
fn message_length(buffer: &[u8]) -> Option<usize> {
    let head = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&buffer[..head]).ok()?;
    let length = text.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let end = head + length.unwrap_or(0);
    (buffer.len() >= end).then_some(end)
}

/// What clients saw.
#[derive(Default)]
pub struct Seen {
    /// Latencies of the answers with status 200, microseconds, sorted.
    pub latencies: Vec<u64>,
    /// Other answers, and none.
    pub other: u64,
    /// The time that it took.
    pub seconds: f64,
}

impl Seen {
    /// A quantile of the latencies.
    pub fn quantile(&self, part: f64) -> f64 {
        let at = ((self.latencies.len() as f64 * part) as usize).min(self.latencies.len().saturating_sub(1));
        self.latencies.get(at).copied().unwrap_or(0) as f64
    }

    /// Answers a second.
    pub fn rate(&self) -> f64 {
        self.latencies.len() as f64 / self.seconds.max(1e-9)
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

fn request(read: bool) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let common = format!("Host: x\r\nX-Correlation-Id: {id:016x}\r\nX-Time-Left-Ms: 1000\r\n");
    if read {
        format!("GET /read/{id:x} HTTP/1.1\r\n{common}X-Service-Class: read\r\n\r\n")
    } else {
        format!(
            "POST /vote/{id:x} HTTP/1.1\r\n{common}X-Service-Class: vote\r\nIdempotency-Key: {id:016x}\r\n\
         Content-Length: 8\r\n\r\none vote"
        )
    }
}

/// One connection that asks again and again.
struct Asker {
    to: SocketAddr,
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Asker {
    fn open(to: SocketAddr) -> io::Result<Asker> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Asker { to, stream, buffer: Vec::with_capacity(4096) })
    }

    /// Asks and writes down what came of it, its latency counted from `since`; after an error on a new connection.
    fn ask_into(&mut self, seen: &mut Seen, text: &str, since: Instant) -> io::Result<()> {
        match self.ask(text) {
            Ok(200) => seen.latencies.push(since.elapsed().as_micros() as u64),
            Ok(_) => seen.other += 1,
            Err(_) => {
                seen.other += 1;
                *self = Asker::open(self.to)?;
            }
        }
        Ok(())
    }

    /// The status of the answer.
    fn ask(&mut self, text: &str) -> io::Result<u16> {
        self.stream.write_all(text.as_bytes())?;
        self.buffer.clear();
        let mut piece = [0; 4096];
        loop {
            let n = self.stream.read(&mut piece)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&piece[..n]);
            if message_length(&self.buffer).is_some() {
                let status = self.buffer.get(9..12).and_then(|s| std::str::from_utf8(s).ok());
                return Ok(status.and_then(|s| s.parse().ok()).unwrap_or(0));
            }
        }
    }
}

/// Asks at a steady rate from several threads, each due at its own times, for so long. Latencies count from when a
/// request was due: one that had to wait for its thread is not let off.
pub fn steady(to: SocketAddr, per_s: f64, seconds: f64) -> io::Result<Seen> {
    let threads = 8;
    let start = Instant::now();
    let asking: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || -> io::Result<Seen> {
                let mut asker = Asker::open(to)?;
                let mut seen = Seen::default();
                let gap = f64::from(threads) / per_s;
                for n in 0.. {
                    let due = gap * (f64::from(n) + f64::from(t) / f64::from(threads));
                    if due >= seconds {
                        return Ok(seen);
                    }
                    let due = start + Duration::from_secs_f64(due);
                    if let Some(wait) = due.checked_duration_since(Instant::now()) {
                        std::thread::sleep(wait);
                    }
                    asker.ask_into(&mut seen, &request(n % 2 == 0), due)?;
                }
                Ok(seen)
            })
        })
        .collect();
    gather(asking, start)
}

/// Asks as fast as answers come, on so many connections, for so long.
pub fn flat_out(to: SocketAddr, connections: usize, seconds: f64) -> io::Result<Seen> {
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(seconds);
    let asking: Vec<_> = (0..connections)
        .map(|_| {
            std::thread::spawn(move || -> io::Result<Seen> {
                let mut asker = Asker::open(to)?;
                let mut seen = Seen::default();
                let mut n = 0;
                while Instant::now() < end {
                    let sent = Instant::now();
                    n += 1;
                    asker.ask_into(&mut seen, &request(n % 2 == 0), sent)?;
                }
                Ok(seen)
            })
        })
        .collect();
    gather(asking, start)
}

fn gather(asking: Vec<JoinHandle<io::Result<Seen>>>, start: Instant) -> io::Result<Seen> {
    let mut all = Seen::default();
    for thread in asking {
        let seen = thread.join().map_err(|_| io::Error::other("a client panicked"))??;
        all.latencies.extend(seen.latencies);
        all.other += seen.other;
    }
    all.latencies.sort_unstable();
    all.seconds = start.elapsed().as_secs_f64();
    Ok(all)
}

#[cfg(test)]
mod tests;
