//! Guards against a renamed or moved field that makes the messages of two builds incompatible.
//!
//! `data/frames.txt` contains one frame of every message variant, recorded by the build before any rename, with the
//! names of that build.

use gaugesaddle_protocol::frame::{decode, encode, HEADER_BYTES};
use gaugesaddle_protocol::*;
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use std::fmt::Debug;

const GOLDEN: &str = include_str!("data/frames.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    hex.as_bytes()
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hexadecimal"))
        .collect()
}

fn golden(name: &str) -> Option<Vec<u8>> {
    GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ").map(bytes))
}

/// Collects the messages whose frame differs from the recorded one, as lines of the data file.
#[derive(Default)]
struct Frames {
    checked: usize,
    differing: Vec<String>,
}

impl Frames {
    fn check<T>(&mut self, name: &str, message: T)
    where
        T: Encode<Binary> + Debug + PartialEq + for<'de> Decode<'de, Binary, Global>,
    {
        self.checked += 1;
        let frame = encode(&message).expect("the message is encoded");
        match golden(name) {
            Some(recorded) if recorded == frame => {
                let decoded = decode::<T>(&recorded[HEADER_BYTES..]).ok();
                assert_eq!(decoded.as_ref(), Some(&message), "{name}");
            }
            _ => self.differing.push(format!("{name}: {}", hex(&frame))),
        }
    }

    fn finish(self) {
        assert!(self.differing.is_empty(), "these frames differ:\n{}", self.differing.join("\n"));
        assert_eq!(self.checked, GOLDEN.lines().count(), "every recorded frame is checked");
    }
}

fn replica(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0x0102_0304_0506_0708 }
}

fn position(index: u64) -> LogPosition {
    LogPosition { term: 300, index }
}

fn registration(subject: Subject, lifecycle: Lifecycle) -> Registration {
    Registration { id: "id-1".to_owned(), zone: "zone-a".to_owned(), subject, sequence: 77, lifecycle }
}

fn backend() -> Subject {
    Subject::Backend { service: "chat".to_owned(), address: "10.0.0.1:9000".to_owned(), slots: 128 }
}

fn vector() -> VersionVector {
    VersionVector(vec![(Origin(5), 6), (Origin(7), 800)])
}

fn entries() -> Vec<CatalogEntry> {
    [Lifecycle::Ready, Lifecycle::Expired, Lifecycle::Draining, Lifecycle::Departed]
        .into_iter()
        .zip([backend(), Subject::Proxy, backend(), Subject::Proxy])
        .enumerate()
        .map(|(at, (lifecycle, subject))| CatalogEntry {
            origin: Origin(at as u64),
            change: 1000 + at as u64,
            registration: registration(subject, lifecycle),
        })
        .collect()
}

fn delta() -> CatalogDelta {
    CatalogDelta { entries: entries(), since: vector(), vector: vector(), complete_ranges: vec![1, 2, 63] }
}

fn loads() -> Vec<BackendLoad> {
    vec![BackendLoad { backend: 1, work: 2000, failed: 3, served: 400 }]
}

fn state() -> State {
    State {
        position: position(9),
        revision: 12,
        document: b"{\"revision\":12}".to_vec(),
        accepted: vec![AcceptedChange { revision: 12, digest: Digest([7; 16]) }],
        pruned_revision: 4,
        voters: vec![replica(1), replica(2)],
        outgoing: vec![replica(3)],
    }
}

fn update(document: DocumentUpdate) -> StateUpdate {
    let State { position, revision, accepted, pruned_revision, voters, outgoing, .. } = state();
    StateUpdate {
        base: Some(LogPosition { term: 299, index: 8 }),
        position,
        revision,
        document,
        accepted,
        pruned_revision,
        voters,
        outgoing,
    }
}

