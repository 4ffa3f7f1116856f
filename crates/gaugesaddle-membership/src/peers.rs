//! One proxy's part of the tier: its tables, what moves in them, and what can be read of them.

use crate::asking::Probe;
use crate::claim::{Boot, Claim, Heard, Held, Own, Standing};
use crate::health::Health;
use crate::records::{Record, Records};
use crate::replay::Window;
use crate::rumors::Rumors;
use crate::seal::Seal;
use crate::settings::{Settings, MOST_PEERS};
use crate::suspicion::Suspicion;
use crate::view::View;
use crate::wire::{Section, NAME_BYTES, NOTE_BYTES, RECORD_BYTES};
use gaugesaddle_balancer::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;

/// A turn that comes so much too late was slept through: the process was stopped or starved. Three late timers of a
/// busy core are a tenth of it.
const STALL: Micros = Micros(300_000);
/// So long after its start, after a stall and after a lost proxy came back, all lost ones are tried at a quick rate.
const EAGER: Micros = Micros(2_000_000);
/// A place that changed its process so often within [`CONTEST`] is claimed by two that live.
const CONTESTS: usize = 3;
/// See [`CONTESTS`]; a process that crashes and starts again by itself takes longer for three rounds.
const CONTEST: Micros = Micros(5_000_000);
/// Others ask for another process at the own place for so long: they had the time to learn of this one.
const RIVAL: Micros = Micros(3_000_000);
/// Questions to one place that may still be answered.
const OPEN_QUESTIONS: usize = 3;
/// The dead are looked through for what can be forgotten this often.
const TIDY: Micros = Micros(1_000_000);

/// What a proxy is told of its tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Where each proxy is reached, in an order that all share; the own place among them.
    pub addresses: Vec<SocketAddr>,
    /// The own place.
    pub own: u16,
    /// Where a datagram reaches all of them, if there is such an address.
    pub all: Option<SocketAddr>,
    /// This proxy's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Why a tier can't be as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ToldError {
    /// No address, or too many.
    #[error("expected 1 to {MOST_PEERS} addresses")]
    Count,
    /// The own place is none of the list.
    #[error("expected a list with this proxy's own address")]
    Own,
    /// An address stands in it twice.
    #[error("expected each address once, got {0} twice")]
    Twice(SocketAddr),
    /// A name can't travel.
    #[error("expected names of up to {NAME_BYTES} printable letters without blanks")]
    Name,
    /// Without a key strangers could speak for proxies.
    #[error("expected loopback addresses only where there is no key, got {0}")]
    Open(SocketAddr),
}

impl Told {
    fn check(&self, seal: &Seal) -> Result<(), ToldError> {
        if !(1..=MOST_PEERS).contains(&self.addresses.len()) {
            return Err(ToldError::Count);
        }
        if usize::from(self.own) >= self.addresses.len() {
            return Err(ToldError::Own);
        }
        let mut seen = HashSet::new();
        if let Some(twice) = self.addresses.iter().find(|a| !seen.insert(**a)) {
            return Err(ToldError::Twice(*twice));
        }
        let sound = |n: &str| n.len() <= NAME_BYTES && n.bytes().all(|b| b.is_ascii_graphic());
        if !sound(&self.name) || !sound(&self.zone) {
            return Err(ToldError::Name);
        }
        let open = self.addresses.iter().chain(&self.all).find(|a| !a.ip().is_loopback());
        match open.filter(|_| !seal.is_keyed()) {
            Some(address) => Err(ToldError::Open(*address)),
            None => Ok(()),
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// One that lives has this to say to the host.
    Noted {
        /// Its place; the process is the one that is known to live there.
        from: u16,
        /// What.
        body: Vec<u8>,
    },
    /// A proxy stands otherwise than before: for the log.
    Moved(Transition),
    /// Two living processes claim one place: for the log.
    Contested {
        /// Which.
        place: u16,
    },
    /// Two living proxies have one name: for the log.
    Namesake {
        /// Which.
        places: (u16, u16),
    },
    /// This proxy slept: for the log.
    Stalled {
        /// For so long.
        span: Micros,
    },
}

/// How a proxy's standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Whose.
    pub place: u16,
    /// How it stood.
    pub from: Standing,
    /// How it stands.
    pub to: Standing,
    /// Its process.
    pub boot: Boot,
    /// Its incarnation.
    pub incarnation: u32,
    /// Why.
    pub why: Why,
}

/// Why a standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It answered a question.
    Answered,
    /// It said so itself.
    Said,
    /// Another proxy said so.
    Told(u16),
    /// It did not answer.
    Silent,
    /// It did not object in its time.
    NoObjection,
    /// It was dead or gone for long.
    Forgotten,
}

