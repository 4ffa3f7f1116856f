//! The failure: corrupt or foreign bytes of another process end this one, or are taken for a message.

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
    let id = ReplicaId { ip: 0x0a01_0001, incarnation: 77 };
    let state = StateUpdate {
        base: Some(LogPosition { term: 4, index: 8 }),
        position: LogPosition { term: 4, index: 9 },
        revision: 5,
        document: DocumentUpdate::between(
            Some(b"{\"revision\":4,\"routes\":[]}"),
            b"{\"revision\":5,\"routes\":[]}",
        ),
        accepted: vec![AcceptedChange { revision: 5, digest: Digest([9; 16]) }],
        pruned_revision: 2,
        voters: vec![id],
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
    PeerMessage::Replica { from: id, to: None, message }
}

#[test]
fn encoded_messages_are_decoded() {
    let frame = encode(&pull()).expect("the message is encoded");
    let header = frame[..HEADER_BYTES].try_into().expect("a header");
    assert_eq!(body_length(header).ok(), Some(frame.len() - HEADER_BYTES));
    assert_eq!(decode(&frame[HEADER_BYTES..]).ok(), Some(pull()));
    let frame = encode(&state()).expect("the message is encoded");
    assert_eq!(decode(&frame[HEADER_BYTES..]).ok(), Some(state()));
}

#[test]
fn another_version_and_an_excessive_length_are_rejected() {
    let later = body_length([1, 0, 0, 0, VERSION + 1]);
    assert!(matches!(later, Err(FrameError::Version(version)) if version == VERSION + 1), "{later:?}");
    let http = body_length(*b"GET /");
    assert!(matches!(http, Err(FrameError::Version(b'/'))), "{http:?}");
    let long = (MAX_BYTES as u32 + 1).to_le_bytes();
    let header = [long[0], long[1], long[2], long[3], VERSION];
    let too_long = body_length(header);
    assert!(matches!(too_long, Err(FrameError::TooLong(bytes)) if bytes == MAX_BYTES + 1), "{too_long:?}");
}

/// Cases are the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

proptest! {
    #![proptest_config(ProptestConfig { cases: 50_000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn decoding_corrupt_requests_does_not_panic(at in 0usize..200, byte in any::<u8>(), cut in 0usize..200) {
        let frame = encode(&pull()).expect("the message is encoded");
        let mut body = frame[HEADER_BYTES..].to_vec();
        let at = at % body.len();
        body[at] = byte;
        body.truncate(cut.max(1));
        let _ = decode::<Request>(&body);
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<Reply>(&body);
    }

    #[test]
    fn decoding_corrupt_states_does_not_panic(at in 0usize..200, byte in any::<u8>()) {
        let frame = encode(&state()).expect("the message is encoded");
        let mut body = frame[HEADER_BYTES..].to_vec();
        let at = at % body.len();
        body[at] = byte;
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<State>(&body);
    }

    #[test]
    fn decoding_random_bytes_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..120)) {
        let _ = decode::<Request>(&body);
        let _ = decode::<Reply>(&body);
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<ConnectionPreface>(&body);
    }
}
