//! Points in time, durations and identifiers.

/// A point in time, in microseconds of the host's clock, which starts at an arbitrary value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
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
    /// The duration since `earlier`; zero if that is later.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// The duration of `secs` seconds; zero for a negative number.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The duration times a factor; zero for a negative factor.
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
    /// A client request; never reused.
    RequestId(u64);
    /// The address of a server process; the same number at every proxy.
    BackendId(u64);
    /// A zone.
    ZoneId(u64);
    /// A cell: a few backends that share the idempotency keys that they have received.
    CellId(u64);
    /// A kind of machine (speed class): backends of one kind are assumed to be equally fast.
    KindId(u64);
    /// Index into [`Config::classes`](super::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](super::Config::tenants).
    TenantId(usize);
    /// Index of an attempt within its request, from 0 in the order of dispatch.
    AttemptNo(u32);
    /// Identifies a timer.
    TimerToken(u64);
}
