//! Fuzzes a proxy's membership with datagrams: random bytes, valid ones that are mutated, truncated, replayed or sent
//! from other addresses, and arbitrary combinations of sections. The effects of each are checked.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::wire::{DatagramBuilder, Header, Section, BROADCAST};
use gaugesaddle_membership::{
    Authenticator, Boot, Counters, KeyTooShort, MemberState, MemberStatus, Membership, Output, Settings,
    TierConfig, TierConfigError, MAX_DATAGRAM_BYTES,
};
use gaugesaddle_testbed::random::RandomStream;
use std::net::SocketAddr;

/// Configured members of the tier, two of which are live.
const MEMBERS: usize = 5;
/// Maximum datagrams sent in reply to one datagram: 256 bytes hold up to 14 ping requests, each answered by a receipt
/// and a ping.
const MAX_REPLIES: usize = 32;

/// Why a fuzz run failed.
#[derive(Debug, thiserror::Error)]
pub enum FuzzError {
    /// The key of the tier is invalid.
    #[error(transparent)]
    Key(#[from] KeyTooShort),
    /// The configuration of the tier is invalid.
    #[error(transparent)]
    Config(#[from] TierConfigError),
    /// The two live members did not discover each other.
    #[error("the two live members did not discover each other")]
    NotMet,
    /// A datagram had a forbidden effect.
    #[error("datagram {number}: {effect}: {bytes:02x?} from {from}")]
    Datagram {
        /// Number of the datagram, from 1.
        number: u64,
        /// The effect.
        effect: &'static str,
        /// The datagram.
        bytes: Vec<u8>,
        /// Index of the member whose address was the source address.
        from: usize,
    },
    /// After the last datagram the process under test does not consider its live peer alive.
    #[error("{tier}: the live peer is not considered alive after the last datagram")]
    NotAlive {
        /// Whether the tier has a key.
        tier: &'static str,
    },
}

/// The counts of a fuzz run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FuzzReport {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams sent in reply.
    pub replies: u64,
    /// Counters of the process that has a key.
    pub counts: Counters,
}

struct Pair {
    /// The process under test, at index 0.
    target: Membership,
    /// Its live peer, at index 1.
    peer: Membership,
    now: Time,
    captured: Vec<Vec<u8>>,
}

fn address(index: usize) -> SocketAddr {
    crate::tier::address(index)
}

impl Pair {
    fn new(auth: &Authenticator, seed: u64) -> Result<Pair, FuzzError> {
        let config = |own: u16| TierConfig {
            addresses: (0..MEMBERS).map(address).collect(),
            own_index: own,
            broadcast_address: None,
            name: format!("p{own}"),
            zone: "z".into(),
        };
        let now = Time(1_000_000);
        let peers = |own: u16| {
            let boot = Boot(100 + u32::from(own));
            Membership::new(Settings::default(), auth.clone(), config(own), boot, seed + u64::from(own), now)
        };
        let mut pair = Pair { target: peers(0)?, peer: peers(1)?, now, captured: Vec::new() };
        for _ in 0..200 {
            pair.exchange();
        }
        match pair.target.live_boot(1) {
            Some(_) => Ok(pair),
            None => Err(FuzzError::NotMet),
        }
    }

    /// Advances both processes by 10 ms and delivers the datagrams that they send to each other.
    fn exchange(&mut self) {
        self.now = self.now + Micros(10_000);
        let (mut first, mut second) = (Vec::new(), Vec::new());
        let signals = gaugesaddle_membership::Signals::default().encode();
        self.peer.publish(self.now, &signals);
        self.target.run_due_timers(self.now, &mut first);
        self.peer.run_due_timers(self.now, &mut second);
        for _ in 0..4 {
            let (a, b) = (std::mem::take(&mut first), std::mem::take(&mut second));
            for output in a {
                if let Output::Send { to, bytes } = output {
                    if to == address(1) {
                        self.peer.handle_datagram(self.now, address(0), &bytes, &mut second);
                    }
                }
            }
            for output in b {
                if let Output::Send { to, bytes } = output {
                    if to == address(0) {
                        self.target.handle_datagram(self.now, address(1), &bytes, &mut first);
                        if self.captured.len() < 500 {
                            self.captured.push(bytes);
                        }
                    }
                }
            }
        }
    }
}

fn status(rng: &mut RandomStream) -> MemberStatus {
    let all = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Departed];
    let incarnation = if rng.bernoulli(0.1) { 1 << 30 } else { rng.below(5) as u32 };
    MemberStatus { boot: Boot(1 + rng.below(300) as u32), incarnation, state: all[rng.below(4)] }
}

