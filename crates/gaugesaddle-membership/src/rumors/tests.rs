use super::*;
use crate::claim::{Boot, Standing};

fn claim(incarnation: u32) -> Claim {
    Claim { boot: Boot(1), incarnation, standing: Standing::Alive }
}

fn told(rumors: &mut Rumors, room: usize) -> Vec<(u16, u32)> {
    let mut out = Vec::new();
    rumors.tell(2, |subject, claim, _| {
        let fits = out.len() < room;
        if fits {
            out.push((subject, claim.incarnation));
        }
        fits
    });
    out
}

#[test]
fn the_least_told_goes_first_and_each_goes_after_its_times() {
    let mut rumors = Rumors::default();
    (1..=3).for_each(|n| rumors.add(n, claim(0), 0));
    assert_eq!(told(&mut rumors, 2), [(1, 0), (2, 0)]);
    assert_eq!(told(&mut rumors, 2), [(3, 0), (1, 0)]);
    assert_eq!(told(&mut rumors, 9), [(2, 0), (3, 0)]);
    assert!(rumors.is_empty() && rumors.order.is_empty());
}

#[test]
fn news_take_the_place_of_what_was_said_before() {
    let mut rumors = Rumors::default();
    rumors.add(1, claim(0), 0);
    assert_eq!(told(&mut rumors, 9), [(1, 0)]);
    rumors.add(1, claim(1), 0);
    assert_eq!((rumors.about.len(), rumors.order.len()), (1, 1));
    assert_eq!(told(&mut rumors, 9), [(1, 1)]);
    rumors.remove(1);
    assert!(rumors.is_empty() && rumors.order.is_empty());
}