fn patch() -> DocumentUpdate {
    let old = br#"{"revision":11,"routes":[{"name":"a","timeoutMs":100},{"name":"b","timeoutMs":200}],"services":[]}"#;
    let new = br#"{"revision":12,"routes":[{"name":"a","timeoutMs":100},{"name":"b","timeoutMs":250}],"services":[]}"#;
    DocumentUpdate::Delta(DocumentDelta::between(old, new))
}

#[test]
fn stored_records_keep_their_bytes() {
    let mut frames = Vec::new();
    frames.push(("state", encode(&state()).expect("the message is encoded")));
    let hard_state = HardState { id: replica(4), term: 300, voted_for: Some(replica(5)) };
    frames.push(("hard state", encode(&hard_state).expect("the message is encoded")));
    let expected = include_str!("data/stored.txt");
    let written: Vec<String> = frames.iter().map(|(name, frame)| format!("{name}: {}", hex(frame))).collect();
    assert_eq!(written, expected.lines().collect::<Vec<_>>());
}

#[test]
fn frames_of_every_variant_keep_their_bytes() {
    let mut frames = Frames::default();
    requests(&mut frames);
    replies(&mut frames);
    replica_messages(&mut frames);
    peer_messages(&mut frames);
    frames.check("opening requests", ConnectionPreface::Requests);
    frames.check("opening peer", ConnectionPreface::Peer);
    frames.check("opening compressed requests", ConnectionPreface::CompressedRequests);
    frames.finish();
}

fn requests(frames: &mut Frames) {
    frames.check(
        "request pull",
        Request::Pull(Box::new(Pull {
            proxy: registration(Subject::Proxy, Lifecycle::Ready),
            vector: vector(),
            position: Some(position(9)),
            document: Some(Digest([8; 16])),
            digests: vec![1, 1 << 40],
            departed: vec![registration(backend(), Lifecycle::Departed)],
            wait_ms: 350,
        })),
    );
    let requests = vec![QuotaRequest { tenant: "t".to_owned(), tokens: 1, unused: 200, usage_rate: 30_000 }];
    frames.check("request quota", Request::Quota { machine: "edge-1".to_owned(), requests });
    frames.check("request load", Request::Load { proxy: 99, loads: loads() });
    let change = |body| Request::Change(Box::new(ConfigurationChange { base: 11, body }));
    frames.check("request order whole", change(ChangeBody::Full(b"{\"revision\":12}".to_vec())));
    frames.check("request order patch", change(ChangeBody::Patch(b"{\"revision\":12}".to_vec())));
    frames.check("request read", Request::Read);
    frames.check("request status", Request::Status);
    frames.check("request distribution", Request::Distribution);
}

fn replies(frames: &mut Frames) {
    let updated = |document| ConfigurationUpdate { position: position(9), revision: 12, document };
    let pulled = |configuration| {
        Reply::Pull(Box::new(PullReply {
            fresh: true,
            leader: Some(0x0a01_0001),
            members: vec![0x0a01_0001, 0x0a01_0002],
            configuration,
            delta: delta(),
        }))
    };
    frames.check("reply pull without", pulled(None));
    frames.check("reply pull same", pulled(Some(updated(DocumentUpdate::Unchanged))));
    frames.check("reply pull patch", pulled(Some(updated(patch()))));
    frames.check("reply pull whole", pulled(Some(updated(DocumentUpdate::Full(b"{}".to_vec())))));
    let grants = vec![QuotaGrant { tenant: "t".to_owned(), tokens: 500 }];
    frames.check("reply quota", Reply::Quota { grants });
    frames.check("reply load", Reply::Load { loads: loads() });
    frames.check("reply order taken", Reply::Change(ChangeReply::Applied));
    frames.check("reply order conflict", Reply::Change(ChangeReply::Conflict { current: 13 }));
    let findings = vec!["routes[0]: expected".to_owned()];
    frames.check("reply order invalid", Reply::Change(ChangeReply::Invalid { findings }));
    frames.check("reply order unclear", Reply::Change(ChangeReply::Indeterminate));
    frames.check("reply read none", Reply::Read(None));
    let configuration =
        Configuration { position: position(9), revision: 12, document: b"{\"revision\":12}".to_vec() };
    frames.check("reply read", Reply::Read(Some(configuration)));
    frames.check(
        "reply status",
        Reply::Status(Box::new(StatusReport {
            replica: "10.1.0.1#0".to_owned(),
            role: "leader".to_owned(),
            term: 300,
            leader: Some("10.1.0.1".to_owned()),
            voters: vec!["10.1.0.1#0".to_owned(), "10.1.0.2#0".to_owned()],
            index: 9,
            revision: 12,
            fresh: true,
            disk: true,
            peers_alive: 2,
            backends: 18,
            backends_leaving: 3,
            proxies: 6,
        })),
    );
    frames.check("reply unavailable", Reply::Unavailable);
    frames.check(
        "reply distribution",
        Reply::Distribution(Box::new(DistributionReport {
            revision: 12,
            age_ms: 900,
            proxies: 25,
            outdated_proxies: 1,
            oldest_pull_ms: 400,
            sent_bytes: 70_000,
            outdated: vec!["edge-1#5".to_owned()],
        })),
    );
}

