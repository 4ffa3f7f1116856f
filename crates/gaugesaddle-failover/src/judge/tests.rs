use super::*;

/// Three zones, twelve proxies in turn; each zone can do 300 a second, 120 come to each.
fn voices() -> Vec<Voice> {
    let find = Find { backends: 4.0, ill: 0.0, can_per_s: 25.0 };
    let voice = |place: u16| Voice {
        place,
        zone: usize::from(place % 3),
        part: 1.0 / 12.0,
        needs: vec![10.0, 20.0],
        finds: vec![find; 3],
        age: Micros(500_000),
    };
    (0..12).map(voice).collect()
}

fn all(voices: &[Voice]) -> Judgement {
    judge(&Rule::default(), 3, 2, voices)
}

fn blind_to(voice: &mut Voice, zone: usize) {
    voice.finds[zone].ill = 4.0;
    voice.finds[zone].can_per_s = 0.0;
}

#[test]
fn a_calm_fleet_is_what_all_say_together() {
    let judged = all(&voices());
    assert!(judged.blind.is_empty() && judged.cut.is_empty());
    for zone in &judged.zones {
        assert!((zone.can.unwrap() - 300.0).abs() < 1e-9 && !zone.lost);
        assert_eq!((&zone.needs[..], zone.voices, zone.against), (&[40.0, 80.0][..], 12, 0));
    }
    let nobody = all(&[]);
    assert!(nobody.zones.iter().all(|z| z.can.is_none() && !z.lost), "nobody knows");
}

#[test]
fn a_zone_is_lost_when_most_say_so_and_half_are_not_most() {
    let mut some = voices();
    some[..6].iter_mut().for_each(|v| blind_to(v, 1));
    let judged = all(&some);
    assert!(!judged.zones[1].lost && judged.blind.len() == 6);
    blind_to(&mut some[6], 1);
    let judged = all(&some);
    assert!(judged.zones[1].lost && judged.zones[1].can == Some(0.0));
    assert!(judged.blind.is_empty() && judged.cut.is_empty(), "those that still see it are not blind");
    some[5..7].iter_mut().for_each(|v| v.age = Micros(60_000_000));
    assert!(!all(&some).zones[1].lost, "what is old does not count");
}

#[test]
fn one_that_alone_is_blind_does_not_count_and_is_cut_where_it_is_its_own_zone_or_most() {
    let mut some = voices();
    blind_to(&mut some[5], 0);
    let judged = all(&some);
    assert_eq!(judged.blind, [Blind { place: 5, zone: 0 }]);
    assert!(judged.cut.is_empty(), "it serves by the other zones");
    assert!((judged.zones[0].can.unwrap() - 300.0).abs() < 1e-9);
    blind_to(&mut some[5], 2);
    assert_eq!(all(&some).cut, [5], "its own zone among them");
    let mut some = voices();
    (0..3).for_each(|z| blind_to(&mut some[0], z));
    assert_eq!(all(&some).cut, [0]);
}

#[test]
fn estimates_that_are_off_by_a_factor_move_the_judgement_little() {
    let mut some = voices();
    some[..5].iter_mut().for_each(|v| v.finds[0].can_per_s = 50.0);
    assert!((all(&some).zones[0].can.unwrap() - 300.0).abs() < 1e-9);
    for (i, voice) in some.iter_mut().enumerate() {
        voice.finds[0].can_per_s = 25.0 * (0.5 + i as f64 / 11.0);
    }
    let can = all(&some).zones[0].can.unwrap();
    assert!((240.0..330.0).contains(&can), "{can}");
    some[3].finds[0].can_per_s = f64::INFINITY;
    some[4].needs = vec![f64::NAN, -3.0];
    let judged = all(&some);
    assert!(judged.zones[0].can.unwrap().is_finite());
    assert_eq!(judged.zones[1].needs, [30.0, 60.0]);
}

#[test]
fn figures_that_cannot_be_are_told() {
    let flaw = |rule: Rule| rule.check().expect_err("unsound").to_string();
    assert!(Rule::default().check().is_ok());
    assert_eq!(flaw(Rule { ill: 0.5, ..Rule::default() }), "ill: expected over 0.5, up to 1");
    assert_eq!(flaw(Rule { old: Micros(0), ..Rule::default() }), "old: expected a time");
    assert_eq!(flaw(Rule { least_part: 0.0, ..Rule::default() }), "least_part: expected between 0 and 1");
}
