//! The disk's own thread: it writes and syncs, and opens the ring anew after an error.

use gaugesaddle_consensus::{disk_format, WriteId};
use gaugesaddle_log::{FileStore, LogError, Ring};
use gaugesaddle_protocol::{HardState, State};
use spdlog::warn;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Between attempts to open a disk that refused.
const REOPEN: Duration = Duration::from_millis(300);
/// Part of the disk that the ring's segments take together.
const DISK_PART: f64 = 0.6;
/// A segment is at most so long.
const MAX_SEGMENT_BYTES: u64 = 8 << 20;
/// Writes joined into one sync, at most.
const MAX_JOINED: usize = 32;

/// A write.
#[derive(Debug)]
pub struct Write {
    pub write_id: WriteId,
    pub hard_state: HardState,
    pub state: Option<Box<State>>,
}

/// What the disk's thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// The ring is open and holds this.
    Opened {
        /// `None`: the disk is empty.
        hard_state: Option<HardState>,
        state: Option<Box<State>>,
    },
    /// A write and all before it are on the disk.
    Persisted(WriteId),
    /// The disk refused; writes before the next `Opened` are lost.
    Failed(String),
}

/// Starts the thread. It ends when the sender of writes is dropped.
pub fn start(
    folder: PathBuf, disk_mb: u64, events: UnboundedSender<DiskEvent>,
) -> std::io::Result<mpsc::Sender<Write>> {
    let (writes, queue) = mpsc::channel();
    let share = (disk_mb as f64 * DISK_PART / gaugesaddle_log::SEGMENTS as f64 * 1e6) as u64;
    let segment_bytes = share.clamp(1 << 20, MAX_SEGMENT_BYTES);
    thread::Builder::new().name("disk".to_owned()).spawn(move || {
        run(folder, segment_bytes, queue, events);
    })?;
    Ok(writes)
}

fn run(
    folder: PathBuf, segment_bytes: u64, queue: mpsc::Receiver<Write>, events: UnboundedSender<DiskEvent>,
) {
    loop {
        let failed = match open(&folder, segment_bytes) {
            Ok(ring) => {
                // What was asked for before the ring was opened belongs to a replica that is no more.
                while queue.try_recv().is_ok() {}
                if events.send(opened(&ring)).is_err() {
                    return;
                }
                match serve(ring, &queue, &events) {
                    Ok(()) => return,
                    Err(e) => e,
                }
            }
            Err(e) => e,
        };
        if events.send(DiskEvent::Failed(failed.to_string())).is_err() {
            return;
        }
        thread::sleep(REOPEN);
    }
}

fn open(folder: &std::path::Path, segment_bytes: u64) -> Result<Ring<FileStore>, LogError> {
    Ring::open(FileStore::open(folder, segment_bytes)?)
}

fn opened(ring: &Ring<FileStore>) -> DiskEvent {
    match disk_format::read(ring.slots()) {
        Ok((hard_state, state)) => DiskEvent::Opened { hard_state, state: state.map(Box::new) },
        Err(unreadable) => {
            warn!("{unreadable}: it counts as empty");
            DiskEvent::Opened { hard_state: None, state: None }
        }
    }
}

/// Writes until an error, or until nobody asks any more.
fn serve(
    mut ring: Ring<FileStore>, queue: &mpsc::Receiver<Write>, events: &UnboundedSender<DiskEvent>,
) -> Result<(), LogError> {
    while let Ok(first) = queue.recv() {
        let mut writes = vec![first];
        while writes.len() < MAX_JOINED {
            let Ok(next) = queue.try_recv() else { break };
            writes.push(next);
        }
        let Some(last) = writes.last() else { continue };
        let write_id = last.write_id;
        let newest = writes.iter().rev().find_map(|w| w.state.as_deref());
        let records = disk_format::records(&last.hard_state, newest);
        ring.append(records)?;
        if events.send(DiskEvent::Persisted(write_id)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}
