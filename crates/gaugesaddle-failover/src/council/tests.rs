use super::*;
use crate::decision::Order;

const TURN: u64 = 20_000;

/// Proxies that look fifty times a second; letters take a turn, and some are lost.
struct Tier {
    all: Vec<Option<Council>>,
    /// By place, its side.
    side: Vec<u8>,
    should: Vec<Decision>,
    flying: Vec<(u16, u16, Vec<u8>)>,
    loss: u64,
    now: u64,
    sent: usize,
    dice: u64,
}

fn says(level: u8) -> Decision {
    Decision { level, zones: vec![Order::default(); 3], ..Decision::default() }
}

impl Tier {
    fn new(count: u16, loss: u64) -> Tier {
        let council = |p| Some(Council::new(p, 3, 0, 900 + u64::from(p)));
        let side = vec![0; usize::from(count)];
        let should = vec![says(1); usize::from(count)];
        let all = (0..count).map(council).collect();
        Tier { all, side, should, flying: Vec::new(), loss, now: 0, sent: 0, dice: 5 }
    }

    fn of_side(&self, side: u8) -> Vec<u16> {
        (0..self.all.len())
            .filter(|p| self.all[*p].is_some() && self.side[*p] == side)
            .map(|p| p as u16)
            .collect()
    }

