//! States on their way to other replicas: told against a state that the receiver has, else whole.

use crate::settings::MAX_ACCEPTED;
use gaugesaddle_protocol::{Accepted, DocumentUpdate, LogPosition, State, StateUpdate};
use std::collections::VecDeque;

/// Earlier states that others may still have.
const MAX_VERSIONS: usize = 16;
/// Bytes of their documents.
const MAX_BYTES: usize = 4 << 20;

/// What must be known of an earlier state to tell a later one against it.
#[derive(Clone, Debug)]
struct Version {
    position: LogPosition,
    revision: u64,
    document: Vec<u8>,
}

/// The states that a leader has had lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    versions: VecDeque<Version>,
}

impl History {
    /// Keeps what is needed of a state that is about to be replaced.
    pub fn keep(&mut self, state: &State) {
        self.versions.push_back(Version {
            position: state.position,
            revision: state.revision,
            document: state.document.clone(),
        });
        let too_large = |versions: &VecDeque<Version>| {
            versions.len() > MAX_VERSIONS
                || versions.iter().map(|v| v.document.len()).sum::<usize>() > MAX_BYTES
        };
        while too_large(&self.versions) {
            self.versions.pop_front();
        }
    }

    /// Tells a state against the one that the receiver has, where that is known here.
    pub fn update(&self, held: Option<LogPosition>, state: &State) -> StateUpdate {
        let base = self.versions.iter().find(|v| Some(v.position) == held);
        // Revisions rise with each accepted order.
        let is_new = |a: &&Accepted| base.is_none_or(|base| a.revision > base.revision);
        StateUpdate {
            base: base.map(|base| base.position),
            position: state.position,
            revision: state.revision,
            document: DocumentUpdate::between(base.map(|base| base.document.as_slice()), &state.document),
            accepted: state.accepted.iter().filter(is_new).copied().collect(),
            forgotten: state.forgotten,
            voters: state.voters.clone(),
            outgoing: state.outgoing.clone(),
        }
    }
}

/// Keeps the newest accepted orders only; the highest revision that is dropped. Every replica drops the same ones.
pub(crate) fn drop_oldest(accepted: &mut Vec<Accepted>) -> Option<u64> {
    let surplus = accepted.len().saturating_sub(MAX_ACCEPTED);
    accepted.drain(..surplus).map(|a| a.revision).max()
}

/// The state that an update makes of the one at hand; `None` where it is told against another.
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
        forgotten: update.forgotten,
        voters: update.voters,
        outgoing: update.outgoing,
    })
}
