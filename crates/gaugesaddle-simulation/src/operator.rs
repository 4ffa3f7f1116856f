//! An operator: brings changes, sends an order again until its answer is clear, and reads back.

use crate::control::{Answer, Call, Packet};
use crate::history::{History, OrderRecord, Outcome};
use crate::Millis;
use gaugesaddle_protocol::{ChangeBody, ChangeReply, ConfigurationChange};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// An answer is waited for so long.
const PATIENCE: Millis = 1000;
/// Pause before an order is sent again.
const PAUSE: Millis = 60;
/// Between two changes on an ordinary day.
const ORDINARY: Millis = 900;
/// An order is given up after so many attempts.
const MAX_ATTEMPTS: u32 = 30;
/// Bytes that documents are filled up with, so that patches have something to leave out.
const ROUTES: u64 = 12;
/// One patch in so many removes its route.
const REMOVALS: u64 = 5;

/// What an operator is doing.
#[derive(Clone, Debug)]
enum Doing {
    /// Nothing until then.
    Resting(Millis),
    /// A read is under way.
    Reading { id: u64, record: usize, until: Millis },
    /// An order is under way, or waits to be sent again.
    Ordering { id: Option<u64>, record: usize, attempts: u32, until: Millis },
}

/// An operator.
pub struct Operator {
    number: u32,
    doing: Doing,
    /// The newest revision seen.
    base: u64,
    next_id: u64,
    /// Changes follow each other so fast until then.
    storm: Option<(Millis, Millis)>,
    /// Makes no further changes.
    pub stopped: bool,
}

/// A made-up configuration.
fn document(revision: u64, author: u32, salt: u64) -> Vec<u8> {
    let route = |n: u64| {
        let weight = if n == salt % ROUTES { salt } else { 90 };
        format!("{{\"name\":\"r-{n}\",\"pathPrefix\":\"/p{n}/\",\"weight\":{weight},\"by\":{author}}}")
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

/// A made-up change of one route, which is removed now and then: also where it is not there, which is refused.
fn patch(revision: u64, author: u32, salt: u64) -> Vec<u8> {
    let name = format!("r-{}", salt % ROUTES);
    let change = if salt % REMOVALS == 0 {
        format!("\"remove\":{{\"routes\":[\"{name}\"]}}")
    } else {
        format!("\"upsert\":{{\"routes\":[{{\"name\":\"{name}\",\"weight\":{salt},\"by\":{author}}}]}}")
    };
    format!("{{\"revision\":{revision},{change}}}").into_bytes()
}

impl Operator {
    /// An operator who begins at a time.
    pub fn new(number: u32, begin: Millis) -> Operator {
        let next_id = u64::from(number) << 40 | 1 << 61;
        Operator { number, doing: Doing::Resting(begin), base: 0, next_id, storm: None, stopped: false }
    }

    /// Changes come each so often for a while.
    pub fn hurry(&mut self, every: Millis, until: Millis) {
        self.storm = Some((every, until));
    }

    /// When it wants to be woken.
    pub fn deadline(&self) -> Millis {
        match &self.doing {
            Doing::Resting(until) => *until,
            Doing::Reading { until, .. } | Doing::Ordering { until, .. } => *until,
        }
    }

    /// Time has passed: the call to make now.
    pub fn tick(&mut self, now: Millis, random: &mut Pcg64Mcg, history: &mut History) -> Option<Packet> {
        if now < self.deadline() {
            return None;
        }
        match self.doing.clone() {
            Doing::Resting(_) if self.stopped => {
                self.doing = Doing::Resting(now + ORDINARY);
                None
            }
            Doing::Resting(_) if random.next_u64() % 3 == 0 => Some(self.read(now, history)),
            Doing::Resting(_) => Some(self.order(now, random, history)),
            Doing::Reading { .. } => {
                self.rest(now);
                None
            }
            Doing::Ordering { id: Some(_), record, attempts, .. } => {
                // No answer: the same order goes to another process.
                self.doing = Doing::Ordering { id: None, record, attempts, until: now + PAUSE };
                None
            }
            Doing::Ordering { id: None, record, attempts, .. } if attempts >= MAX_ATTEMPTS => {
                history.orders[record].ended = Some((now, Outcome::GivenUp));
                self.rest(now);
                None
            }
            Doing::Ordering { id: None, record, attempts, .. } => {
                Some(self.send(now, record, attempts + 1, history))
            }
        }
    }

    fn rest(&mut self, now: Millis) {
        let pause = match self.storm {
            Some((every, until)) if now < until => every,
            _ => ORDINARY,
        };
        self.doing = Doing::Resting(now + pause);
    }

    fn read(&mut self, now: Millis, history: &mut History) -> Packet {
        self.next_id += 1;
        let record = history.begin_read(now);
        self.doing = Doing::Reading { id: self.next_id, record, until: now + PATIENCE };
        Packet::Call { id: self.next_id, call: Call::Read }
    }

    fn order(&mut self, now: Millis, random: &mut Pcg64Mcg, history: &mut History) -> Packet {
        // Both may pick the same number, and now and then the same words.
        let revision = self.base + 1 + random.next_u64() % 2;
        let author = if random.next_u64() % 8 == 0 { 0 } else { self.number };
        let salt = random.next_u64() % if author == 0 { 2 } else { 100 };
        let body = match random.next_u64() % 2 {
            0 => ChangeBody::Full(document(revision, author, salt)),
            _ => ChangeBody::Patch(patch(revision, author, salt)),
        };
        history.orders.push(OrderRecord { base: self.base, revision, body, begun: now, ended: None });
        self.send(now, history.orders.len() - 1, 1, history)
    }

    fn send(&mut self, now: Millis, record: usize, attempts: u32, history: &History) -> Packet {
        self.next_id += 1;
        self.doing = Doing::Ordering { id: Some(self.next_id), record, attempts, until: now + PATIENCE };
        let OrderRecord { base, body, .. } = &history.orders[record];
        let order = ConfigurationChange { base: *base, body: body.clone() };
        Packet::Call { id: self.next_id, call: Call::Change(Box::new(order)) }
    }

    /// Takes an answer.
    pub fn receive(&mut self, now: Millis, id: u64, answer: Answer, history: &mut History) {
        match (self.doing.clone(), answer) {
            (Doing::Reading { id: own, record, .. }, Answer::Read(result)) if own == id => {
                if let Ok(configuration) = result {
                    let revision = configuration.as_ref().map_or(0, |c| c.revision);
                    self.base = revision;
                    history.end_read(now, record, configuration);
                }
                self.rest(now);
            }
            (Doing::Ordering { id: own, record, attempts, .. }, Answer::Change(reply)) if own == Some(id) => {
                self.ordered(now, record, attempts, reply, history);
            }
            // An answer to what is not waited for any more.
            _ => {}
        }
    }

    fn ordered(
        &mut self, now: Millis, record: usize, attempts: u32, reply: ChangeReply, history: &mut History,
    ) {
        let outcome = match reply {
            ChangeReply::Applied => Outcome::Taken,
            ChangeReply::Conflict { .. } | ChangeReply::Invalid { .. } => Outcome::Refused,
            ChangeReply::Indeterminate => {
                self.doing = Doing::Ordering { id: None, record, attempts, until: now + PAUSE };
                return;
            }
        };
        match reply {
            ChangeReply::Applied => self.base = self.base.max(history.orders[record].revision),
            ChangeReply::Conflict { current } => self.base = current,
            _ => {}
        }
        history.orders[record].ended = Some((now, outcome));
        self.rest(now);
    }
}
