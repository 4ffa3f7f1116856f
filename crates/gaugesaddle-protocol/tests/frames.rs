//! The failure: what another process sends, spoilt or foreign, ends this one or is taken for a message.

use gaugesaddle_protocol::frame::{
    body_length, decode, encode, FrameError, HEADER_BYTES, MAX_BYTES, VERSION,
};
use gaugesaddle_protocol::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn pull() -> Request {
    let mut vector = VersionVector::default();
    vector.advance(Origin(7), 12);
    let proxy = Registration {
        id: "edge-1#5".to_owned(),
        zone: "a".to_owned(),
        subject: Subject::Proxy,
        sequence: 9,
        lifecycle: Lifecycle::Ready,
    };
    let position = Some(LogPosition { term: 2, index: 3 });
    Request::Pull(Box::new(Pull {
        proxy,
        vector,
        position,
        document: Some(Digest([4; 16])),
        digests: vec![1, 2, 3],
        departed: Vec::new(),
        wait_ms: 350,
    }))
}

fn state() -> PeerMessage {
    let me = ReplicaId { ip: 0x0a01_0001, incarnation: 77 };
    let state = StateUpdate {
        base: Some(LogPosition { term: 4, index: 8 }),
        position: LogPosition { term: 4, index: 9 },
        revision: 5,
        document: DocumentUpdate::between(
            Some(b"{\"revision\":4,\"routes\":[]}"),
            b"{\"revision\":5,\"routes\":[]}",
        ),
        accepted: vec![Accepted { revision: 5, digest: Digest([9; 16]) }],
        forgotten: 2,
        voters: vec![me],
        outgoing: Vec::new(),
    };
    let message = ReplicaMessage::Append {
        term: 4,
        sequence: 8,
        last_position: state.position,
        committed: LogPosition::default(),
        state: Some(Box::new(state)),
        echoed_reading: Some(ClockReading { process: 3, time_ms: 4 }),
    };
    PeerMessage::Replica { from: me, to: None, message }
}

#[test]
fn messages_come_back_as_they_were() {
    let frame = encode(&pull()).expect("it encodes");
    let header = frame[..HEADER_BYTES].try_into().expect("a header");
    assert_eq!(body_length(header), Ok(frame.len() - HEADER_BYTES));
    assert_eq!(decode(&frame[HEADER_BYTES..]), Ok(pull()));
    let frame = encode(&state()).expect("it encodes");
    assert_eq!(decode(&frame[HEADER_BYTES..]), Ok(state()));
}

#[test]
fn another_version_and_a_foreign_length_are_named() {
    assert_eq!(body_length([1, 0, 0, 0, VERSION + 1]), Err(FrameError::Version(VERSION + 1)));
    assert_eq!(body_length(*b"GET /"), Err(FrameError::Version(b'/')));
    let long = (MAX_BYTES as u32 + 1).to_le_bytes();
    let header = [long[0], long[1], long[2], long[3], VERSION];
    assert_eq!(body_length(header), Err(FrameError::TooLong(MAX_BYTES + 1)));
}

/// Cases are the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

proptest! {
    #![proptest_config(ProptestConfig { cases: 50_000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn spoilt_requests_are_errors_or_other_requests(at in 0usize..200, byte in any::<u8>(), cut in 0usize..200) {
        let frame = encode(&pull()).expect("it encodes");
        let mut body = frame[HEADER_BYTES..].to_vec();
        let at = at % body.len();
        body[at] = byte;
        body.truncate(cut.max(1));
        let _ = decode::<Request>(&body);
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<Reply>(&body);
    }

    #[test]
    fn spoilt_states_are_errors_or_other_states(at in 0usize..200, byte in any::<u8>()) {
        let frame = encode(&state()).expect("it encodes");
        let mut body = frame[HEADER_BYTES..].to_vec();
        let at = at % body.len();
        body[at] = byte;
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<State>(&body);
    }

    #[test]
    fn noise_is_no_message(body in proptest::collection::vec(any::<u8>(), 0..120)) {
        let _ = decode::<Request>(&body);
        let _ = decode::<Reply>(&body);
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<Opening>(&body);
    }
}
