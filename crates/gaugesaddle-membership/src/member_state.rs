//! The state of a member in the view of one process, and its transition rules. This is the core of the membership
//! protocol. It depends on neither time nor network, so that `tests/model.rs` can check it under every order of
//! messages.
//!
//! Updates about one process are ordered by incarnation first and by state second (SWIM, section 4.2). Members that
//! receive the same updates therefore end with the same status, in any order of arrival.
//!
//! Another process at an index is accepted only if it acknowledges a probe that this process itself sent. Updates and
//! other datagrams do not suffice, because they may be old. A process that has ended acknowledges no probe, so a former
//! process never becomes live again, even if datagrams are delayed, duplicated or replayed.

/// Identifies one run of a process: a random number that is drawn at each start and is never 0. Boots have no temporal
/// order; of two processes at one index, the newer one has the higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Boot(pub u32);

/// The state of a member.
///
/// ```text
///                  same boot, higher incarnation (only the member itself raises it)
///          +--------------------------------------------------------------------+
///          v                                                                    |
/// Unknown ----> Alive -----------> Suspect -----------> Dead ---------> Departed-+
///    ^    ack     |  no ack from     |   suspicion       |  reported by     |
///    |            |  the member      |   timed out       |  the member      |
///    +------------+------------------+-------------------+------------------+
///                    removed after the retention time (Dead and Departed)
///
/// any state ---- ack from another boot with a higher incarnation ----> Alive with that boot
/// ```
///
/// The order of the variants decides between updates of one incarnation, and their numbers are sent in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Configured, but it has not acknowledged any probe of this process.
    Unknown,
    /// It acknowledges probes.
    Alive,
    /// A probe failed, and the member has not refuted the suspicion yet.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced its departure.
    Departed,
}

impl MemberState {
    /// The name in log lines and in the published state. Operators' tools parse these names: `Departed` remains
    /// "left", and `Unknown` remains "unseen".
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Unknown => "unseen",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Departed => "left",
        }
    }

    /// Whether the member counts as live. A suspect does until its suspicion times out.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The status of one process of a member, as carried by updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// The process.
    pub boot: Boot,
    /// Incremented only by that process, to refute a wrong status. At most [`MAX_INCARNATION`].
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

/// The highest incarnation that is accepted from the network. No process refutes that often, and the limit leaves room
/// for the increment of a refutation.
pub const MAX_INCARNATION: u32 = 1 << 30;

/// The result of an update or an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// It was newer and has been applied.
    Applied,
    /// It was already known or older.
    Stale,
    /// It concerns a process that is not verified; only the acknowledgement of a probe can verify it.
    ProbeNeeded,
}

/// The status of one other member's current process, as known to this process; none while the member is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KnownMember(Option<MemberStatus>);

impl KnownMember {
    /// The status; `None` while the member is unknown.
    pub fn status(self) -> Option<MemberStatus> {
        self.0
    }

    /// The state; [`MemberState::Unknown`] without a status.
    pub fn state(self) -> MemberState {
        self.0.map_or(MemberState::Unknown, |status| status.state)
    }

    /// The member's current process; `None` while it is unknown.
    pub fn boot(self) -> Option<Boot> {
        self.0.map(|status| status.boot)
    }

    /// Applies an update from any source, the member's own datagrams included.
    pub fn apply(&mut self, update: MemberStatus) -> UpdateResult {
        match self.0 {
            Some(known) if known.boot == update.boot => {
                if (update.incarnation, update.state) > (known.incarnation, known.state) {
                    self.0 = Some(update);
                    UpdateResult::Applied
                } else {
                    UpdateResult::Stale
                }
            }
            // An update that declares another process of the member dead or departed does not require a probe.
            _ if !update.state.is_live() => UpdateResult::Stale,
            _ => UpdateResult::ProbeNeeded,
        }
    }

    /// Applies an acknowledgement of a probe of this process: `boot` was alive after the probe was sent.
    pub fn apply_ack(&mut self, boot: Boot, incarnation: u32) -> UpdateResult {
        let alive = MemberStatus { boot, incarnation, state: MemberState::Alive };
        match self.0 {
            Some(known) if known.boot == boot => self.apply(alive),
            // A probe carries the known status, and the process that acknowledges it raises its incarnation above that.
            // An incarnation that is not higher means that a newer update of the former process arrived in between; the
            // next probe carries that one.
            Some(known) if incarnation <= known.incarnation => UpdateResult::ProbeNeeded,
            _ => {
                self.0 = Some(alive);
                UpdateResult::Applied
            }
        }
    }

    /// Declares the member suspect or dead, based on this process's own observation. Returns the new status, or `None`
    /// if the member is unknown or already in that state or a later one.
    pub fn declare(&mut self, state: MemberState) -> Option<MemberStatus> {
        let known = self.0.filter(|status| status.state < state)?;
        self.0 = Some(MemberStatus { state, ..known });
        self.0
    }

    /// Removes the status of a member that has been dead or departed for the retention time.
    pub fn clear_status(&mut self) {
        self.0 = None;
    }
}

/// This process's own identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LocalMember {
    /// This process.
    pub boot: Boot,
    /// Incremented to refute a wrong status.
    pub incarnation: u32,
}

impl LocalMember {
    /// The identity of a process that has just started.
    pub fn new(boot: Boot) -> LocalMember {
        LocalMember { boot, incarnation: 0 }
    }

    /// Checks an update about this process's own index. It is wrong if it reports this process in a state other than
    /// alive, or another process at this index. Returns `true` if the incarnation has been raised to refute it.
    pub fn refute(&mut self, update: MemberStatus) -> bool {
        let is_wrong = update.boot != self.boot || update.state != MemberState::Alive;
        if !is_wrong || update.state == MemberState::Unknown || update.incarnation < self.incarnation {
            return false;
        }
        self.incarnation = update.incarnation.saturating_add(1).min(MAX_INCARNATION);
        true
    }

    /// The correct status of this process, for the other members.
    pub fn status(self) -> MemberStatus {
        MemberStatus { boot: self.boot, incarnation: self.incarnation, state: MemberState::Alive }
    }
}

#[cfg(test)]
mod tests;
