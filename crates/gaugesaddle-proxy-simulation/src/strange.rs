//! Strange datagrams at a proxy's part of the tier: random bytes, good ones changed, cut short, sent again or by others,
//! and sections that nobody would put together. What may come of them is checked after each.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::wire::{DatagramBuilder, Header, Section, BROADCAST};
use gaugesaddle_membership::{
    Authenticator, Boot, Counters, MemberState, MemberStatus, Membership, Output, Settings, TierConfig,
    MAX_DATAGRAM_BYTES,
};
use gaugesaddle_testbed::dice::Dice;
use std::net::SocketAddr;

/// Places of the tier; two of them live.
const PLACES: usize = 5;
/// Datagrams that one may bring about: 256 bytes hold up to 14 questions for others, each with a receipt and a question.
const MOST_OUT: usize = 32;

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Strange {
    /// Datagrams tried.
    pub tried: u64,
    /// Datagrams that they brought about.
    pub answered: u64,
    /// As the proxy with the key counted them.
    pub counts: Counters,
}

struct Pair {
    /// The one that is tried, at place 0, and a good one at place 1.
    tried: Membership,
    good: Membership,
    now: Time,
    kept: Vec<Vec<u8>>,
}

fn address(place: usize) -> SocketAddr {
    crate::tier::address(place)
}

impl Pair {
    fn new(auth: &Authenticator, seed: u64) -> Result<Pair, String> {
        let config = |own: u16| TierConfig {
            addresses: (0..PLACES).map(address).collect(),
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
        let [tried, good] = [peers(0), peers(1)].map(|p| p.map_err(|e| e.to_string()));
        let mut pair = Pair { tried: tried?, good: good?, now, kept: Vec::new() };
        for _ in 0..200 {
            pair.exchange();
        }
        match pair.tried.live_boot(1) {
            Some(_) => Ok(pair),
            None => Err("two good ones did not meet".into()),
        }
    }

    /// Time passes for both, and what they send to each other arrives.
    fn exchange(&mut self) {
        self.now = self.now + Micros(10_000);
        let (mut first, mut second) = (Vec::new(), Vec::new());
        let signals = gaugesaddle_membership::Signals::default().encode();
        self.good.publish(self.now, &signals);
        self.tried.turn(self.now, &mut first);
        self.good.turn(self.now, &mut second);
        for _ in 0..4 {
            let (a, b) = (std::mem::take(&mut first), std::mem::take(&mut second));
            for output in a {
                if let Output::Send { to, bytes } = output {
                    if to == address(1) {
                        self.good.datagram(self.now, address(0), &bytes, &mut second);
                    }
                }
            }
            for output in b {
                if let Output::Send { to, bytes } = output {
                    if to == address(0) {
                        self.tried.datagram(self.now, address(1), &bytes, &mut first);
                        if self.kept.len() < 500 {
                            self.kept.push(bytes);
                        }
                    }
                }
            }
        }
    }
}

fn status(dice: &mut Dice) -> MemberStatus {
    let all = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Departed];
    let incarnation = if dice.chance(0.1) { 1 << 30 } else { dice.below(5) as u32 };
    MemberStatus { boot: Boot(1 + dice.below(300) as u32), incarnation, state: all[dice.below(4)] }
}

fn section(dice: &mut Dice) -> Section {
    let place = |dice: &mut Dice| if dice.chance(0.1) { BROADCAST } else { dice.below(PLACES + 2) as u16 };
    let nonce = dice.below(1 << 20) as u32;
    let known = dice.chance(0.5).then(|| status(dice));
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

/// A datagram of good form from a place, made up.
fn made_up(dice: &mut Dice, from: u16) -> Vec<u8> {
    let to = if dice.chance(0.1) { BROADCAST } else { dice.below(3) as u16 };
    let (boot, counter) = (Boot(1 + dice.below(300) as u32), dice.whole() >> dice.below(64));
    let mut datagram =
        DatagramBuilder::new(Header { to, from, boot, incarnation: dice.below(4) as u32, counter }, 0);
    for _ in 0..dice.below(20) {
        datagram.push(&section(dice));
    }
    datagram.finish()
}

fn changed(dice: &mut Dice, good: &[u8]) -> Vec<u8> {
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

/// Tries so many datagrams, half of them at a proxy with a key and half at one without.
///
/// # Errors
/// In words, the first thing that must not come of them.
pub fn strange(count: u64, seed: u64) -> Result<Strange, String> {
    let mut dice = Dice::new(seed, "strange datagrams");
    let auth = Authenticator::from_secret(&[3; 40]).map_err(|e| e.to_string())?;
    let (mut keyed, mut open) = (Pair::new(&auth, seed)?, Pair::new(&Authenticator::disabled(), seed)?);
    let (mut told, mut out) = (Strange::default(), Vec::new());
    while told.tried < count {
        let with_key = told.tried % 2 == 0;
        let pair = if with_key { &mut keyed } else { &mut open };
        let from = dice.below(PLACES + 1);
        let bytes = match dice.below(4) {
            0 => (0..dice.below(300)).map(|_| dice.below(256) as u8).collect(),
            1 => made_up(&mut dice, from as u16),
            2 => {
                let good = dice.below(pair.kept.len());
                changed(&mut dice, &pair.kept[good])
            }
            _ => pair.kept[dice.below(pair.kept.len())].clone(),
        };
        let before = pair.tried.members(pair.now);
        let received = pair.tried.counters().received;
        pair.tried.datagram(pair.now, address(from), &bytes, &mut out);
        told.tried += 1;
        let sent = out.iter().filter(|o| matches!(o, Output::Send { .. })).count();
        told.answered += sent as u64;
        let what = |what: &str| Err(format!("datagram {}: {what}: {bytes:02x?} from {from}", told.tried));
        if sent > MOST_OUT {
            return what("too many answers");
        }
        if out.iter().any(|o| matches!(o, Output::Send { bytes, .. } if bytes.len() > MAX_DATAGRAM_BYTES)) {
            return what("too long an answer");
        }
        if pair.tried.counters().received != received + 1 {
            return what("not counted");
        }
        // With a key nothing of this is a peer's word: nobody stands otherwise than before.
        let stands = |all: &[gaugesaddle_membership::MemberView]| -> Vec<_> {
            all.iter().map(|p| (p.state, p.boot, p.incarnation, p.name.clone(), p.record_age)).collect()
        };
        if with_key && stands(&before) != stands(&pair.tried.members(pair.now)) {
            return what("believed");
        }
        out.clear();
        if told.tried % 64 == 0 {
            pair.exchange();
        }
    }
    for (name, pair) in [("with a key", &mut keyed), ("without", &mut open)] {
        // Whatever was said of it meanwhile: the good one is met again.
        (0..1500).for_each(|_| pair.exchange());
        if pair.tried.live_boot(1) != Some(pair.good.local_member().boot) {
            return Err(format!("{name}: the good one is not held alive afterwards"));
        }
    }
    told.counts = keyed.tried.counters();
    Ok(told)
}
