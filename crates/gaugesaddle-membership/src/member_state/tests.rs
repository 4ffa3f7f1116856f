use super::*;
use MemberState::*;

const A: Boot = Boot(7);
const B: Boot = Boot(9);

fn status(boot: Boot, incarnation: u32, state: MemberState) -> MemberStatus {
    MemberStatus { boot, incarnation, state }
}

fn known_member(status: MemberStatus) -> KnownMember {
    let mut known = KnownMember::default();
    assert_eq!(known.apply_ack(status.boot, status.incarnation), UpdateResult::Applied);
    if status.state != Alive {
        assert!(known.declare(status.state).is_some());
    }
    known
}

/// Covers every pair of states with a lower, an equal and a higher incarnation, for updates about one process.
#[test]
fn updates_are_applied_only_if_they_are_newer() {
    for from in [Alive, Suspect, Dead, Departed] {
        for to in [Alive, Suspect, Dead, Departed] {
            for (incarnation, is_newer) in [(4, false), (5, to > from), (6, true)] {
                let mut known = known_member(status(A, 5, from));
                let result = known.apply(status(A, incarnation, to));
                assert_eq!(result == UpdateResult::Applied, is_newer, "{from:?} to {to:?} at {incarnation}");
                assert_eq!(known.state(), if is_newer { to } else { from });
            }
        }
    }
}

#[test]
fn unknown_members_become_known_by_acks_only() {
    let mut known = KnownMember::default();
    assert_eq!(known.apply(status(A, 3, Alive)), UpdateResult::ProbeNeeded);
    assert_eq!(known.apply(status(A, 3, Dead)), UpdateResult::Stale, "dead members need no probe");
    assert_eq!(known.state(), Unknown);
    assert_eq!(known.apply_ack(A, 3), UpdateResult::Applied);
    assert_eq!(known.state(), Alive);
}

#[test]
fn another_process_needs_an_ack_with_a_higher_incarnation() {
    for from in [Alive, Suspect, Dead, Departed] {
        let mut known = known_member(status(A, 5, from));
        assert_eq!(known.apply(status(B, 9, Alive)), UpdateResult::ProbeNeeded);
        assert_eq!(known.boot(), Some(A));
        assert_eq!(
            known.apply_ack(B, 5),
            UpdateResult::ProbeNeeded,
            "probed before the last update of the former process"
        );
        assert_eq!(known.apply_ack(B, 6), UpdateResult::Applied);
        assert_eq!(known.status(), Some(status(B, 6, Alive)));
        assert_eq!(
            known.apply(status(A, 8, Alive)),
            UpdateResult::ProbeNeeded,
            "late update of the former process"
        );
        assert_eq!(known.apply(status(A, 8, Dead)), UpdateResult::Stale);
        assert_eq!(known.boot(), Some(B));
    }
}

#[test]
fn declarations_only_advance_the_state_of_known_members() {
    assert_eq!(KnownMember::default().declare(Dead), None);
    let mut known = known_member(status(A, 5, Alive));
    assert_eq!(known.declare(Suspect), Some(status(A, 5, Suspect)));
    assert_eq!(known.declare(Suspect), None);
    assert_eq!(known.declare(Dead), Some(status(A, 5, Dead)));
    known.clear_status();
    assert_eq!(known.state(), Unknown);
}

#[test]
fn a_process_refutes_wrong_statuses_only() {
    let mut local = LocalMember::new(A);
    assert!(!local.refute(status(A, 0, Alive)));
    assert!(!local.refute(status(B, 0, Unknown)));
    assert!(local.refute(status(A, 0, Suspect)));
    assert_eq!(local.incarnation, 1);
    assert!(!local.refute(status(A, 0, Dead)), "already refuted");
    assert!(local.refute(status(B, 4, Alive)), "another process at its index");
    assert_eq!(local.incarnation, 5);
    assert!(local.refute(status(A, MAX_INCARNATION, Dead)));
    assert_eq!(local.incarnation, MAX_INCARNATION, "the incarnation stays at the maximum");
}
