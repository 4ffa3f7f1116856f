//! The state of a running proxy on a Unix socket: the server in the proxy, and the client of `gaugesaddle state`.
//!
//! A client writes one line, `state`, and reads one JSON document ([`Snapshot`]) to the end of the connection. Any other
//! line is answered with `{"error": ...}`. The socket's mode is 0600: only its owner may connect.

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
/// A client that does not send its line, or does not read, is disconnected after this time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for want of descriptors for instance.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum size of a document: many times that of 10,000 backends.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// Why the state socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// No socket can be made at the path.
    #[error("state.socket: expected a path where a socket can be made, got {}: {source}", path.display())]
    Listen {
        /// The path.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// No proxy answers.
    #[error("{}: expected a proxy that answers here: {source}", path.display())]
    NoAnswer {
        /// The path.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The answer is no state.
    #[error("{}: expected the state of a proxy: {source}", path.display())]
    Invalid {
        /// The path.
        path: PathBuf,
        /// Where and what.
        source: serde_json::Error,
    },
}

/// A bound socket; its file is removed with it, unless another process has replaced it.
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

/// Binds the socket. One that a dead process has left is replaced; one that answers is not.
///
/// # Errors
/// The path is used, or the system refuses.
pub(crate) fn bind(path: &Path) -> Result<BoundState, StateError> {
    let failed = |source| StateError::Listen { path: path.into(), source };
    let occupied = |kind, text: &str| Err(failed(io::Error::new(kind, text)));
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return occupied(io::ErrorKind::AlreadyExists, "there is a file that is no socket");
        }
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return occupied(io::ErrorKind::AddrInUse, "another process answers there");
        }
    }
    Ok(BoundState::new(bind_over(path).map_err(failed)?, path))
}

/// Replaces the socket of the process that this one replaces.
///
/// # Errors
/// The system refuses.
pub(crate) fn replace(path: &Path) -> Result<BoundState, StateError> {
    let listener = bind_over(path).map_err(|source| StateError::Listen { path: path.into(), source })?;
    Ok(BoundState::new(listener, path))
}

/// Binds a socket that only its owner may open, replacing any socket that is there.
///
/// # Errors
/// The system refuses.
pub(crate) fn bind_over(path: &Path) -> io::Result<UnixListener> {
    // Created under another name and renamed once its mode is set: others can open it at no moment.
    let mut draft = path.as_os_str().to_owned();
    draft.push(format!(".{}", std::process::id()));
    let draft = PathBuf::from(draft);
    let _ = std::fs::remove_file(&draft);
    let listener = UnixListener::bind(&draft)?;
    let ready = std::fs::set_permissions(&draft, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&draft, path));
    if let Err(source) = ready {
        let _ = std::fs::remove_file(&draft);
        return Err(source);
    }
    Ok(listener)
}

/// Serves the state on the socket of the newest settings, until the program ends.
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
                tracing::warn!("state.socket: accept: {e}");
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
/// No proxy answers at the socket, or its answer is no state.
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
