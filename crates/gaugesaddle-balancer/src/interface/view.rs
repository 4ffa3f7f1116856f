//! Views: the state of a proxy, for operators and for other decisions of the host.

use super::units::BackendId;

/// Why a backend's limit moved last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// No sign of a crowd yet, and no need of more.
    Start,
    /// Holding more made nothing later: a step up.
    Flat,
    /// Holding more made answers later: a step down.
    Crowded,
    /// The operator's least or most.
    Bound,
    /// It is not learned.
    Constant,
}

impl LimitReason {
    /// For people.
    pub fn name(self) -> &'static str {
        match self {
            LimitReason::Start => "start",
            LimitReason::Flat => "flat",
            LimitReason::Crowded => "crowded",
            LimitReason::Bound => "bound",
            LimitReason::Constant => "constant",
        }
    }
}

/// What is known of a backend's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// Which backend.
    pub backend: BackendId,
    /// What all proxies together may hold, by this one's part of the traffic.
    pub limit: f64,
    /// What this proxy may hold.
    pub room: u32,
    /// What it holds.
    pub held: u32,
    /// Latency of its recent answers, and what the same would have taken unloaded, s.
    pub latency: Option<(f64, f64)>,
    /// Why the limit moved last.
    pub why: LimitReason,
}

/// What the backends in use can do, by what this proxy knows of them, and what comes: requests a second of this proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// What they can do; infinite before any was served.
    pub able: f64,
    /// What comes of each class.
    pub demand: Vec<f64>,
}

/// What the backends of one zone are to this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Those that it uses.
    pub backends: u32,
    /// Of these so many it finds ill.
    pub ill: u32,
    /// What the others can do for this proxy, in requests a second; infinite before any was served.
    pub able: f64,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Load shedding did not let it in.
    Shed,
    /// Cold backends would have had it, beyond what they can bear.
    Cold,
    /// It was held until it could not be served in time any more.
    Held,
    /// Its attempts ended without an answer and none may follow.
    Spent,
}

/// How a proxy stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Requests a second that were let in, and that came.
    pub rate: f64,
    /// See `rate`.
    pub arrivals: f64,
    /// The part of the traffic that is let in, 0 to 1.
    pub admit: f64,
    /// Attempts that may be out.
    pub pool: f64,
    /// Attempts that are out.
    pub out: usize,
    /// Requests that wait for room.
    pub held: usize,
    /// Backends in use.
    pub ready: f64,
    /// The part of the traffic that has a place on a backend, 0 to 1 and a little more.
    pub pull: f64,
    /// Requests given up so far, by [`GivenUp`].
    pub given_up: [u64; 4],
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Standing { rate, arrivals, admit, pool, out, held, ready, pull, .. } = self;
        let [shed, cold, late, spent] = self.given_up;
        write!(
            f,
            "rate={rate:.1} arrivals={arrivals:.1} admit={admit:.2} pool={pool:.2} out={out} held={held} \
             ready={ready:.0} pull={pull:.2} shed={shed} cold={cold} late={late} spent={spent}"
        )
    }
}
