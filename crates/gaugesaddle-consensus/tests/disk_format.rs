//! The failure: a replica goes on with its name and not its state, or with what another version of the program has written.

use gaugesaddle_consensus::disk_format::{read, records, Unreadable};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, State};

fn hard_state() -> HardState {
    let me = ReplicaId { ip: 7, incarnation: 9 };
    HardState { id: me, term: 4, voted_for: Some(me) }
}

fn slots(hard_state: &HardState, state: Option<&State>) -> [Option<Vec<u8>>; 2] {
    let mut slots = [None, None];
    for (slot, bytes) in records(hard_state, state) {
        slots[slot] = Some(bytes);
    }
    slots
}

#[test]
fn what_was_written_is_read() {
    let state =
        State { position: LogPosition { term: 4, index: 2 }, document: vec![1, 2], ..State::default() };
    assert_eq!(read(&slots(&hard_state(), Some(&state))), Ok((Some(hard_state()), Some(state))));
    assert_eq!(read(&slots(&hard_state(), None)), Ok((Some(hard_state()), None)));
    assert_eq!(read(&[None, None]), Ok((None, None)));
}

#[test]
fn one_part_that_cannot_be_read_makes_the_disk_useless() {
    let good = slots(&hard_state(), Some(&State::default()));
    for slot in 0..2 {
        let mut cut = good.clone();
        cut[slot] = cut[slot].take().map(|bytes| bytes[..bytes.len() / 2].to_vec());
        assert_eq!(read(&cut), Err(Unreadable), "slot {slot} cut short");
        let mut other = good.clone();
        if let Some(bytes) = &mut other[slot] {
            bytes[0] += 1;
        }
        assert_eq!(read(&other), Err(Unreadable), "slot {slot} of another version");
    }
}
