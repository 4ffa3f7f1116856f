//! Hot restart: the connection between a proxy and the process that replaces it, over a Unix socket in the common `$TMPDIR`.
//!
//! ```text
//!  predecessor                            successor
//!   listens at the path   <-- connects --
//!                         -- State ---->   adopts the exclusions, starts
//!                         <-- Listening -  accepts clients; listens at the path for its own successor
//!                         <- Exclude, Include ->   both directions, while both processes run
//! ```
//!
//! While the connection is open, the two processes share the limits of one. A closed connection means that the other process
//! has ended.

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

/// Timeout for the predecessor's state; after it the successor starts as if there were no predecessor.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Size of the read buffer.
const READ_BYTES: usize = 4 << 10;

/// Commands that operators gave to the other process, with the name of the backend.
pub type RemoteCommands = mpsc::UnboundedSender<(String, MaintenanceCommand)>;

type MessageSender = mpsc::UnboundedSender<HandoverMessage>;
type MessageReceiver = mpsc::UnboundedReceiver<HandoverMessage>;

/// This process's side of a hot restart.
pub struct HotRestart {
    /// Path of the socket at which the predecessor listens; `None` if the deployment has no hot restarts.
    path: Option<PathBuf>,
    registry: Rc<Registry>,
    /// Names of the excluded backends.
    excluded: RefCell<Vec<String>>,
    /// Sends messages to the other process while it is connected.
    other: RefCell<Option<MessageSender>>,
    /// Whether the other process is the successor and accepts clients.
    has_successor: Cell<bool>,
}

impl HotRestart {
    /// `path`: path of the socket that connects the processes.
    pub fn new(path: Option<PathBuf>, registry: Rc<Registry>) -> HotRestart {
        HotRestart {
            path,
            registry,
            excluded: RefCell::default(),
            other: RefCell::default(),
            has_successor: Cell::new(false),
        }
    }

    /// Whether the successor accepts clients, so that this process need not listen any more.
    pub fn has_successor(&self) -> bool {
        self.has_successor.get()
    }

    /// Forwards a command that this process has applied, so that the other one applies it as well.
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

    /// Connects to the predecessor, if there is one; returns the names of its excluded backends and the connection.
    pub async fn connect(&self) -> Option<(Vec<String>, Connection)> {
        let stream = UnixStream::connect(self.path.as_ref()?).await.ok()?;
        let mut connection = Connection { stream, reader: MessageReader::default() };
        let first = tokio::time::timeout(STATE_TIMEOUT, connection.next()).await;
        let Ok(Some(HandoverMessage::State { version, excluded })) = first else {
            tracing::warn!("hot restart: the predecessor sent no state, starting without it");
            return None;
        };
        tracing::info!(
            version,
            excluded = excluded.len(),
            "hot restart: this process replaces its predecessor"
        );
        *self.excluded.borrow_mut() = excluded.clone();
        Some((excluded, connection))
    }

    /// Serves the connection to the predecessor until that process ends. `listening` is notified when this process accepts
    /// clients.
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
        tracing::info!("hot restart: the predecessor has ended");
    }

    /// Accepts connections of successors, one at a time, until the process ends.
    pub async fn await_successors(self: Rc<Self>, commands: RemoteCommands) {
        let Some(path) = &self.path else { return };
        let listener = match state_socket::bind_over(path) {
            Ok(listener) => listener,
            Err(e) => return tracing::warn!("hot restart: disabled, the socket cannot be bound: {e}"),
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
            tracing::warn!("hot restart: the successor has ended, this process continues to serve");
        }
    }

    /// Shares the limits of the proxy with the other process until that process ends.
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

    /// Exchanges messages until the connection closes or an invalid message is received.
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
                    Err(e) => return tracing::warn!("hot restart: bad message from the other process: {e}"),
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
