use super::*;
use crate::member_state::{Boot, MemberState};

fn status(incarnation: u32) -> MemberStatus {
    MemberStatus { boot: Boot(1), incarnation, state: MemberState::Alive }
}

fn send(updates: &mut UpdateQueue, capacity: usize) -> Vec<(u16, u32)> {
    let mut out = Vec::new();
    updates.send_pending(2, |subject, status, _| {
        let fits = out.len() < capacity;
        if fits {
            out.push((subject, status.incarnation));
        }
        fits
    });
    out
}

#[test]
fn least_sent_updates_are_sent_first_and_removed_at_the_limit() {
    let mut updates = UpdateQueue::default();
    (1..=3).for_each(|n| updates.add(n, status(0), 0));
    assert_eq!(send(&mut updates, 2), [(1, 0), (2, 0)]);
    assert_eq!(send(&mut updates, 2), [(3, 0), (1, 0)]);
    assert_eq!(send(&mut updates, 9), [(2, 0), (3, 0)]);
    assert!(updates.is_empty() && updates.order.is_empty());
}

#[test]
fn a_newer_update_replaces_the_pending_one() {
    let mut updates = UpdateQueue::default();
    updates.add(1, status(0), 0);
    assert_eq!(send(&mut updates, 9), [(1, 0)]);
    updates.add(1, status(1), 0);
    assert_eq!((updates.by_subject.len(), updates.order.len()), (1, 1));
    assert_eq!(send(&mut updates, 9), [(1, 1)]);
    updates.remove(1);
    assert!(updates.is_empty() && updates.order.is_empty());
}
