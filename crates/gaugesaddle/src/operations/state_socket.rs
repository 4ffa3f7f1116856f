//! The state of a running proxy on a Unix socket: the server in the proxy, and the client of `gaugesaddle state`.
//!
//! A client writes one line, `state`, and reads one JSON document ([`Snapshot`]) to the end of the connection. The response
//! to any other line is `{"error": ...}`. The socket's mode is 0600: only its owner may connect.

use crate::clock::Clock;
use crate::configuration::operator::State;
use crate::operations::registry::{Registry, Snapshot};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{watch, Semaphore};

/// Maximum length of a client's line.
const MAX_LINE_BYTES: usize = 64;
/// Time after which a client that does not send its line or does not read is disconnected.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a document: a multiple of the size with 10,000 backends.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// An error of the state socket.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// No socket can be created at the path.
    #[error("state.socket: expected a path where a socket can be created, got {}: {source}", path.display())]
    Listen {
        /// The path.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No proxy responds at the path.
    #[error("{}: expected the state socket of a running proxy: {source}", path.display())]
    NoAnswer {
        /// The path.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The response is not a valid state document.
    #[error("{}: expected the state of a proxy as JSON: {source}", path.display())]
    Invalid {
        /// The path.
        path: PathBuf,
        /// The error of the JSON parser, with its position.
        source: serde_json::Error,
    },
}

/// A bound socket. Its file is removed on drop, unless another process has replaced it.
pub(crate) struct BoundState {
    listener: UnixListener,
    path: PathBuf,
    inode: Option<u64>,
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::symlink_metadata(path).ok().map(|m| m.ino())
}

impl BoundState {
    fn new(listener: UnixListener, path: &Path) -> BoundState {
        BoundState { listener, path: path.into(), inode: inode(path) }
    }
}

impl Drop for BoundState {
    fn drop(&mut self) {
        if inode(&self.path) == self.inode {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Binds the socket. A socket left by a terminated process is replaced; one that accepts connections is not.
///
/// # Errors
/// Returns an error if the path is in use, or if the system rejects the operation.
pub(crate) fn bind(path: &Path) -> Result<BoundState, StateError> {
    let failed = |source| StateError::Listen { path: path.into(), source };
    let occupied = |kind, text: &str| Err(failed(io::Error::new(kind, text)));
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return occupied(io::ErrorKind::AlreadyExists, "a file that is not a socket exists there");
        }
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return occupied(io::ErrorKind::AddrInUse, "another process answers there");
        }
    }
    Ok(BoundState::new(bind_over(path).map_err(failed)?, path))
}

/// Binds the socket in place of that of the predecessor in a hot restart.
///
/// # Errors
/// Returns the system's error.
pub(crate) fn replace(path: &Path) -> Result<BoundState, StateError> {
    let listener = bind_over(path).map_err(|source| StateError::Listen { path: path.into(), source })?;
    Ok(BoundState::new(listener, path))
}

/// Binds a socket that only its owner may open, replacing any existing one.
///
/// # Errors
/// Returns the system's error.
pub(crate) fn bind_over(path: &Path) -> io::Result<UnixListener> {
    // Created under a temporary name and renamed once its mode is set, so that other users can never open it.
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    let renamed = std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&temporary, path));
    if let Err(source) = renamed {
        let _ = std::fs::remove_file(&temporary);
        return Err(source);
    }
    Ok(listener)
}

/// Serves the state on the socket that the latest settings name, until the program ends.
pub(crate) async fn serve(
    registry: Rc<Registry>, clock: Clock, mut settings: watch::Receiver<State>, mut bound: Option<BoundState>,
) {
    loop {
        let State { socket, connections } = settings.borrow_and_update().clone();
        let current = bound.take().filter(|b| Some(&b.path) == socket.as_ref());
        bound = match (current, socket) {
            (Some(current), _) => Some(current),
            (None, None) => None,
            (None, Some(path)) => bind(&path).inspect_err(|e| tracing::warn!("{e}")).ok(),
        };
        let slots = Arc::new(Semaphore::new(connections));
        tokio::select! {
            () = accept(&registry, clock, bound.as_ref(), slots) => {}
            changed = settings.changed() => if changed.is_err() {
                return; // the program ends
            },
        }
    }
}

async fn accept(registry: &Rc<Registry>, clock: Clock, bound: Option<&BoundState>, slots: Arc<Semaphore>) {
    let Some(bound) = bound else { return std::future::pending().await };
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        match bound.listener.accept().await {
            Ok((stream, _)) => {
                let registry = registry.clone();
                tokio::task::spawn_local(async move {
                    let _ = tokio::time::timeout(CLIENT_TIMEOUT, answer(stream, &registry, clock)).await;
                    drop(slot);
                });
            }
            Err(e) => {
                tracing::warn!("state.socket: accepting a connection failed, retrying: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn answer(mut stream: UnixStream, registry: &Registry, clock: Clock) -> io::Result<()> {
    let mut line = Vec::new();
    let mut buffer = [0; MAX_LINE_BYTES];
    while !line.contains(&b'\n') && line.len() < MAX_LINE_BYTES {
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            n => line.extend_from_slice(&buffer[..n]),
        }
    }
    let document = if line.split(|b| *b == b'\n').next() == Some(b"state") {
        serde_json::to_vec(&registry.snapshot(clock.now()))?
    } else {
        b"{\"error\":\"expected one line: state\"}".to_vec()
    };
    stream.write_all(&document).await?;
    stream.shutdown().await
}

/// Requests the state of a running proxy.
///
/// # Errors
/// Returns an error if no proxy responds at the socket, or if its response is not a valid state document.
pub fn request(socket: &Path) -> Result<Snapshot, StateError> {
    let document = exchange(socket).map_err(|source| StateError::NoAnswer { path: socket.into(), source })?;
    serde_json::from_slice(&document).map_err(|source| StateError::Invalid { path: socket.into(), source })
}

fn exchange(socket: &Path) -> io::Result<Vec<u8>> {
    let mut stream = std::os::unix::net::UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    stream.write_all(b"state\n")?;
    let mut document = Vec::new();
    stream.take(MAX_DOCUMENT_BYTES).read_to_end(&mut document)?;
    Ok(document)
}
