//! Times, spans and identifiers.

/// A point in time, in microseconds of the host's clock, which starts at an arbitrary value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl std::ops::Add<Micros> for Time {
    type Output = Time;
    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub for Time {
    type Output = Micros;
    /// The span since `earlier`; zero where that lies ahead.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// The span of `secs` seconds; negative ones give zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span times a factor; negative factors give zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never used again.
    RequestId(u64);
    /// One server process's address, numbered by the host; the same number at every proxy.
    BackendId(u64);
    /// A zone of the network.
    ZoneId(u64);
    /// A few backends that share the keys that they have seen.
    CellId(u64);
    /// A kind of machine (speed class): backends of one kind count as equally fast.
    KindId(u64);
    /// Index into [`Config::classes`](super::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](super::Config::tenants).
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNo(u32);
    /// Identifies a timer.
    TimerToken(u64);
}