fn replica_messages(frames: &mut Frames) {
    let mut check = |name: &str, message| {
        let from = replica(1);
        frames.check(name, PeerMessage::Replica { from, to: Some(replica(2)), message });
    };
    check("replica pre-vote", ReplicaMessage::RequestPreVote { term: 301, last_position: position(9) });
    check("replica pre-vote reply", ReplicaMessage::RequestPreVoteResponse { term: 301, granted: true });
    check(
        "replica vote",
        ReplicaMessage::RequestVote { term: 301, last_position: position(9), leadership_transfer: true },
    );
    check("replica vote reply", ReplicaMessage::RequestVoteResponse { term: 301, granted: false });
    let mut append = |name: &str, state: Option<StateUpdate>, echoed_reading| {
        let message = ReplicaMessage::Append {
            term: 301,
            sequence: 4000,
            last_position: position(9),
            committed: position(8),
            state: state.map(Box::new),
            echoed_reading,
        };
        check(name, message);
    };
    append("replica append empty", None, None);
    append(
        "replica append same",
        Some(update(DocumentUpdate::Unchanged)),
        Some(ClockReading { process: 3, time_ms: 70_000 }),
    );
    append("replica append patch", Some(update(patch())), None);
    append("replica append whole", Some(update(DocumentUpdate::Full(b"{}".to_vec()))), None);
    check(
        "replica append reply",
        ReplicaMessage::AppendResponse {
            term: 301,
            sequence: 4000,
            matched: position(8),
            received: position(9),
            clock_reading: ClockReading { process: 3, time_ms: 70_000 },
        },
    );
    check("replica take over", ReplicaMessage::TimeoutNow { term: 301 });
    check("replica join", ReplicaMessage::Join { durable: true });
    check("replica leave", ReplicaMessage::Leave { process: 0x0102_0304_0506_0708 });
    let departures =
        [("left", Departure::Left), ("required", Departure::Required), ("pending", Departure::Pending)];
    for (name, departure) in departures {
        let response = ReplicaMessage::LeaveResponse { process: 9, departure };
        check(&format!("replica leave response, {name}"), response);
    }
}

fn peer_messages(frames: &mut Frames) {
    frames.check(
        "peer hello",
        PeerMessage::Hello {
            ip: 0x0a01_0001,
            has_disk: true,
            features: Some(0x0a01_0002),
            origin: Origin(12),
            members: vec![1, 2, 3],
        },
    );
    frames.check("peer load", PeerMessage::Load(loads()));
    frames.check("peer push", PeerMessage::Push(delta()));
    frames.check("peer acknowledge", PeerMessage::Acknowledge { origin: Origin(12), change: 13 });
    frames.check(
        "peer compare",
        PeerMessage::Compare { vector: vector(), digests: vec![4, 5], members: vec![1, 2] },
    );
}
