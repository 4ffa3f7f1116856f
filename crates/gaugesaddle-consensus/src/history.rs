//! State updates for other replicas: a delta against a state that the receiver has, else the full state.

use crate::settings::MAX_ACCEPTED;
use gaugesaddle_protocol::{AcceptedChange, DocumentUpdate, LogPosition, State, StateUpdate};
use std::collections::VecDeque;

/// Earlier states that are retained as bases of deltas.
const MAX_VERSIONS: usize = 16;
/// Limit on the total size of their documents.
const MAX_BYTES: usize = 4 << 20;

/// The parts of an earlier state that a delta needs.
#[derive(Clone, Debug)]
struct Version {
    position: LogPosition,
    revision: u64,
    document: Vec<u8>,
}

/// The newest earlier states of a leader. The oldest leaves first, beyond [`MAX_VERSIONS`] or [`MAX_BYTES`].
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    versions: VecDeque<Version>,
}

impl History {
    /// Adds a state that is about to be replaced.
    pub fn push(&mut self, state: &State) {
        self.versions.push_back(Version {
            position: state.position,
            revision: state.revision,
            document: state.document.clone(),
        });
        while self.exceeds_limits() {
            self.versions.pop_front();
        }
    }

    fn exceeds_limits(&self) -> bool {
        let bytes: usize = self.versions.iter().map(|version| version.document.len()).sum();
        self.versions.len() > MAX_VERSIONS || bytes > MAX_BYTES
    }

    /// An update to `state` for a receiver that has the state at `received`; full where that one is not retained.
    pub fn update(&self, received: Option<LogPosition>, state: &State) -> StateUpdate {
        let base = self.versions.iter().find(|version| Some(version.position) == received);
        // Revisions rise with each accepted change.
        let is_new = |accepted: &&AcceptedChange| base.is_none_or(|base| accepted.revision > base.revision);
        StateUpdate {
            base: base.map(|base| base.position),
            position: state.position,
            revision: state.revision,
            document: DocumentUpdate::between(base.map(|base| base.document.as_slice()), &state.document),
            accepted: state.accepted.iter().filter(is_new).copied().collect(),
            pruned_revision: state.pruned_revision,
            voters: state.voters.clone(),
            outgoing: state.outgoing.clone(),
        }
    }
}

/// Drops the oldest accepted changes beyond [`MAX_ACCEPTED`], the same ones on every replica. Returns the highest
/// revision that was dropped.
pub(crate) fn drop_oldest(accepted: &mut Vec<AcceptedChange>) -> Option<u64> {
    let surplus = accepted.len().saturating_sub(MAX_ACCEPTED);
    accepted.drain(..surplus).map(|accepted| accepted.revision).max()
}

/// The state that results from an update; `None` where its base is another state than the present one.
pub(crate) fn apply(state: &State, update: StateUpdate) -> Option<State> {
    let (base, mut accepted) = match update.base {
        None => (None, Vec::new()),
        Some(position) if position == state.position => {
            (Some(state.document.as_slice()), state.accepted.clone())
        }
        Some(_) => return None,
    };
    accepted.extend(update.accepted);
    drop_oldest(&mut accepted);
    Some(State {
        position: update.position,
        revision: update.revision,
        document: update.document.apply(base).ok()?,
        accepted,
        pruned_revision: update.pruned_revision,
        voters: update.voters,
        outgoing: update.outgoing,
    })
}