fn section(rng: &mut RandomStream) -> Section {
    let index = |rng: &mut RandomStream| {
        if rng.bernoulli(0.1) {
            BROADCAST
        } else {
            rng.below(MEMBERS + 2) as u16
        }
    };
    let nonce = rng.below(1 << 20) as u32;
    let member_status = rng.bernoulli(0.5).then(|| status(rng));
    let boot = Boot(1 + rng.below(300) as u32);
    let subject = index(rng);
    match rng.below(11) {
        0 => Section::Ping { nonce, status: member_status },
        1 => Section::Ack { nonce },
        2 => Section::PingRequest { target: subject, nonce, status: member_status },
        3 => Section::PingRequestReceipt { nonce },
        4 => Section::IndirectPing { origin: subject, nonce, status: member_status },
        5 => Section::IndirectAck { origin: subject, nonce },
        6 => Section::ForwardedAck { subject, boot, incarnation: rng.below(9) as u32, nonce },
        7 => Section::Update { subject, reporter: index(rng), status: status(rng) },
        8 => {
            let body = (0..rng.below(121)).map(|_| rng.below(256) as u8).collect();
            Section::Record { subject, boot, version: nonce, age_ms: rng.below(1 << 16) as u16, body }
        }
        9 => Section::RecordRequest { subject },
        _ => Section::Hello { name: "x".repeat(rng.below(33)), zone: String::new() },
    }
}

/// A well-formed datagram with random contents.
fn random_datagram(rng: &mut RandomStream, from: u16) -> Vec<u8> {
    let to = if rng.bernoulli(0.1) { BROADCAST } else { rng.below(3) as u16 };
    let (boot, counter) = (Boot(1 + rng.below(300) as u32), rng.bits() >> rng.below(64));
    let mut datagram =
        DatagramBuilder::new(Header { to, from, boot, incarnation: rng.below(4) as u32, counter }, 0);
    for _ in 0..rng.below(20) {
        datagram.push(&section(rng));
    }
    datagram.finish()
}

fn mutate(rng: &mut RandomStream, valid: &[u8]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    match rng.below(4) {
        0 => bytes.truncate(rng.below(bytes.len())),
        1 => bytes.extend((0..rng.below(MAX_DATAGRAM_BYTES)).map(|_| rng.below(256) as u8)),
        _ => {
            for _ in 0..=rng.below(4) {
                let at = rng.below(bytes.len());
                bytes[at] ^= 1 << rng.below(8);
            }
        }
    }
    bytes
}

/// Sends `count` datagrams, alternately to a process with a key and to one without.
///
/// # Errors
/// The first forbidden effect.
pub fn fuzz(count: u64, seed: u64) -> Result<FuzzReport, FuzzError> {
    let mut rng = RandomStream::new(seed, "strange datagrams");
    let auth = Authenticator::from_secret(&[3; 40])?;
    let (mut keyed, mut open) = (Pair::new(&auth, seed)?, Pair::new(&Authenticator::disabled(), seed)?);
    let (mut report, mut out) = (FuzzReport::default(), Vec::new());
    while report.sent < count {
        let has_key = report.sent % 2 == 0;
        let pair = if has_key { &mut keyed } else { &mut open };
        let from = rng.below(MEMBERS + 1);
        let bytes = match rng.below(4) {
            0 => (0..rng.below(300)).map(|_| rng.below(256) as u8).collect(),
            1 => random_datagram(&mut rng, from as u16),
            2 => {
                let choice = rng.below(pair.captured.len());
                mutate(&mut rng, &pair.captured[choice])
            }
            _ => pair.captured[rng.below(pair.captured.len())].clone(),
        };
        let before = pair.target.members(pair.now);
        let received = pair.target.counters().received;
        pair.target.handle_datagram(pair.now, address(from), &bytes, &mut out);
        report.sent += 1;
        let sent = out.iter().filter(|o| matches!(o, Output::Send { .. })).count();
        report.replies += sent as u64;
        let number = report.sent;
        let violation =
            |effect: &'static str| Err(FuzzError::Datagram { number, effect, bytes: bytes.clone(), from });
        if sent > MAX_REPLIES {
            return violation("too many replies");
        }
        if out.iter().any(|o| matches!(o, Output::Send { bytes, .. } if bytes.len() > MAX_DATAGRAM_BYTES)) {
            return violation("reply longer than the datagram limit");
        }
        if pair.target.counters().received != received + 1 {
            return violation("not counted as received");
        }
        // With a key, none of these datagrams is authenticated: no member's state may change.
        let member_states = |all: &[gaugesaddle_membership::MemberView]| -> Vec<_> {
            all.iter().map(|p| (p.state, p.boot, p.incarnation, p.name.clone(), p.record_age)).collect()
        };
        if has_key && member_states(&before) != member_states(&pair.target.members(pair.now)) {
            return violation("unauthenticated datagram changed the state of a member");
        }
        out.clear();
        if report.sent % 64 == 0 {
            pair.exchange();
        }
    }
    for (tier, pair) in [("with a key", &mut keyed), ("without", &mut open)] {
        // Forged updates may have declared the peer dead; it must be considered alive again.
        (0..1500).for_each(|_| pair.exchange());
        if pair.target.live_boot(1) != Some(pair.peer.local_member().boot) {
            return Err(FuzzError::NotAlive { tier });
        }
    }
    report.counts = keyed.target.counters();
    Ok(report)
}
