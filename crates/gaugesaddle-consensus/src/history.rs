//! State updates for other replicas: a delta against a state that the receiver has, or the full state.

use crate::settings::MAX_ACCEPTED;
use gaugesaddle_protocol::{AcceptedChange, DocumentUpdate, LogPosition, State, StateUpdate};
use std::collections::VecDeque;

/// Maximum number of earlier states that are retained as bases of deltas.
const MAX_RETAINED_STATES: usize = 16;
/// Limit on the total size of their documents, in bytes.
const MAX_RETAINED_BYTES: usize = 4 << 20;

/// The parts of an earlier state that a delta needs.
#[derive(Clone, Debug)]
struct RetainedState {
    position: LogPosition,
    revision: u64,
    document: Vec<u8>,
}

/// The most recent earlier states of a leader. Beyond [`MAX_RETAINED_STATES`] or [`MAX_RETAINED_BYTES`] the oldest is
/// dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    retained_states: VecDeque<RetainedState>,
    cached_update: Option<CachedUpdate>,
}

/// The document of the last update. All receivers get the same state, most of them against the same base, and computing
/// a delta of a large document delays heartbeats.
#[derive(Clone, Debug)]
struct CachedUpdate {
    base: Option<LogPosition>,
    position: LogPosition,
    document: DocumentUpdate,
}

impl History {
    /// Adds a state that is about to be replaced.
    pub fn push(&mut self, state: &State) {
        self.retained_states.push_back(RetainedState {
            position: state.position,
            revision: state.revision,
            document: state.document.clone(),
        });
        while self.exceeds_limits() {
            self.retained_states.pop_front();
        }
    }

    fn exceeds_limits(&self) -> bool {
        let bytes: usize = self.retained_states.iter().map(|retained| retained.document.len()).sum();
        self.retained_states.len() > MAX_RETAINED_STATES || bytes > MAX_RETAINED_BYTES
    }

    /// An update to `state` for a receiver that has the state at `received`; a full one if that state is not retained.
    pub fn update(&mut self, received: Option<LogPosition>, state: &State) -> StateUpdate {
        let base = self.retained_states.iter().find(|retained| Some(retained.position) == received);
        // Revisions increase with each accepted change.
        let is_new = |accepted: &&AcceptedChange| base.is_none_or(|base| accepted.revision > base.revision);
        StateUpdate {
            base: base.map(|base| base.position),
            position: state.position,
            revision: state.revision,
            document: document_update(&mut self.cached_update, base, state),
            accepted: state.accepted.iter().filter(is_new).copied().collect(),
            pruned_revision: state.pruned_revision,
            voters: state.voters.clone(),
            outgoing: state.outgoing.clone(),
        }
    }
}

/// The document of an update: the cached one if it has the same base and position, else a new one, which is cached.
fn document_update(
    cache: &mut Option<CachedUpdate>, base: Option<&RetainedState>, state: &State,
) -> DocumentUpdate {
    let base_position = base.map(|base| base.position);
    if let Some(cached) = cache.as_ref().filter(|c| c.base == base_position && c.position == state.position) {
        return cached.document.clone();
    }
    let document = DocumentUpdate::between(base.map(|base| base.document.as_slice()), &state.document);
    *cache = Some(CachedUpdate { base: base_position, position: state.position, document: document.clone() });
    document
}

/// Drops the oldest accepted changes beyond [`MAX_ACCEPTED`], the same ones on every replica. Returns the highest
/// revision that was dropped.
pub(crate) fn drop_oldest(accepted: &mut Vec<AcceptedChange>) -> Option<u64> {
    let surplus = accepted.len().saturating_sub(MAX_ACCEPTED);
    accepted.drain(..surplus).map(|accepted| accepted.revision).max()
}

/// The state that results from an update; `None` if the base of the update is not the present state or its document
/// cannot be applied.
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
