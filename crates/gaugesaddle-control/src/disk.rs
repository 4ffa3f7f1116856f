//! The disk thread: writes and syncs the records of the replica, and reopens the ring after an error.
//!
//! ```text
//!  (start) --> opening --Opened--> writing --Persisted--> writing
//!                 ^                   |
//!                 +---- Failed -------+   (also where opening fails; retried after REOPEN_INTERVAL)
//! ```

use gaugesaddle_consensus::{disk_format, WriteId};
use gaugesaddle_log::{FileStore, LogError, Ring};
use gaugesaddle_protocol::{HardState, State};
use spdlog::warn;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Interval between attempts to open a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(300);
/// Fraction of the disk that the ring's segments take together.
const RING_FRACTION: f64 = 0.6;
/// Bounds on the size of a segment.
const MIN_SEGMENT_BYTES: u64 = 1 << 20;
const MAX_SEGMENT_BYTES: u64 = 8 << 20;
/// Bytes of a megabyte, as in the boot file.
const BYTES_PER_MB: f64 = 1e6;
/// Maximum number of writes made durable by one sync.
const MAX_BATCH: usize = 32;

/// A write of the replica. Writes become durable in order, so that of several only the newest state is written.
#[derive(Debug)]
pub struct DiskWrite {
    pub write_id: WriteId,
    pub hard_state: HardState,
    pub state: Option<Box<State>>,
}

/// Event of the disk thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// The ring is open; its newest records.
    Opened {
        /// `None` where the disk is empty.
        hard_state: Option<HardState>,
        state: Option<Box<State>>,
    },
    /// A write and all before it are durable.
    Persisted(WriteId),
    /// Opening or writing failed; writes before the next `Opened` are lost.
    Failed(LogError),
}

/// Starts the thread. It ends when the sender of writes or the receiver of events is dropped.
///
/// # Errors
///
/// The operating system cannot start a thread.
pub fn start(
    directory: PathBuf, disk_mb: u64, events: UnboundedSender<DiskEvent>,
) -> std::io::Result<mpsc::Sender<DiskWrite>> {
    let (writes, queue) = mpsc::channel();
    let megabytes_per_segment = disk_mb as f64 * RING_FRACTION / gaugesaddle_log::SEGMENTS as f64;
    let segment_bytes = (megabytes_per_segment * BYTES_PER_MB) as u64;
    let segment_bytes = segment_bytes.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
    thread::Builder::new().name("disk".to_owned()).spawn(move || {
        run(directory, segment_bytes, queue, events);
    })?;
    Ok(writes)
}

fn run(
    directory: PathBuf, segment_bytes: u64, queue: mpsc::Receiver<DiskWrite>,
    events: UnboundedSender<DiskEvent>,
) {
    loop {
        let error = match open_ring(&directory, segment_bytes) {
            Ok(ring) => {
                // Writes queued before the ring was opened belong to a replica that no longer exists.
                while queue.try_recv().is_ok() {}
                if events.send(read_records(&ring)).is_err() {
                    return;
                }
                match write_until_error(ring, &queue, &events) {
                    Ok(()) => return,
                    Err(e) => e,
                }
            }
            Err(e) => e,
        };
        if events.send(DiskEvent::Failed(error)).is_err() {
            return;
        }
        thread::sleep(REOPEN_INTERVAL);
    }
}

fn open_ring(directory: &Path, segment_bytes: u64) -> Result<Ring<FileStore>, LogError> {
    Ring::open(FileStore::open(directory, segment_bytes)?)
}

fn read_records(ring: &Ring<FileStore>) -> DiskEvent {
    match disk_format::decode_slots(ring.slots()) {
        Ok((hard_state, state)) => DiskEvent::Opened { hard_state, state: state.map(Box::new) },
        Err(error) => {
            warn!("{error}: the disk counts as empty");
            DiskEvent::Opened { hard_state: None, state: None }
        }
    }
}

/// Writes until an error, or until the process no longer sends writes or receives events.
fn write_until_error(
    mut ring: Ring<FileStore>, queue: &mpsc::Receiver<DiskWrite>, events: &UnboundedSender<DiskEvent>,
) -> Result<(), LogError> {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(next) = queue.try_recv() else { break };
            batch.push(next);
        }
        let Some(last) = batch.last() else { continue };
        let write_id = last.write_id;
        let newest_state = batch.iter().rev().find_map(|write| write.state.as_deref());
        let records = disk_format::encode_records(&last.hard_state, newest_state);
        ring.append(records)?;
        if events.send(DiskEvent::Persisted(write_id)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}