/// As logs write it; who reads logs can rely on the form.
impl std::fmt::Display for Transition {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Transition { place, from, to, boot, incarnation, why } = self;
        let (from, to) = (from.name(), to.name());
        write!(f, "{place} is {to} after {from}, boot {:08x}, incarnation {incarnation}: {why}", boot.0)
    }
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Why::Answered => f.write_str("it answered"),
            Why::Said => f.write_str("it says so"),
            Why::Told(by) => write!(f, "told by {by}"),
            Why::Silent => f.write_str("no answer"),
            Why::NoObjection => f.write_str("no objection"),
            Why::Forgotten => f.write_str("forgotten"),
        }
    }
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams that came, whatever they were.
    pub came: u64,
    /// Of these: not of this form.
    pub garbled: u64,
    /// Not for this proxy, or from no place of the list.
    pub foreign: u64,
    /// Without a good tag.
    pub forged: u64,
    /// Here before, or too late.
    pub replayed: u64,
    /// Of a process that has not proven that it lives.
    pub unproven: u64,
    /// Not answered: more came than is answered in a second.
    pub over: u64,
    /// Questions of the round, and those that nobody answered.
    pub asked: u64,
    /// See `asked`.
    pub silent: u64,
    /// Times that this proxy was found silent and objected.
    pub refuted: u64,
    /// Times that it slept.
    pub stalls: u64,
}

pub(crate) struct Member {
    pub held: Held,
    /// It stands so since then.
    pub since: Time,
    /// It was heard then, directly.
    pub heard: Option<Time>,
    /// Questions that it may still answer, and whether they said who asks.
    pub open: Vec<(u32, bool)>,
    /// Last asked outside of the round.
    pub asked: Option<Time>,
    pub window: Window,
    pub suspicion: Option<Suspicion>,
    pub name: String,
    pub zone: String,
    /// It has our name.
    pub knows_us: bool,
    /// When it last changed its process, or two processes answered one question.
    pub boots: Vec<Time>,
    /// The question that it last answered, and which of its processes did.
    pub answer: Option<(u32, Boot)>,
}

/// One proxy's part of the tier.
pub struct Peers {
    pub(crate) settings: Settings,
    pub(crate) seal: Seal,
    pub(crate) told: Told,
    pub(crate) own: Own,
    pub(crate) counter: u64,
    pub(crate) dice: Pcg64Mcg,
    pub(crate) members: Vec<Member>,
    pub(crate) suspects: BTreeSet<u16>,
    /// Others that live.
    pub(crate) living: usize,
    pub(crate) records: Records,
    pub(crate) rumors: Rumors,
    pub(crate) version: u32,
    pub(crate) health: Health,
    pub(crate) counts: Counts,
    // Asking.
    pub(crate) round: Vec<u16>,
    pub(crate) probe: Option<Probe>,
    pub(crate) next_probe: Time,
    pub(crate) lost_round: Vec<u16>,
    /// Of the lost those that died lately, how many, and whether one of them is next.
    pub(crate) fresh_round: Vec<u16>,
    pub(crate) fresh: usize,
    pub(crate) fresh_next: bool,
    pub(crate) next_try: Time,
    pub(crate) eager_until: Time,
    /// Last answer of anybody.
    pub(crate) answered: Time,
    // Telling.
    pub(crate) push_round: Vec<u16>,
    pub(crate) push_began: Time,
    /// How long the last whole round of records took.
    pub(crate) push_took: Micros,
    pub(crate) next_push: Time,
    /// When rumours last went out.
    pub(crate) rumored: Time,
    /// Until then the budget is spent.
    pub(crate) busy: Time,
    /// Answers to others that may be sent now.
    pub(crate) answers: (f64, Time),
    // Time.
    pub(crate) due: Time,
    /// What is read before the next turn may be so old.
    pub(crate) lag: Micros,
    pub(crate) woke: Time,
    pub(crate) changed: Time,
    tidy: Time,
    begun: bool,
    pub(crate) gone: bool,
    /// When others first and last asked for another process at this place.
    rival: Option<(Time, Time)>,
}

