//! The failure: a renamed or moved field makes a replica's disk unreadable for the next build, or a new disk for the
//! build before.
//!
//! `data/ring/` holds the segments that the build before any rename wrote for the same appends.

use gaugesaddle_consensus::disk_format;
use gaugesaddle_log::{FileStore, Ring, SEGMENTS};
use gaugesaddle_protocol::{AcceptedChange, Digest, HardState, LogPosition, ReplicaId, State};
use std::fs;
use std::path::{Path, PathBuf};

const SEGMENT_BYTES: u64 = 512;

fn replica(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0x0102_0304_0506_0708 }
}

fn hard_state(term: u64) -> HardState {
    HardState { id: replica(1), term, voted_for: Some(replica(2)) }
}

fn state(index: u64) -> State {
    State {
        position: LogPosition { term: 3, index },
        revision: 10 + index,
        document: format!("{{\"revision\":{}}}", 10 + index).into_bytes(),
        accepted: vec![AcceptedChange { revision: 10 + index, digest: Digest([index as u8; 16]) }],
        pruned_revision: 9,
        voters: vec![replica(1), replica(2), replica(3)],
        outgoing: vec![replica(4)],
    }
}

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/ring")
}

/// An empty directory for one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the directory is created");
    folder
}

#[test]
fn appends_write_the_recorded_segments() {
    let folder = folder("golden-written");
    let store = FileStore::open(&folder, SEGMENT_BYTES).expect("the store opens");
    let mut ring = Ring::open(store).expect("the ring opens");
    for index in 1..=5 {
        ring.append(disk_format::encode_records(&hard_state(index), Some(&state(index))))
            .expect("the record is appended");
    }
    ring.append(disk_format::encode_records(&hard_state(6), None)).expect("the record is appended");
    for number in 0..SEGMENTS {
        let name = format!("segment-{number}");
        let written = fs::read(folder.join(&name)).expect("a segment");
        let expected = fs::read(recorded().join(&name)).expect("a recorded segment");
        assert!(written == expected, "{name} in {}", folder.display());
    }
}

#[test]
fn recorded_segments_are_decoded() {
    let folder = folder("golden-read");
    for number in 0..SEGMENTS {
        let name = format!("segment-{number}");
        fs::copy(recorded().join(&name), folder.join(&name)).expect("the segment is copied");
    }
    let store = FileStore::open(&folder, SEGMENT_BYTES).expect("the store opens");
    let ring = Ring::open(store).expect("the ring opens");
    let decoded = disk_format::decode_slots(ring.slots()).expect("both records are decoded");
    assert_eq!(decoded, (Some(hard_state(6)), Some(state(5))));
}
