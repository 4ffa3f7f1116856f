//! The failure: power is lost at any point of any write, and what had been reported as on the disk is gone or changed.

use gaugesaddle_log::{Ring, Store, SEGMENTS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

const SEGMENT_BYTES: usize = 400;

/// A write since the last sync.
#[derive(Clone, Debug)]
struct Unsynced {
    segment: usize,
    offset: usize,
    bytes: Vec<u8>,
}

/// A disk with a write cache, shared with the test.
#[derive(Clone, Debug)]
struct Disk {
    synced: Vec<Vec<u8>>,
    unsynced: Vec<Unsynced>,
    /// Writes and syncs that still succeed.
    budget: usize,
}

impl Disk {
    fn new() -> Disk {
        Disk { synced: vec![vec![0; SEGMENT_BYTES]; SEGMENTS], unsynced: Vec::new(), budget: usize::MAX }
    }

    fn spend(&mut self) -> io::Result<()> {
        if self.budget == 0 {
            return Err(io::Error::other("the disk refuses"));
        }
        self.budget -= 1;
        Ok(())
    }

    fn apply(&mut self, write: &Unsynced, bytes: usize) {
        let target = &mut self.synced[write.segment][write.offset..write.offset + bytes];
        target.copy_from_slice(&write.bytes[..bytes]);
    }
}

#[derive(Clone)]
struct Cached(Rc<RefCell<Disk>>);

impl Store for Cached {
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES as u64
    }
    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut disk = self.0.borrow().clone();
        for write in disk.unsynced.clone() {
            disk.apply(&write, write.bytes.len());
        }
        let rest = &disk.synced[segment][(offset as usize).min(SEGMENT_BYTES)..];
        let n = rest.len().min(buffer.len());
        buffer[..n].copy_from_slice(&rest[..n]);
        Ok(n)
    }
    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.spend()?;
        disk.unsynced.push(Unsynced { segment, offset: offset as usize, bytes: bytes.to_vec() });
        Ok(())
    }
    fn sync(&mut self, segment: usize) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        disk.spend()?;
        let (due, rest): (Vec<Unsynced>, Vec<Unsynced>) =
            std::mem::take(&mut disk.unsynced).into_iter().partition(|w| w.segment == segment);
        disk.unsynced = rest;
        for write in due {
            disk.apply(&write, write.bytes.len());
        }
        Ok(())
    }
}

/// How a write that was not synced fares when power is lost: gone, there, or its first bytes only.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Missing,
    Present,
    Torn(usize),
}

fn lose_power(disk: &Rc<RefCell<Disk>>, fates: &[Fate]) {
    let mut disk = disk.borrow_mut();
    disk.budget = usize::MAX;
    for (index, write) in std::mem::take(&mut disk.unsynced).into_iter().enumerate() {
        match fates.get(index % fates.len().max(1)).copied().unwrap_or(Fate::Missing) {
            Fate::Missing => {}
            Fate::Present => disk.apply(&write, write.bytes.len()),
            Fate::Torn(at) => disk.apply(&write, at % (write.bytes.len() + 1)),
        }
    }
}

fn open(disk: &Rc<RefCell<Disk>>) -> Ring<Cached> {
    Ring::open(Cached(disk.clone())).expect("a disk that reads opens")
}

fn payload(number: u8, length: usize) -> Vec<u8> {
    vec![number; length]
}