impl Peers {
    /// One that has just started. `boot` is drawn anew for each start and not 0; `seed` decides all its draws.
    ///
    /// # Errors
    /// What is told can't be a tier: see [`ToldError`]. Settings are to be checked by [`Settings::check`] before.
    pub fn new(
        settings: Settings, seal: Seal, told: Told, boot: Boot, seed: u64, now: Time,
    ) -> Result<Peers, ToldError> {
        told.check(&seal)?;
        let places = told.addresses.len();
        let member = |_| Member {
            held: Held::default(),
            since: now,
            heard: None,
            open: Vec::new(),
            asked: None,
            window: Window::default(),
            suspicion: None,
            name: String::new(),
            zone: String::new(),
            knows_us: false,
            boots: Vec::new(),
            answer: None,
        };
        Ok(Peers {
            members: (0..places).map(member).collect(),
            records: Records::new(places),
            settings,
            seal,
            told,
            own: Own::new(boot),
            counter: 0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            suspects: BTreeSet::new(),
            living: 0,
            rumors: Rumors::default(),
            version: 0,
            health: Health::default(),
            counts: Counts::default(),
            round: Vec::new(),
            probe: None,
            next_probe: now,
            lost_round: Vec::new(),
            fresh_round: Vec::new(),
            fresh: 0,
            fresh_next: false,
            next_try: now,
            eager_until: now + EAGER,
            answered: now,
            push_round: Vec::new(),
            push_began: now,
            push_took: Micros(0),
            next_push: now,
            rumored: Time(0),
            busy: now,
            answers: (crate::telling::ANSWERS_BURST, now),
            due: now,
            lag: Micros(0),
            woke: now,
            changed: now,
            tidy: now + TIDY,
            begun: false,
            gone: false,
            rival: None,
        })
    }

    /// Time has passed: to be called at [`Peers::wake`] at the latest, after all datagrams that have come.
    pub fn turn(&mut self, now: Time, out: &mut Vec<Output>) {
        self.awake(now, out);
        self.lag = Micros(0);
        if self.gone {
            return;
        }
        if !self.begun {
            self.begun = true;
            self.greet_all(out);
        }
        self.plead(now, out);
        self.repeat(now, out);
        self.bury(now, out);
        self.next_question(now, out);
        self.try_lost(now, out);
        self.push(now, out);
        self.gossip(now, out);
        if now >= self.tidy {
            self.tidy = now + TIDY;
            self.forget(now, out);
        }
        self.due = self.wake();
    }