    fn turn(&mut self) {
        self.now += TURN;
        let mut out = Vec::new();
        let flying = std::mem::take(&mut self.flying);
        for place in 0..self.all.len() {
            let living = self.of_side(self.side[place]);
            let most = living.len() * 2 > self.all.len();
            let seen = Seen { living: &living, most, awake: true };
            let Some(council) = &mut self.all[place] else { continue };
            let mut mine = Vec::new();
            for (from, _, bytes) in flying.iter().filter(|f| usize::from(f.1) == place) {
                council.hear(Time(self.now), *from, bytes, &seen, &mut mine);
            }
            council.look(Time(self.now), &seen, Some(&self.should[place]), &mut mine);
            out.extend(mine.into_iter().map(|(to, bytes)| (place as u16, to, bytes)));
        }
        self.sent += out.len();
        for letter in out {
            self.dice = gaugesaddle_balancer::mix(self.dice + 1);
            let passes = self.side[usize::from(letter.0)] == self.side[usize::from(letter.1)];
            if passes && self.dice % 100 >= self.loss {
                self.flying.push(letter);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms * 1000 / TURN).for_each(|_| self.turn());
    }

    fn held(&self, place: u16) -> Option<Decision> {
        self.all[usize::from(place)].as_ref()?.held().map(|h| h.0.clone())
    }

    /// All of a side hold one and the same.
    fn same(&self, side: u8) -> Option<Decision> {
        let of = self.of_side(side);
        let first = self.held(*of.first()?)?;
        of.iter().all(|p| self.held(*p).as_ref() == Some(&first)).then_some(first)
    }

    /// How long until they do, in milliseconds, at most two seconds.
    fn until_same(&mut self, side: u8, level: u8) -> u64 {
        let from = self.now;
        while self.same(side).is_none_or(|d| d.level != level) {
            assert!(
                self.now - from < 2_000_000,
                "{:?}",
                self.of_side(side).iter().map(|p| self.held(*p)).collect::<Vec<_>>()
            );
            self.turn();
        }
        (self.now - from) / 1000
    }
}

#[test]
fn a_number_given_twice_by_two_processes_of_one_place_ends_as_one_decision() {
    let mut tier = Tier::new(5, 0);
    tier.should = vec![says(7); 5];
    tier.until_same(0, 7);
    // The deciding process starts anew, knows of no decision, and gives the first number to another one.
    tier.all[0] = Some(Council::new(0, 3, 0, 77));
    tier.should = vec![says(3); 5];
    let living = tier.of_side(0);
    let seen = Seen { living: &living, most: true, awake: true };
    let alone = tier.all[0].as_mut().expect("it lives");
    assert!(alone.look(Time(tier.now), &seen, Some(&says(3)), &mut Vec::new()));
    let (its, theirs) = (tier.held(0).expect("its own"), tier.held(1).expect("the former"));
    assert!(its.number == theirs.number && its != theirs);
    // It has said what it wants, and the others hold that number: only what is shown can make it one.
    tier.until_same(0, 3);
}

#[test]
fn all_hold_the_same_within_a_second_whoever_decides_and_a_third_is_lost() {
    for (count, loss) in [(3, 0), (30, 33), (300, 0), (300, 33)] {
        let mut tier = Tier::new(count, loss);
        tier.until_same(0, 1);
        tier.run(1000);
        let mut slowest = 0;
        for level in 2..8 {
            tier.should.iter_mut().for_each(|s| *s = says(level));
            slowest = slowest.max(tier.until_same(0, level));
            tier.run(600);
        }
        assert!(slowest <= 1000, "{count} proxies, {loss} of 100 lost: {slowest} ms");
        // Whoever decided is gone: the next goes on from there.
        let before = tier.same(0).expect("the same").number;
        tier.all[0] = None;
        tier.should.iter_mut().for_each(|s| *s = says(9));
        tier.until_same(0, 9);
        let after = tier.same(0).expect("the same");
        assert!(after.number > before && after.by == 1);
        // At peace each shows it twice a second, and is answered at most.
        tier.run(1000);
        let sent = tier.sent;
        tier.run(10_000);
        let each = (tier.sent - sent) as f64 / 10.0 / f64::from(count - 1);
        assert!(each < 2.2, "{each} a second and proxy");
    }
}

#[test]
fn a_smaller_side_goes_on_and_takes_the_greater_ones_at_the_heal() {
    let mut tier = Tier::new(10, 10);
    tier.until_same(0, 1);
    tier.run(1000);
    // The lowest places are cut off: the smaller side had the one that decided.
    (0..4).for_each(|p| tier.side[p] = 1);
    tier.should[..4].iter_mut().for_each(|s| *s = says(50));
    tier.should[4..].iter_mut().for_each(|s| *s = says(60));
    tier.until_same(1, 50);
    tier.until_same(0, 60);
    for level in 51..55 {
        tier.run(600);
        tier.should[..4].iter_mut().for_each(|s| *s = says(level));
        tier.until_same(1, level);
    }
    let (small, great) = (tier.same(1).expect("the same"), tier.same(0).expect("the same"));
    assert!(small.number.round >= 4 && great.number.round == 0 && great.over(&small));
    tier.side.fill(0);
    tier.should.fill(says(60));
    tier.until_same(0, 60);
    assert_eq!(tier.same(0).expect("the same").number, great.number, "adopted, and nothing decided anew");
}

#[test]
fn what_flickers_is_decided_twice_a_second_at_most_and_strange_bytes_are_nothing() {
    let mut tier = Tier::new(4, 0);
    tier.until_same(0, 1);
    tier.run(1000);
    let before = tier.same(0).expect("the same").number.epoch;
    for turn in 0..500u32 {
        tier.should.iter_mut().for_each(|s| *s = says(10 + (turn % 2) as u8));
        tier.turn();
    }
    let decided = tier.held(0).expect("held").number.epoch - before;
    assert!((5..=20).contains(&decided), "{decided} in ten seconds");
    let council = tier.all[1].as_mut().expect("it lives");
    assert!(council.kept().count() <= KEPT);
    let (held, mut out) = (council.held().map(|h| h.0.clone()), Vec::new());
    let seen = Seen { living: &[0, 1, 2], most: true, awake: true };
    for bytes in [&[][..], &[0x80], &[0; 25], &says(3).encode()[..24]] {
        assert!(!council.hear(Time(99_000_000), 2, bytes, &seen, &mut out));
    }
    assert!(out.is_empty() && council.held().map(|h| h.0.clone()) == held);
    assert!(!Council::new(0, 3, 0, 1).decides(&Seen { living: &[0], most: true, awake: false }), "it slept");
}