#[test]
fn each_point_of_failure_of_each_of_forty_appends_keeps_what_was_reported() {
    let fates = [Fate::Missing, Fate::Present, Fate::Torn(1), Fate::Torn(13), Fate::Torn(28), Fate::Torn(40)];
    for failing in 0..40u8 {
        // Within one append: the write refused, the sync refused.
        for budget in 0..2 {
            for fate in fates {
                let disk = Rc::new(RefCell::new(Disk::new()));
                let mut ring = open(&disk);
                let mut reported = (None, None);
                for number in 0..=failing {
                    if number == failing {
                        disk.borrow_mut().budget = budget;
                    }
                    let records = vec![
                        (0, payload(number, 3 + usize::from(number) % 5)),
                        (1, payload(number, 20 + usize::from(number) % 70)),
                    ];
                    let kept = (Some(records[0].1.clone()), Some(records[1].1.clone()));
                    match ring.append(records) {
                        Ok(()) => reported = kept,
                        Err(_) => assert_eq!(number, failing),
                    }
                }
                lose_power(&disk, &[fate]);
                let ring = open(&disk);
                let [hard_state, state] = ring.slots();
                // What failed may be there or not; nothing older than what was reported, and nothing spoilt.
                for (found, least) in [(hard_state, &reported.0), (state, &reported.1)] {
                    let number = |p: &Option<Vec<u8>>| p.as_ref().map(|p| p[0]);
                    assert!(number(found) >= number(least), "append {failing}, {fate:?}: older");
                    assert!(number(found) <= Some(failing), "append {failing}, {fate:?}: from nowhere");
                    if number(found) == number(least) {
                        assert_eq!(found, least, "append {failing}, {fate:?}: changed");
                    }
                }
            }
        }
    }
}

#[test]
fn a_disk_that_refuses_is_opened_anew_and_goes_on() {
    let disk = Rc::new(RefCell::new(Disk::new()));
    let mut ring = open(&disk);
    ring.append(vec![(0, payload(1, 4))]).expect("it writes");
    disk.borrow_mut().budget = 0;
    assert!(ring.append(vec![(0, payload(2, 4))]).is_err());
    disk.borrow_mut().budget = usize::MAX;
    let mut ring = open(&disk);
    assert_eq!(ring.slots()[0], Some(payload(1, 4)));
    ring.append(vec![(1, payload(3, 9))]).expect("it writes again");
    let ring = open(&disk);
    assert_eq!(ring.slots(), &[Some(payload(1, 4)), Some(payload(3, 9))]);
}

#[test]
fn records_that_fit_no_segment_are_refused() {
    let disk = Rc::new(RefCell::new(Disk::new()));
    assert!(open(&disk).append(vec![(1, payload(1, SEGMENT_BYTES))]).is_err());
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![Just(Fate::Missing), Just(Fate::Present), any::<u16>().prop_map(|at| Fate::Torn(at.into()))]
}

/// Cases are the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    /// Any number of losses of power, each in the middle of something.
    #[test]
    fn any_history_of_power_losses_keeps_what_was_reported(
        lives in proptest::collection::vec(
            (proptest::collection::vec((0usize..2, 1usize..60), 1..30), 0usize..40,
             proptest::collection::vec(fate(), 1..4)), 1..12),
    ) {
        let disk = Rc::new(RefCell::new(Disk::new()));
        let mut reported: [u32; 2] = [0, 0];
        let mut written: [u32; 2] = [0, 0];
        let mut number: u32 = 0;
        for (appends, budget, fates) in lives {
            let mut ring = open(&disk);
            for (slot, found) in ring.slots().iter().enumerate() {
                let found = found.as_ref().map_or(0, |p| u32::from_le_bytes([p[0], p[1], p[2], p[3]]));
                prop_assert!(found >= reported[slot], "slot {} went back", slot);
                prop_assert!(found <= written[slot], "slot {} holds what was never written", slot);
                reported[slot] = found;
            }
            disk.borrow_mut().budget = budget;
            for (slot, length) in appends {
                number += 1;
                let mut record = number.to_le_bytes().to_vec();
                record.resize(4 + length, number as u8);
                written[slot] = number;
                if ring.append(vec![(slot, record)]).is_err() {
                    break;
                }
                reported[slot] = number;
            }
            lose_power(&disk, &fates);
        }
    }

    /// Whatever a disk holds, opening it does not panic.
    #[test]
    fn a_spoilt_disk_opens(bytes in proptest::collection::vec(any::<u8>(), 0..SEGMENT_BYTES), at in 0usize..SEGMENTS) {
        let disk = Rc::new(RefCell::new(Disk::new()));
        disk.borrow_mut().synced[at][..bytes.len()].copy_from_slice(&bytes);
        let _ = Ring::open(Cached(disk)).map(|ring| ring.slots().clone());
    }
}
