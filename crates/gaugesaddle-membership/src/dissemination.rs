//! The queue of updates to disseminate (SWIM, section 4.1): the newest update about each member, those sent least often
//! first, each sent a limited number of times.

use crate::member_state::MemberStatus;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    status: MemberStatus,
    reporter: u16,
    sends: u32,
}

/// At most one pending update for each member: the number of configured members bounds the queue.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    by_subject: BTreeMap<u16, PendingUpdate>,
    /// Number of sends and subject of each pending update.
    order: BTreeSet<(u32, u16)>,
}

impl UpdateQueue {
    /// Queues an update; it replaces the pending one about the same member.
    pub fn add(&mut self, subject: u16, status: MemberStatus, reporter: u16) {
        let update = PendingUpdate { status, reporter, sends: 0 };
        if let Some(replaced) = self.by_subject.insert(subject, update) {
            self.order.remove(&(replaced.sends, subject));
        }
        self.order.insert((0, subject));
    }

    /// Removes the pending update about a member.
    pub fn remove(&mut self, subject: u16) {
        if let Some(removed) = self.by_subject.remove(&subject) {
            self.order.remove(&(removed.sends, subject));
        }
    }

    /// Whether no update is pending.
    pub fn is_empty(&self) -> bool {
        self.by_subject.is_empty()
    }

    /// Passes pending updates to `send` as (subject, status, reporter), those sent least often first, until it returns
    /// `false` (the datagram is full). An update that has been sent `max_sends` times is removed.
    pub fn send_pending(&mut self, max_sends: u32, mut send: impl FnMut(u16, MemberStatus, u16) -> bool) {
        let mut sent = Vec::new();
        for (sends, subject) in &self.order {
            let Some(update) = self.by_subject.get(subject) else { continue };
            if !send(*subject, update.status, update.reporter) {
                break;
            }
            sent.push((*sends, *subject));
        }
        for (sends, subject) in sent {
            self.order.remove(&(sends, subject));
            if sends + 1 >= max_sends {
                self.by_subject.remove(&subject);
            } else if let Some(update) = self.by_subject.get_mut(&subject) {
                update.sends = sends + 1;
                self.order.insert((sends + 1, subject));
            }
        }
    }
}

#[cfg(test)]
mod tests;
