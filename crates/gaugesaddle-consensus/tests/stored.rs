//! The failure: a replica goes on with its name and not its state, or with what another version of the program has written.

use gaugesaddle_consensus::stored::{read, records, Unreadable};
use gaugesaddle_protocol::{Ballot, ReplicaId, Stamp, State};

fn ballot() -> Ballot {
    let me = ReplicaId { ip: 7, incarnation: 9 };
    Ballot { me, term: 4, voted_for: Some(me) }
}

fn slots(ballot: &Ballot, state: Option<&State>) -> [Option<Vec<u8>>; 2] {
    let mut slots = [None, None];
    for (slot, bytes) in records(ballot, state) {
        slots[slot] = Some(bytes);
    }
    slots
}

#[test]
fn what_was_written_is_read() {
    let state = State { stamp: Stamp { term: 4, index: 2 }, document: vec![1, 2], ..State::default() };
    assert_eq!(read(&slots(&ballot(), Some(&state))), Ok((Some(ballot()), Some(state))));
    assert_eq!(read(&slots(&ballot(), None)), Ok((Some(ballot()), None)));
    assert_eq!(read(&[None, None]), Ok((None, None)));
}

#[test]
fn one_part_that_cannot_be_read_makes_the_disk_useless() {
    let good = slots(&ballot(), Some(&State::default()));
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
