//! The line between a proxy and the process that replaces it, on a Unix socket in `$TMPDIR` that both share.
//!
//! The process before listens there. Its successor calls, is told what it must know before it serves, and keeps the
//! connection: as long as it stands, the two share what one may use. The connection's end is the other's end. Once
//! the successor takes clients, it says so and listens at that path itself, for the one after it.

use crate::registry::Registry;
use crate::state;
use gaugesaddle_maintenance::{Line, Order, Word, VERSION};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// The other process must have told its state by then; without it the successor starts as if there were none.
const STATE_WITHIN: Duration = Duration::from_secs(1);
/// After a failed accept the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// What this process knows of the other one.
pub struct Succession {
    /// Where the process that is there listens; `None`: the deployment knows no upgrades.
    path: Option<PathBuf>,
    registry: Rc<Registry>,
    /// Names of the backends that are out.
    out: RefCell<Vec<String>>,
    /// To the other process while there is one.
    other: RefCell<Option<mpsc::UnboundedSender<Word>>>,
    /// The other process is the successor and takes clients.
    succeeded: Cell<bool>,
}

/// What the other process says that concerns the driver.
pub type Heard = mpsc::UnboundedSender<(String, Order)>;

impl Succession {
    pub fn new(path: Option<PathBuf>, registry: Rc<Registry>) -> Succession {
        let (out, other, succeeded) = (RefCell::default(), RefCell::default(), Cell::new(false));
        Succession { path, registry, out, other, succeeded }
    }

    /// The successor takes clients: this process need not listen any more.
    pub fn is_succeeded(&self) -> bool {
        self.succeeded.get()
    }

    /// An order of the operators that this process has taken: the other one must hold it too.
    pub fn tell(&self, word: Word) {
        self.note(&word);
        if let Some(other) = &*self.other.borrow() {
            let _ = other.send(word);
        }
    }

    fn note(&self, word: &Word) {
        let mut out = self.out.borrow_mut();
        match word {
            Word::Exclude(name) if !out.contains(name) => out.push(name.clone()),
            Word::Include(name) => out.retain(|n| n != name),
            _ => {}
        }
    }

    /// Calls the process before this one, if there is one: the names of what it holds out, and the line to it.
    pub async fn call(&self) -> Option<(Vec<String>, Other)> {
        let stream = UnixStream::connect(self.path.as_ref()?).await.ok()?;
        let mut other = Other { stream, line: Line::default() };
        let told = tokio::time::timeout(STATE_WITHIN, other.next()).await;
        let Ok(Some(Word::State { version, excluded })) = told else {
            tracing::warn!("the process before this one tells no state");
            return None;
        };
        tracing::info!(version, excluded = excluded.len(), "this process replaces another");
        *self.out.borrow_mut() = excluded.clone();
        Some((excluded, other))
    }

    /// Keeps the line to the process before this one until that ends. `listening` is told when this one takes
    /// clients.
    pub async fn keep(self: Rc<Self>, other: Other, listening: Rc<tokio::sync::Notify>, heard: Heard) {
        let (to, mut words) = mpsc::unbounded_channel();
        let say = to.clone();
        let tell = async {
            listening.notified().await;
            let _ = say.send(Word::Listening);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = self.share(other, to, &mut words, &heard) => {}
            () = tell => {}
        }
        tracing::info!("the process before this one has ended");
    }

    /// Waits for successors, one at a time, for ever.
    pub async fn wait(self: Rc<Self>, heard: Heard) {
        let Some(path) = &self.path else { return };
        let bound = match state::bind_over(path) {
            Ok(bound) => bound,
            Err(e) => return tracing::warn!("no upgrade without loss: {e}"),
        };
        loop {
            let Ok((stream, _)) = bound.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            tracing::info!("another process is to replace this one");
            let (to, mut words) = mpsc::unbounded_channel();
            let _ = to.send(Word::State { version: VERSION, excluded: self.out.borrow().clone() });
            self.share(Other { stream, line: Line::default() }, to, &mut words, &heard).await;
            self.succeeded.set(false);
            tracing::warn!("the process that was to replace this one has ended");
        }
    }

    /// Shares what the proxy may use with the other process for as long as that is there.
    async fn share(
        &self, other: Other, to: mpsc::UnboundedSender<Word>, words: &mut mpsc::UnboundedReceiver<Word>,
        heard: &Heard,
    ) {
        *self.other.borrow_mut() = Some(to);
        self.registry.share(true);
        self.converse(other, words, heard).await;
        self.registry.share(false);
        *self.other.borrow_mut() = None;
    }

    /// Until the other process is gone, or says what is none of its words.
    async fn converse(&self, other: Other, words: &mut mpsc::UnboundedReceiver<Word>, heard: &Heard) {
        let Other { stream, mut line } = other;
        let (mut from, mut to) = stream.into_split();
        let mut buffer = vec![0; 4 << 10];
        loop {
            while let Some(word) = line.take() {
                match word {
                    Ok(word) => self.hear(word, heard),
                    Err(e) => return tracing::warn!("the other process: {e}"),
                }
            }
            tokio::select! {
                read = from.read(&mut buffer) => match read {
                    Ok(n @ 1..) => line.push(&buffer[..n]),
                    Ok(0) | Err(_) => return,
                },
                Some(word) = words.recv() => if to.write_all(word.line().as_bytes()).await.is_err() {
                    return;
                },
            }
        }
    }

    fn hear(&self, word: Word, heard: &Heard) {
        self.note(&word);
        match word {
            Word::Listening => self.succeeded.set(true),
            Word::Exclude(name) => drop(heard.send((name, Order::Exclude))),
            Word::Include(name) => drop(heard.send((name, Order::Include))),
            Word::State { .. } => {}
        }
    }
}

/// The connection to the other process.
pub struct Other {
    stream: UnixStream,
    line: Line,
}

impl Other {
    async fn next(&mut self) -> Option<Word> {
        let mut buffer = vec![0; 4 << 10];
        loop {
            if let Some(word) = self.line.take() {
                return word.ok();
            }
            match self.stream.read(&mut buffer).await {
                Ok(n @ 1..) => self.line.push(&buffer[..n]),
                Ok(0) | Err(_) => return None,
            }
        }
    }
}