    /// When it wants a turn at the latest.
    pub fn wake(&self) -> Time {
        if self.gone {
            return Time(u64::MAX);
        }
        if !self.begun {
            return self.due;
        }
        let again = |p: &Probe| match (p.pleaded, p.repeated) {
            (false, _) => Some(self.plea_at(p)),
            (true, false) => Some(self.repeat_at(p)),
            _ => None,
        };
        let plea = self.probe.as_ref().and_then(again);
        let ends = |p: &u16| [self.suspicion_end(*p), self.confirm_at(*p)].into_iter().flatten().min();
        let bury = self.suspects.iter().filter_map(ends).min();
        let some = |due: bool, at: Time| due.then_some(at);
        let lost = self.told.addresses.len() - 1 - self.living;
        [
            some(true, self.tidy),
            some(self.living > 0, self.next_probe),
            plea,
            bury,
            some(lost > 0, self.next_try.max(self.busy)),
            some(self.living > 0 && self.version > 0, self.next_push.max(self.busy)),
            some(self.living > 0 && !self.rumors.is_empty(), self.gossip_at()),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(Time(u64::MAX))
    }

    /// This proxy's record from now on; it goes to all others bit by bit. `false` where it is too long.
    pub fn publish(&mut self, now: Time, body: &[u8]) -> bool {
        if body.len() > RECORD_BYTES {
            return false;
        }
        if self.version == 0 {
            self.next_push = now;
            self.push_began = now;
        }
        self.version += 1;
        let word = (self.own.boot, self.version);
        self.records.take(now, self.told.own, word, Micros(0), body)
    }

    /// Says something to the host of one that lives, at once; it may get lost. `false` where it is too long, or nobody is
    /// known to live there.
    pub fn note(&mut self, now: Time, place: u16, body: &[u8], out: &mut Vec<Output>) -> bool {
        if body.len() > NOTE_BYTES || self.gone || !self.other(place) || !self.standing(place).lives() {
            return false;
        }
        let mut draft = self.draft(place);
        let fits = draft.push(&Section::Note { body: body.to_vec() });
        let before = self.counts.sent_bytes;
        self.send(place, draft, out);
        self.spend(now, self.counts.sent_bytes - before);
        fits
    }

    /// This proxy leaves in order: all living ones are told once, and nothing more is said. Not to be called where a
    /// successor already has the place.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.gone, true) {
            return;
        }
        for place in self.others_living() {
            self.say_left(place, out);
        }
    }

    /// Whether it has slept since it was last to be called; then what it waits for begins anew.
    pub(crate) fn awake(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.begun || now - self.due <= STALL {
            return;
        }
        let span = now - self.due;
        self.due = now;
        self.lag = span;
        self.woke = now;
        self.counts.stalls += 1;
        self.health.doubted();
        if let Some(probe) = &mut self.probe {
            probe.sent = probe.sent + span;
        }
        self.next_probe = self.next_probe.max(now);
        for place in &self.suspects {
            if let Some(suspicion) = &mut self.members[usize::from(*place)].suspicion {
                let began = suspicion.began() + span;
                suspicion.put_off(began);
            }
        }
        self.be_eager(now);
        out.push(Output::Stalled { span });
    }

    /// Lost ones are tried at a quick rate for a while.
    pub(crate) fn be_eager(&mut self, now: Time) {
        self.eager_until = now + EAGER;
        self.next_try = now;
    }

    pub(crate) fn eager(&self, now: Time) -> bool {
        now < self.eager_until
    }

    /// A place of the list that is another's.
    pub(crate) fn other(&self, place: u16) -> bool {
        place != self.told.own && usize::from(place) < self.members.len()
    }

    pub(crate) fn member(&mut self, place: u16) -> &mut Member {
        &mut self.members[usize::from(place)]
    }

    pub(crate) fn standing(&self, place: u16) -> Standing {
        self.members[usize::from(place)].held.standing()
    }

    pub(crate) fn others_living(&self) -> Vec<u16> {
        self.others(|standing| standing.lives())
    }

    pub(crate) fn others(&self, wanted: impl Fn(Standing) -> bool) -> Vec<u16> {
        let places = 0..self.members.len() as u16;
        places.filter(|p| *p != self.told.own && wanted(self.standing(*p))).collect()
    }

    pub(crate) fn below(&mut self, below: usize) -> usize {
        (self.dice.next_u32() as usize) % below.max(1)
    }

    pub(crate) fn shuffle(&mut self, places: &mut [u16]) {
        for i in (1..places.len()).rev() {
            let j = self.below(i + 1);
            places.swap(i, j);
        }
    }

    /// Hearsay about another proxy. `true` where it is of a boot that should be asked.
    pub(crate) fn hear(
        &mut self, now: Time, place: u16, claim: Claim, why: Why, out: &mut Vec<Output>,
    ) -> bool {
        let before = self.members[usize::from(place)].held;
        match self.member(place).held.hear(claim) {
            Heard::News => self.moved(now, place, before, why, out),
            Heard::Known => {}
            Heard::Ask => return true,
        }
        false
    }

    /// A fresh answer of another proxy.
    pub(crate) fn prove(
        &mut self, now: Time, place: u16, boot: Boot, incarnation: u32, out: &mut Vec<Output>,
    ) {
        let before = self.members[usize::from(place)].held;
        let member = self.member(place);
        if member.held.prove(boot, incarnation) != Heard::News {
            return;
        }
        if before.boot() != Some(boot) {
            // What is left of the former process is void: its open questions, too.
            member.open.clear();
            member.window = Window::default();
            member.heard = None;
            member.knows_us = false;
            if before.boot().is_some() {
                self.contest(now, place, out);
            }
            self.records.drop(place);
        }
        self.moved(now, place, before, Why::Answered, out);
    }

    /// A sign that two processes live at a place; some of them soon after one another are more than a restart.
    pub(crate) fn contest(&mut self, now: Time, place: u16, out: &mut Vec<Output>) {
        let member = self.member(place);
        let known = member.contested(now);
        member.boots.push(now);
        if member.boots.len() > CONTESTS {
            member.boots.remove(0);
        }
        if member.contested(now) && !known {
            out.push(Output::Contested { place });
        }
    }

    /// Somebody asks for another process at this place: soon after a start that is the former one, later a rival.
    fn rival(&mut self, now: Time, out: &mut Vec<Output>) {
        let (first, _) = self.rival.filter(|(_, last)| now - *last < CONTEST).unwrap_or((now, now));
        if now - first < RIVAL {
            self.rival = Some((first, now));
            return;
        }
        self.rival = None;
        out.push(Output::Contested { place: self.told.own });
    }

    /// Something wrong was said of this proxy. `true` where it objected.
    pub(crate) fn accused(&mut self, now: Time, claim: Claim, out: &mut Vec<Output>) -> bool {
        if claim.boot != self.own.boot && claim.standing.lives() {
            self.rival(now, out);
        }
        if !self.own.accused(claim) {
            return false;
        }
        self.counts.refuted += 1;
        if claim.boot == self.own.boot {
            self.health.doubted();
        }
        let (place, claim) = (self.told.own, self.own.claim());
        self.rumors.add(place, claim, place);
        true
    }

    /// The books after a claim has changed.
    pub(crate) fn moved(&mut self, now: Time, place: u16, before: Held, why: Why, out: &mut Vec<Output>) {
        let by = if let Why::Told(by) = why { by } else { self.told.own };
        let member = self.member(place);
        let (from, to) = (before.standing(), member.held.standing());
        let Some(claim) = member.held.claim() else { return };
        let another = before.boot().is_some_and(|b| b != claim.boot);
        member.suspicion = (to == Standing::Suspect).then(|| Suspicion::new(now, by));
        if to == Standing::Suspect {
            self.suspects.insert(place);
        } else {
            self.suspects.remove(&place);
        }
        self.rumors.add(place, claim, by);
        if from == to && !another {
            return; // a higher incarnation only
        }
        self.member(place).since = now;
        if from.lives() != to.lives() || another {
            self.changed = now;
        }
        match (from.lives(), to.lives()) {
            (false, true) => {
                self.living += 1;
                // Anywhere in the round, or a newcomer would wait for a whole one.
                let at = self.below(self.round.len() + 1);
                self.round.insert(at, place);
                if from == Standing::Dead && !another {
                    self.be_eager(now); // a link is whole again: others may be reached as well
                }
            }
            (true, false) => {
                self.living -= 1;
                self.records.drop(place);
                self.fresh += usize::from(to == Standing::Dead);
            }
            _ => {}
        }
        if to == Standing::Suspect {
            self.challenge(now, place, out); // nobody is buried unasked
        }
        let (boot, incarnation) = (claim.boot, claim.incarnation);
        out.push(Output::Moved(Transition { place, from, to, boot, incarnation, why }));
    }

    fn forget(&mut self, now: Time, out: &mut Vec<Output>) {
        for place in self.others(|s| matches!(s, Standing::Dead | Standing::Left)) {
            let forget = self.settings.forget;
            let member = self.member(place);
            let Some(claim) = member.held.claim().filter(|_| now - member.since >= forget) else { continue };
            member.held.forget();
            member.since = now;
            self.rumors.remove(place);
            let (boot, incarnation, why) = (claim.boot, claim.incarnation, Why::Forgotten);
            let (from, to) = (claim.standing, Standing::Unseen);
            out.push(Output::Moved(Transition { place, from, to, boot, incarnation, why }));
        }
    }

    /// This process, as the others know it.
    pub fn own(&self) -> Own {
        self.own
    }

    /// The own place.
    pub fn place(&self) -> u16 {
        self.told.own
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What is seen now, and how sure that is.
    pub fn view(&self, now: Time) -> View {
        let count = |wanted: Standing| self.others(|s| s == wanted).len();
        View {
            told: self.members.len(),
            living: 1 + self.living,
            suspect: self.suspects.len(),
            dead: count(Standing::Dead),
            left: count(Standing::Left),
            unseen: count(Standing::Unseen),
            unchanged: now - self.changed,
            answered: now - self.answered,
            awake: now - self.woke,
            health: self.health.factor(),
        }
    }

    /// The places that live, in their order, the own one among them.
    pub fn living(&self) -> Vec<u16> {
        let places = 0..self.members.len() as u16;
        places.filter(|p| *p == self.told.own || self.standing(*p).lives()).collect()
    }

    /// The process that lives at a place.
    pub fn living_boot(&self, place: u16) -> Option<Boot> {
        let held = self.members.get(usize::from(place))?.held;
        held.boot().filter(|_| held.standing().lives())
    }

    /// A living proxy's record.
    pub fn record(&self, place: u16) -> Option<&Record> {
        self.records.get(place)
    }

    /// The zone that a place stands in; empty before it was told.
    pub fn zone(&self, place: u16) -> &str {
        match self.members.get(usize::from(place)) {
            _ if place == self.told.own => &self.told.zone,
            member => member.map_or("", |m| &m.zone),
        }
    }

    /// All places of the list, in their order.
    pub fn all(&self, now: Time) -> Vec<PeerView> {
        let view = |(place, m): (usize, &Member)| {
            let own = place == usize::from(self.told.own);
            let claim = if own { Some(self.own.claim()) } else { m.held.claim() };
            PeerView {
                place: place as u16,
                address: self.told.addresses[place],
                name: if own { self.told.name.clone() } else { m.name.clone() },
                zone: self.zone(place as u16).into(),
                standing: claim.map_or(Standing::Unseen, |c| c.standing),
                since: m.since,
                boot: claim.map(|c| c.boot),
                incarnation: claim.map_or(0, |c| c.incarnation),
                heard: m.heard.map(|at| now - at),
                record_age: self.records.get(place as u16).map(|r| r.age(now)),
                contested: m.contested(now),
            }
        };
        self.members.iter().enumerate().map(view).collect()
    }
}

impl Member {
    fn contested(&self, now: Time) -> bool {
        self.boots.len() == CONTESTS && now - self.boots[0] < CONTEST
    }

    /// A question is out.
    pub fn asked(&mut self, nonce: u32, hello: bool) {
        if self.open.len() == OPEN_QUESTIONS {
            self.open.remove(0);
        }
        self.open.push((nonce, hello));
    }

    /// An answer has come: each question takes one.
    pub fn answers(&mut self, nonce: u32) -> bool {
        let Some(at) = self.open.iter().position(|(n, _)| *n == nonce) else { return false };
        let (_, hello) = self.open.remove(at);
        self.knows_us |= hello;
        true
    }
}

/// One place of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Its number.
    pub place: u16,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its name, once it was told.
    pub name: String,
    /// Its zone, once it was told.
    pub zone: String,
    /// How it stands.
    pub standing: Standing,
    /// Since when.
    pub since: Time,
    /// Its process, once it was met.
    pub boot: Option<Boot>,
    /// That process's incarnation.
    pub incarnation: u32,
    /// So long ago it was heard directly.
    pub heard: Option<Micros>,
    /// How old its record is.
    pub record_age: Option<Micros>,
    /// Two living processes claim it.
    pub contested: bool,
}
