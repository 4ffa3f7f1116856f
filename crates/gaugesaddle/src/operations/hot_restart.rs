//! Hot restart: the connection between a proxy and the process that replaces it, on a Unix socket in `$TMPDIR` that both share.
//!
//! ```text
//!  process before                         successor
//!   listens at the path   <-- connects --
//!                         -- State ---->   takes the exclusions over, starts
//!                         <-- Listening -  accepts clients; listens at the path for its own successor
//!                         <- Exclude, Include ->   both directions, while both live
//! ```
//!
//! As long as the connection stands, the two processes share what one may use. Its end is the other process's end.

use crate::operations::registry::Registry;
use crate::operations::state_socket;
use gaugesaddle_maintenance::{HandoverMessage, MaintenanceCommand, MessageReader, HANDOVER_VERSION};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// The process before must have sent its state within this time; else the successor starts as if there were none.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Bytes that are read at once.
const READ_BYTES: usize = 4 << 10;

/// Commands that the operators gave to the other process, by name of the backend.
pub type RemoteCommands = mpsc::UnboundedSender<(String, MaintenanceCommand)>;

type MessageSender = mpsc::UnboundedSender<HandoverMessage>;
type MessageReceiver = mpsc::UnboundedReceiver<HandoverMessage>;

/// What this process knows of the other one.
pub struct HotRestart {
    /// Where the process before listens; `None`: the deployment has no hot restarts.
    path: Option<PathBuf>,
    registry: Rc<Registry>,
    /// Names of the excluded backends.
    excluded: RefCell<Vec<String>>,
    /// To the other process while there is one.
    other: RefCell<Option<MessageSender>>,
    /// The other process is the successor and accepts clients.
    has_successor: Cell<bool>,
}

impl HotRestart {
    /// `path`: where both processes meet.
    pub fn new(path: Option<PathBuf>, registry: Rc<Registry>) -> HotRestart {
        HotRestart {
            path,
            registry,
            excluded: RefCell::default(),
            other: RefCell::default(),
            has_successor: Cell::new(false),
        }
    }

    /// Whether the successor accepts clients: this process need not listen any more.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Forwards a command that this process has applied: the other one must hold it too.
    pub fn forward(&self, message: HandoverMessage) {
        self.record_exclusion(&message);
        if let Some(other) = &*self.other.borrow() {
            let _ = other.send(message);
        }
    }

    fn record_exclusion(&self, message: &HandoverMessage) {
        let mut excluded = self.excluded.borrow_mut();
        match message {
            HandoverMessage::Exclude(name) if !excluded.contains(name) => excluded.push(name.clone()),
            HandoverMessage::Include(name) => excluded.retain(|n| n != name),
            _ => {}
        }
    }

    /// Connects to the process before this one, if there is one; returns the names of its excluded backends and the
    /// connection.
    pub async fn connect(&self) -> Option<(Vec<String>, Connection)> {
        let stream = UnixStream::connect(self.path.as_ref()?).await.ok()?;
        let mut connection = Connection { stream, reader: MessageReader::default() };
        let first = tokio::time::timeout(STATE_TIMEOUT, connection.next()).await;
        let Ok(Some(HandoverMessage::State { version, excluded })) = first else {
            tracing::warn!("hot restart: the process before this one sent no state");
            return None;
        };
        tracing::info!(version, excluded = excluded.len(), "hot restart: this process replaces another");
        *self.excluded.borrow_mut() = excluded.clone();
        Some((excluded, connection))
    }

    /// Serves the connection to the process before this one until that ends. `listening` is notified when this process
    /// accepts clients.
    pub async fn follow_predecessor(
        self: Rc<Self>, connection: Connection, listening: Rc<tokio::sync::Notify>, commands: RemoteCommands,
    ) {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let announcer = sender.clone();
        let announce = async {
            listening.notified().await;
            let _ = announcer.send(HandoverMessage::Listening);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = self.share(connection, sender, &mut receiver, &commands) => {}
            () = announce => {}
        }
        tracing::info!("hot restart: the process before this one has ended");
    }

    /// Waits for successors, one at a time, for as long as the process lives.
    pub async fn await_successors(self: Rc<Self>, commands: RemoteCommands) {
        let Some(path) = &self.path else { return };
        let listener = match state_socket::bind_over(path) {
            Ok(listener) => listener,
            Err(e) => return tracing::warn!("hot restart is not possible: {e}"),
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            tracing::info!("hot restart: another process is to replace this one");
            let (sender, mut receiver) = mpsc::unbounded_channel();
            let excluded = self.excluded.borrow().clone();
            let _ = sender.send(HandoverMessage::State { version: HANDOVER_VERSION, excluded });
            let connection = Connection { stream, reader: MessageReader::default() };
            self.share(connection, sender, &mut receiver, &commands).await;
            self.has_successor.set(false);
            tracing::warn!("hot restart: the process that was to replace this one has ended");
        }
    }

    /// Shares what the proxy may use with the other process for as long as that is there.
    async fn share(
        &self, connection: Connection, sender: MessageSender, outgoing: &mut MessageReceiver,
        commands: &RemoteCommands,
    ) {
        *self.other.borrow_mut() = Some(sender);
        self.registry.set_shared(true);
        self.exchange(connection, outgoing, commands).await;
        self.registry.set_shared(false);
        *self.other.borrow_mut() = None;
    }

    /// Exchanges messages until the other process is gone, or sends what is no message.
    async fn exchange(
        &self, connection: Connection, outgoing: &mut MessageReceiver, commands: &RemoteCommands,
    ) {
        let Connection { stream, mut reader } = connection;
        let (mut receiving, mut sending) = stream.into_split();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            while let Some(message) = reader.next_message() {
                match message {
                    Ok(message) => self.receive(message, commands),
                    Err(e) => return tracing::warn!("hot restart: from the other process: {e}"),
                }
            }
            tokio::select! {
                read = receiving.read(&mut buffer) => match read {
                    Ok(n @ 1..) => reader.push(&buffer[..n]),
                    Ok(0) | Err(_) => return,
                },
                Some(message) = outgoing.recv() => {
                    if sending.write_all(message.to_line().as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn receive(&self, message: HandoverMessage, commands: &RemoteCommands) {
        self.record_exclusion(&message);
        match message {
            HandoverMessage::Listening => self.has_successor.set(true),
            HandoverMessage::Exclude(name) => drop(commands.send((name, MaintenanceCommand::Exclude))),
            HandoverMessage::Include(name) => drop(commands.send((name, MaintenanceCommand::Include))),
            HandoverMessage::State { .. } => {}
        }
    }
}

/// The connection to the other process.
pub struct Connection {
    stream: UnixStream,
    reader: MessageReader,
}

impl Connection {
    async fn next(&mut self) -> Option<HandoverMessage> {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            if let Some(message) = self.reader.next_message() {
                return message.ok();
            }
            match self.stream.read(&mut buffer).await {
                Ok(n @ 1..) => self.reader.push(&buffer[..n]),
                Ok(0) | Err(_) => return None,
            }
        }
    }
}
