//! Fuzzes a proxy's membership with datagrams: random bytes, valid ones that are mutated, truncated, replayed or sent from other
//! addresses, and arbitrary combinations of sections. The effects of each are checked.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::wire::{DatagramBuilder, Header, Section, BROADCAST};
use gaugesaddle_membership::{
    Authenticator, Boot, Counters, KeyTooShort, MemberState, MemberStatus, Membership, Output, Settings,
    TierConfig, TierConfigError, MAX_DATAGRAM_BYTES,
};
use gaugesaddle_testbed::random::RandomStream;
use std::net::SocketAddr;

/// Members of the tier; two of them are live.
const MEMBERS: usize = 5;
/// Maximum datagrams in reply to one: 256 bytes hold up to 14 ping requests, each with a receipt and a ping.
const MAX_REPLIES: usize = 32;

/// What must not occur.
#[derive(Debug, thiserror::Error)]
pub enum FuzzError {
    /// The key of the tier is invalid.
    #[error(transparent)]
    Key(#[from] KeyTooShort),
    /// The configuration of the tier is invalid.
    #[error(transparent)]
    Config(#[from] TierConfigError),
    /// The two live members did not meet.
    #[error("two live members did not meet")]
    NotMet,
    /// A datagram had an effect that it must not have.
    #[error("datagram {number}: {effect}: {bytes:02x?} from {from}")]
    Datagram {
        /// Number of the datagram.
        number: u64,
        /// The effect.
        effect: &'static str,
        /// The datagram.
        bytes: Vec<u8>,
        /// Index of the member whose address it came from.
        from: usize,
    },
    /// A live member is not held alive after the last datagram.
    #[error("{tier}: the live member is not held alive afterwards")]
    NotAlive {
        /// The tier: with a key or without.
        tier: &'static str,
    },
}

/// The result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FuzzReport {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams in reply.
    pub replies: u64,
    /// The counters of the proxy with the key.
    pub counts: Counters,
}

struct Pair {
    /// The process under test, at index 0, and a peer at index 1.
    target: Membership,
    peer: Membership,
    now: Time,
    captured: Vec<Vec<u8>>,
}

fn address(place: usize) -> SocketAddr {
    crate::tier::address(place)
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

    /// Advances both, and delivers what they send to each other.
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

fn status(dice: &mut RandomStream) -> MemberStatus {
    let all = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Departed];
    let incarnation = if dice.bernoulli(0.1) { 1 << 30 } else { dice.below(5) as u32 };
    MemberStatus { boot: Boot(1 + dice.below(300) as u32), incarnation, state: all[dice.below(4)] }
}

fn section(dice: &mut RandomStream) -> Section {
    let place = |dice: &mut RandomStream| {
        if dice.bernoulli(0.1) {
            BROADCAST
        } else {
            dice.below(MEMBERS + 2) as u16
        }
    };
    let nonce = dice.below(1 << 20) as u32;
    let known = dice.bernoulli(0.5).then(|| status(dice));
    let boot = Boot(1 + dice.below(300) as u32);
    let subject = place(dice);
    match dice.below(11) {
        0 => Section::Ping { nonce, status: known },
        1 => Section::Ack { nonce },
        2 => Section::PingRequest { target: subject, nonce, status: known },
        3 => Section::PingRequestReceipt { nonce },
        4 => Section::IndirectPing { origin: subject, nonce, status: known },
        5 => Section::IndirectAck { origin: subject, nonce },
        6 => Section::ForwardedAck { subject, boot, incarnation: dice.below(9) as u32, nonce },
        7 => Section::Update { subject, reporter: place(dice), status: status(dice) },
        8 => {
            let body = (0..dice.below(121)).map(|_| dice.below(256) as u8).collect();
            Section::Record { subject, boot, version: nonce, age_ms: dice.below(1 << 16) as u16, body }
        }
        9 => Section::RecordRequest { subject },
        _ => Section::Hello { name: "x".repeat(dice.below(33)), zone: String::new() },
    }
}

/// A well-formed datagram with random contents.
fn random_datagram(dice: &mut RandomStream, from: u16) -> Vec<u8> {
    let to = if dice.bernoulli(0.1) { BROADCAST } else { dice.below(3) as u16 };
    let (boot, counter) = (Boot(1 + dice.below(300) as u32), dice.bits() >> dice.below(64));
    let mut datagram =
        DatagramBuilder::new(Header { to, from, boot, incarnation: dice.below(4) as u32, counter }, 0);
    for _ in 0..dice.below(20) {
        datagram.push(&section(dice));
    }
    datagram.finish()
}

fn mutate(dice: &mut RandomStream, good: &[u8]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    match dice.below(4) {
        0 => bytes.truncate(dice.below(bytes.len())),
        1 => bytes.extend((0..dice.below(MAX_DATAGRAM_BYTES)).map(|_| dice.below(256) as u8)),
        _ => {
            for _ in 0..=dice.below(4) {
                let at = dice.below(bytes.len());
                bytes[at] ^= 1 << dice.below(8);
            }
        }
    }
    bytes
}

/// Sends so many datagrams, half of them to a proxy with a key and half to one without.
///
/// # Errors
/// The first effect that must not occur.
pub fn fuzz(count: u64, seed: u64) -> Result<FuzzReport, FuzzError> {
    let mut dice = RandomStream::new(seed, "strange datagrams");
    let auth = Authenticator::from_secret(&[3; 40])?;
    let (mut keyed, mut open) = (Pair::new(&auth, seed)?, Pair::new(&Authenticator::disabled(), seed)?);
    let (mut report, mut out) = (FuzzReport::default(), Vec::new());
    while report.sent < count {
        let with_key = report.sent % 2 == 0;
        let pair = if with_key { &mut keyed } else { &mut open };
        let from = dice.below(MEMBERS + 1);
        let bytes = match dice.below(4) {
            0 => (0..dice.below(300)).map(|_| dice.below(256) as u8).collect(),
            1 => random_datagram(&mut dice, from as u16),
            2 => {
                let good = dice.below(pair.captured.len());
                mutate(&mut dice, &pair.captured[good])
            }
            _ => pair.captured[dice.below(pair.captured.len())].clone(),
        };
        let before = pair.target.members(pair.now);
        let received = pair.target.counters().received;
        pair.target.handle_datagram(pair.now, address(from), &bytes, &mut out);
        report.sent += 1;
        let sent = out.iter().filter(|o| matches!(o, Output::Send { .. })).count();
        report.replies += sent as u64;
        let number = report.sent;
        let forbidden =
            |effect: &'static str| Err(FuzzError::Datagram { number, effect, bytes: bytes.clone(), from });
        if sent > MAX_REPLIES {
            return forbidden("too many answers");
        }
        if out.iter().any(|o| matches!(o, Output::Send { bytes, .. } if bytes.len() > MAX_DATAGRAM_BYTES)) {
            return forbidden("too long an answer");
        }
        if pair.target.counters().received != received + 1 {
            return forbidden("not counted");
        }
        // With a key none of this is authenticated: no member's state may change.
        let stands = |all: &[gaugesaddle_membership::MemberView]| -> Vec<_> {
            all.iter().map(|p| (p.state, p.boot, p.incarnation, p.name.clone(), p.record_age)).collect()
        };
        if with_key && stands(&before) != stands(&pair.target.members(pair.now)) {
            return forbidden("believed");
        }
        out.clear();
        if report.sent % 64 == 0 {
            pair.exchange();
        }
    }
    for (tier, pair) in [("with a key", &mut keyed), ("without", &mut open)] {
        // Whatever was claimed of it in between, the peer is known again.
        (0..1500).for_each(|_| pair.exchange());
        if pair.target.live_boot(1) != Some(pair.peer.local_member().boot) {
            return Err(FuzzError::NotAlive { tier });
        }
    }
    report.counts = keyed.target.counters();
    Ok(report)
}
