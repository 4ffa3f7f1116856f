//! The failure: a replica continues with its identity and without its state, or with records of another format version.

use gaugesaddle_consensus::disk_format::{decode_slots, encode_records, DiskFormatError, Record};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, State};

fn hard_state() -> HardState {
    let id = ReplicaId { ip: 7, incarnation: 9 };
    HardState { id, term: 4, voted_for: Some(id) }
}

fn slots(hard_state: &HardState, state: Option<&State>) -> [Option<Vec<u8>>; 2] {
    let mut slots = [None, None];
    for (slot, bytes) in encode_records(hard_state, state) {
        slots[slot] = Some(bytes);
    }
    slots
}

#[test]
fn encoded_records_are_decoded() {
    let state =
        State { position: LogPosition { term: 4, index: 2 }, document: vec![1, 2], ..State::default() };
    let decoded = |slots: &[Option<Vec<u8>>; 2]| decode_slots(slots).expect("the records are decoded");
    assert_eq!(decoded(&slots(&hard_state(), Some(&state))), (Some(hard_state()), Some(state)));
    assert_eq!(decoded(&slots(&hard_state(), None)), (Some(hard_state()), None));
    assert_eq!(decoded(&[None, None]), (None, None));
}

#[test]
fn one_undecodable_record_makes_both_unusable() {
    let good = slots(&hard_state(), Some(&State::default()));
    for (slot, wanted) in [Record::HardState, Record::State].into_iter().enumerate() {
        let mut truncated = good.clone();
        truncated[slot] = truncated[slot].take().map(|bytes| bytes[..bytes.len() / 2].to_vec());
        let result = decode_slots(&truncated);
        let is_malformed =
            matches!(&result, Err(DiskFormatError::Malformed { record, .. }) if *record == wanted);
        assert!(is_malformed, "truncated {wanted}: {result:?}");
        let mut other = good.clone();
        if let Some(bytes) = &mut other[slot] {
            bytes[0] += 1;
        }
        let result = decode_slots(&other);
        let is_other_version =
            matches!(&result, Err(DiskFormatError::Version { record }) if *record == wanted);
        assert!(is_other_version, "{wanted} of another version: {result:?}");
    }
}
