//! Two processes that claim one place, and two proxies of one name: seen by the others, and told.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{Boot, Output, Peers, Seal, Settings, Told};
use std::net::SocketAddr;

fn address(place: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + place as u16).into()
}

fn peers(own: u16, name: &str, boot: u32) -> Peers {
    let addresses = (0..3).map(address).collect();
    let told = Told { addresses, own, all: None, name: name.into(), zone: "z".into() };
    Peers::new(Settings::default(), Seal::open(), told, Boot(boot), u64::from(boot), Time(0)).expect("sound")
}

/// What all of them tell in so many seconds; a datagram reaches every process of its place.
fn play(all: &mut [(usize, Peers)], seconds: u64) -> Vec<(usize, Output)> {
    let mut told = Vec::new();
    for n in 0..seconds * 100 {
        let now = Time(n * 10_000);
        let mut flying: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
        let mut sort = |place: usize, out: Vec<Output>, flying: &mut Vec<_>| {
            for output in out {
                match output {
                    Output::Send { to, bytes } => flying.push((place, to, bytes)),
                    other => told.push((place, other)),
                }
            }
        };
        for (place, peers) in all.iter_mut() {
            let mut out = Vec::new();
            peers.turn(now, &mut out);
            sort(*place, out, &mut flying);
        }
        // Answers to answers end by themselves; some rounds are enough for a moment.
        for _ in 0..6 {
            for (from, to, bytes) in std::mem::take(&mut flying) {
                for (place, peers) in all.iter_mut().filter(|(p, _)| address(*p) == to) {
                    let mut out = Vec::new();
                    peers.datagram(now + Micros(1000), address(from), &bytes, &mut out);
                    sort(*place, out, &mut flying);
                }
            }
        }
    }
    told
}

#[test]
fn two_processes_of_one_place_are_told() {
    let mut all =
        [(0, peers(0, "a", 10)), (1, peers(1, "b", 11)), (1, peers(1, "b", 12)), (2, peers(2, "c", 13))];
    let told = play(&mut all, 30);
    let contested =
        |place: usize| told.iter().filter(|t| t.0 == place && t.1 == Output::Contested { place: 1 }).count();
    assert!(contested(0) > 0 && contested(2) > 0, "the others see it");
    assert!(contested(1) > 0, "and so do the two");
}

#[test]
fn one_process_that_starts_again_is_no_second_claim() {
    let mut all = [(0, peers(0, "a", 10)), (1, peers(1, "b", 11)), (2, peers(2, "c", 13))];
    play(&mut all, 5);
    all[1].1 = peers(1, "b", 12);
    let told = play(&mut all, 5);
    assert!(!told.iter().any(|t| matches!(t.1, Output::Contested { .. })), "{told:?}");
}

#[test]
fn two_proxies_of_one_name_are_told() {
    let mut all = [(0, peers(0, "a", 10)), (1, peers(1, "b", 11)), (2, peers(2, "b", 13))];
    let told = play(&mut all, 5);
    assert!(told.iter().any(|t| t.1 == Output::Namesake { places: (1, 2) }), "{told:?}");
    assert!(!told.iter().any(|t| matches!(t.1, Output::Namesake { places } if places != (1, 2))));
}
