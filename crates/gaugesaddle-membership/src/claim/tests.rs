use super::*;
use Standing::*;

const A: Boot = Boot(7);
const B: Boot = Boot(9);

fn claim(boot: Boot, incarnation: u32, standing: Standing) -> Claim {
    Claim { boot, incarnation, standing }
}

fn met(claim: Claim) -> Held {
    let mut held = Held::default();
    assert_eq!(held.prove(claim.boot, claim.incarnation), Heard::News);
    if claim.standing != Alive {
        assert!(held.judge(claim.standing).is_some());
    }
    held
}

/// Every pair of standings at every order of incarnations: what hearsay about the same boot changes.
#[test]
fn hearsay_moves_a_boot_forward_only() {
    for from in [Alive, Suspect, Dead, Left] {
        for to in [Alive, Suspect, Dead, Left] {
            for (incarnation, news) in [(4, false), (5, to > from), (6, true)] {
                let mut held = met(claim(A, 5, from));
                let heard = held.hear(claim(A, incarnation, to));
                assert_eq!(heard == Heard::News, news, "{from:?} to {to:?} at {incarnation}");
                assert_eq!(held.standing(), if news { to } else { from });
            }
        }
    }
}

#[test]
fn the_unseen_are_met_by_proof_alone() {
    let mut held = Held::default();
    assert_eq!(held.hear(claim(A, 3, Alive)), Heard::Ask);
    assert_eq!(held.hear(claim(A, 3, Dead)), Heard::Known, "no need to ask the dead");
    assert_eq!(held.standing(), Unseen);
    assert_eq!(held.prove(A, 3), Heard::News);
    assert_eq!(held.standing(), Alive);
}

#[test]
fn another_boot_comes_by_proof_alone_and_only_above_what_is_held() {
    for from in [Alive, Suspect, Dead, Left] {
        let mut held = met(claim(A, 5, from));
        assert_eq!(held.hear(claim(B, 9, Alive)), Heard::Ask);
        assert_eq!(held.boot(), Some(A));
        assert_eq!(held.prove(B, 5), Heard::Ask, "asked before the last news of the former one");
        assert_eq!(held.prove(B, 6), Heard::News);
        assert_eq!(held.claim(), Some(claim(B, 6, Alive)));
        assert_eq!(held.hear(claim(A, 8, Alive)), Heard::Ask, "late news of the former one");
        assert_eq!(held.hear(claim(A, 8, Dead)), Heard::Known);
        assert_eq!(held.boot(), Some(B));
    }
}

#[test]
fn own_judgement_goes_forward_and_needs_somebody_met() {
    assert_eq!(Held::default().judge(Dead), None);
    let mut held = met(claim(A, 5, Alive));
    assert_eq!(held.judge(Suspect), Some(claim(A, 5, Suspect)));
    assert_eq!(held.judge(Suspect), None);
    assert_eq!(held.judge(Dead), Some(claim(A, 5, Dead)));
    held.forget();
    assert_eq!(held.standing(), Unseen);
}

#[test]
fn a_process_refutes_what_is_wrong_and_lets_the_rest_stand() {
    let mut own = Own::new(A);
    assert!(!own.accused(claim(A, 0, Alive)));
    assert!(!own.accused(claim(B, 0, Unseen)));
    assert!(own.accused(claim(A, 0, Suspect)));
    assert_eq!(own.incarnation, 1);
    assert!(!own.accused(claim(A, 0, Dead)), "refuted already");
    assert!(own.accused(claim(B, 4, Alive)), "somebody else in its place");
    assert_eq!(own.incarnation, 5);
    assert!(own.accused(claim(A, MOST_INCARNATION, Dead)));
    assert_eq!(own.incarnation, MOST_INCARNATION, "and no further");
}
