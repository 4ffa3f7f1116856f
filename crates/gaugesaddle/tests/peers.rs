//! Proxies that know one another, as processes, and what happens between them: one killed, back, stopped for long, cut
//! off, heard one way only, under loss, joining and leaving, lied to. What each holds is read from its state and log.

mod tier;

use gaugesaddle::registry::MembershipView;
use gaugesaddle_testbed::datagrams::{Links, LossyPath};
use gaugesaddle_testbed::scripted::*;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tier::Tier;

/// A death is known to all within this, by the process that is slowest to hear of it.
const KNOWN: Duration = Duration::from_secs(6);
/// After a heal all agree within this.
const AGREED: Duration = Duration::from_secs(3);

#[test]
fn one_killed_is_known_dead_by_all() {
    let mut tier = Tier::start("kill", 5);
    tier.kill(2);
    tier.agree_within("its death is known", KNOWN);
    for place in tier.running() {
        assert_eq!(tier.row(place, 2).state, "dead");
        assert_eq!(tier.row(place, 2).record_age_us, None, "its record went with it");
        assert_eq!(tier.view(place).shape, "most");
        assert_eq!(tier.deaths(place).len(), 1, "{:?}", tier.deaths(place));
    }
}

#[test]
fn one_killed_and_back_is_a_new_process_of_the_same_place() {
    let mut tier = Tier::start("return", 4);
    let before = tier.view(1).boot;
    tier.kill(1);
    tier.run(1);
    tier.agree("it is known anew");
    assert_ne!(tier.view(1).boot, before);
    // Whatever its former process sent comes again: nobody goes back to it.
    let old: Vec<_> = tier.ways.retained(1).into_iter().filter(|(to, _)| *to != 1).collect();
    assert!(old.len() > 10, "nothing to send again");
    let came = |tier: &Tier, p: usize| tier.view(p).replayed + tier.view(p).unproven;
    let earlier: u64 = [0, 2, 3].iter().map(|p| came(&tier, *p)).sum();
    old.iter().for_each(|(to, bytes)| tier.ways.inject(1, *to, bytes.clone()));
    until("the old ones are refused", || {
        [0, 2, 3].iter().map(|p| came(&tier, *p)).sum::<u64>() >= earlier + 10
    });
    tier.asked(&[0, 1, 2, 3], 5);
    assert!(tier.agrees(&[0, 1, 2, 3]));
    tier.kill(3);
    tier.agree_within("the next death is known", KNOWN);
}

#[test]
fn one_stopped_for_long_calls_nobody_dead_when_it_goes_on() {
    let tier = Tier::start("stop", 4);
    tier.proxy(0).signal("-STOP");
    until("the others miss it", || [1, 2, 3].iter().all(|p| tier.row(*p, 0).state == "dead"));
    // Past every time-out of its own, and with datagrams waiting for it.
    tier.asked(&[1, 2, 3], 15);
    tier.proxy(0).signal("-CONT");
    tier.agree_within("all agree again", AGREED);
    tier.asked(&[0], 15);
    assert_eq!(tier.deaths(0), [] as [String; 0]);
    let view = tier.view(0);
    assert!(view.stalls >= 1 && view.refuted >= 1, "{} stalls, {} refuted", view.stalls, view.refuted);
    assert!(tier.proxy(0).log().contains("this process slept"));
}

#[test]
fn halves_part_know_that_they_may_be_the_smaller_one_and_agree_after_the_heal() {
    let tier = Tier::start("halves", 6);
    tier.ways.set(Links { groups: vec![0, 0, 0, 0, 1, 1], ..Links::default() });
    until("the larger part", || tier.agrees(&[0, 1, 2, 3]));
    until("the smaller part", || tier.agrees(&[4, 5]));
    for place in 0..6 {
        let view = tier.view(place);
        let expected = if place < 4 { ("most", true, 4) } else { ("torn", false, 2) };
        assert_eq!((view.shape.as_str(), view.more_than_half, view.living), expected);
    }
    let boots: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    tier.ways.set(Links::default());
    tier.agree_within("both parts agree", AGREED);
    assert_eq!(boots, (0..6).map(|p| tier.view(p).boot).collect::<Vec<_>>(), "nobody had to start anew");
}

#[test]
fn one_that_hears_nobody_directly_or_is_heard_by_one_way_only_stays_alive() {
    let tier = Tier::start("one-way", 5);
    tier.ways.set(Links { one_way: vec![(0, 1), (2, 1), (3, 4)], ..Links::default() });
    tier.asked(&[0, 1, 2, 3, 4], 30);
    assert!(tier.agrees(&[0, 1, 2, 3, 4]), "reached through others");
    for place in 0..5 {
        assert_eq!(tier.deaths(place), [] as [String; 0]);
    }
}

#[test]
fn one_heard_by_none_is_dead_to_all_and_knows_that_nobody_hears_it() {
    let tier = Tier::start("unheard", 4);
    tier.ways.set(Links { unheard: vec![3], ..Links::default() });
    until("the others go on without it", || tier.agrees(&[0, 1, 2]));
    until("it knows that nobody answers", || tier.view(3).answered_us > 3_000_000);
    tier.ways.set(Links::default());
    tier.agree_within("it is back", AGREED);
}

#[test]
fn a_third_of_all_datagrams_lost_and_some_doubled_and_late_kills_nobody() {
    let tier = Tier::start("loss", 5);
    let links = Links { loss: 0.33, doubled: 0.2, way_us: [100, 20_000], ..Links::default() };
    tier.ways.set(links);
    tier.asked(&[0, 1, 2, 3, 4], 40);
    tier.ways.set(Links::default());
    tier.agree_within("all agree", AGREED);
    for place in 0..5 {
        assert_eq!(tier.deaths(place), [] as [String; 0]);
    }
    let replayed: u64 = (0..5).map(|p| tier.view(p).replayed).sum();
    assert!(replayed > 0, "doubled ones are told from new ones");
}

#[test]
fn a_poor_way_between_two_zones_kills_nobody_on_either_side() {
    let tier = Tier::start("poor", 6);
    let poor = LossyPath::between([0, 1], 3, 6, 0.6, 60_000);
    tier.ways.set(Links { poor, ..Links::default() });
    tier.asked(&[0, 1, 2, 3, 4, 5], 40);
    tier.ways.set(Links::default());
    tier.agree_within("all agree", AGREED);
    for place in 0..6 {
        assert_eq!(tier.deaths(place), [] as [String; 0]);
    }
}

#[test]
fn three_grow_to_seven_and_two_leave_in_order() {
    let mut tier = Tier::told("join", 7, true);
    (0..3).for_each(|p| tier.run(p));
    tier.agree("three of seven");
    assert_eq!(tier.view(0).shape, "small", "nobody is missing");
    (3..7).for_each(|p| tier.run(p));
    tier.agree("all seven");
    assert_eq!(tier.view(0).shape, "most");
    for place in [1, 5] {
        tier.proxy(place).terminate();
        assert!(tier.proxies[place].as_mut().expect("runs").exit().success());
        tier.kill(place);
    }
    tier.agree("five are left");
    for place in tier.running() {
        assert_eq!((tier.row(place, 1).state.as_str(), tier.row(place, 5).state.as_str()), ("left", "left"));
        assert_eq!(tier.deaths(place), [] as [String; 0], "who says so is not called dead");
    }
    tier.run(5);
    tier.agree("one came back");
}

#[test]
fn all_restart_within_a_moment_and_find_one_another() {
    let mut tier = Tier::start("restart", 6);
    let before: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    (0..6).for_each(|p| tier.kill(p));
    (0..6).for_each(|p| tier.run(p));
    tier.agree("all know the new ones");
    for (place, before) in before.iter().enumerate() {
        assert_ne!(tier.view(place).boot, *before);
    }
}

#[test]
fn what_is_forged_cut_short_foreign_or_from_another_tier_changes_nothing() {
    let tier = Tier::start("forged", 3);
    let good = tier.ways.retained(1).into_iter().find(|(to, _)| *to == 0).expect("one to the first").1;
    let rows = |tier: &Tier| {
        tier.view(0).peers.into_iter().map(|p| (p.state, p.boot, p.incarnation)).collect::<Vec<_>>()
    };
    let before = (rows(&tier), tier.view(0));
    let mut count = 0;
    // Each byte changed, each length cut, and longer than may be.
    for i in 0..good.len() {
        let mut changed = good.clone();
        changed[i] ^= 0x41;
        tier.ways.inject(1, 0, changed);
        tier.ways.inject(1, 0, good[..i].to_vec());
        count += 2;
    }
    tier.ways.inject(1, 0, [&good[..], &[0; 300]].concat());
    // From the address of another place than it says, and from one that is none.
    tier.ways.inject(2, 0, good.clone());
    let stranger = std::net::UdpSocket::bind(tier.lease.peer()).unwrap();
    stranger.send_to(&good, tier.listens[0]).unwrap();
    count += 3;
    let bad = |v: &MembershipView| v.garbled + v.foreign + v.forged + v.replayed;
    until("all of them are counted", || bad(&tier.view(0)) >= bad(&before.1) + count);
    let after = tier.view(0);
    assert!(
        after.garbled > before.1.garbled
            && after.forged > before.1.forged
            && after.foreign >= before.1.foreign + 2
    );
    assert_eq!(rows(&tier), before.0);
    tier.asked(&[0, 1, 2], 5);
    assert!(tier.agrees(&[0, 1, 2]));
}

/// The sum over the living says what comes to all of them, and goes down with the one that is killed.
#[test]
fn what_each_says_of_itself_adds_up_over_the_living() {
    let mut tier = Tier::start("totals", 3);
    let reads = |tier: &Tier, at: usize| tier.view(at).totals.arrivals_per_s.first().map_or(0.0, |a| a.1);
    let ask_all = |tier: &Tier| {
        for place in tier.running() {
            assert_eq!(send_request(tier.proxy(place), &request("read", 7000)).status(), 200);
        }
    };
    until("all records are there", || (0..3).all(|p| tier.view(p).totals.told == 3));
    until("what comes to the others is seen", || {
        ask_all(&tier);
        // Each alone gets a third of what the first sees.
        let own = tier.view(0).totals.clone();
        reads(&tier, 0) > 20.0 && own.older == 0
    });
    tier.kill(2);
    tier.agree("its death is known");
    until("the sum is that of two", || {
        ask_all(&tier);
        tier.view(0).totals.told == 2
    });
}

#[test]
fn what_cannot_be_a_tier_is_told_by_its_key() {
    let tier = Tier::told("bad", 3, true);
    let file = tier.file(0);
    let good = std::fs::read_to_string(&file).unwrap();
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let program = gaugesaddle_testbed::program::path("gaugesaddle");
        let told = std::process::Command::new(program).arg("check").arg(&file).output().unwrap();
        (told.status.code(), String::from_utf8_lossy(&told.stderr).into_owned())
    };
    assert_eq!(check(&good).0, Some(0), "{}", check(&good).1);
    let key = tier.folder.join("key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    let (code, told) = check(&good);
    assert!(code == Some(1) && told.contains("peers.key: expected a file that only its owner may"), "{told}");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    let own = tier.ways.addresses()[0].to_string();
    let (code, told) = check(&good.replace(&format!("own = \"{own}\""), ""));
    assert!(
        code == Some(1) && told.contains("peers.addresses: expected a list with this proxy's own"),
        "{told}"
    );
    // Switched on with no list, and the platform allows none: it does not start, and says why.
    std::fs::write(&file, "[peers]\nenabled = true\n").unwrap();
    let config = config(tier.discovery.address, &[]);
    let mut proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
    assert!(!proxy.exit().success());
    until("its reason", || proxy.log().contains("peers.addresses: missing"));
}

/// Where the platform's settings allow it, what the platform tells is enough.
#[test]
fn addresses_that_the_platform_tells_are_used_where_it_allows_words() {
    let tier = Tier::told("platform", 2, false);
    let file = tier.folder.join("on.toml");
    let start = |place: usize, allowed: bool| {
        let mut config = config(tier.discovery.address, &[]);
        config["peer_listen"] = tier.listens[place].to_string().into();
        config["peers"] = tier.ways.addresses().iter().map(std::string::ToString::to_string).collect();
        config["settings"]["limits"]["peers"] = allowed.into();
        config["settings"]["group_size"] = 2.into();
        config["settings"]["position"] = place.into();
        let socket = tier.socket(place);
        std::fs::write(&file, format!("[state]\nsocket = {socket:?}\n[peers]\nenabled = true\n")).unwrap();
        let proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
        if allowed {
            until("its state", || tier.state(place).is_some());
        }
        proxy
    };
    let _both = [start(0, true), start(1, true)];
    until("they know each other", || tier.agrees(&[0, 1]));
    assert!(!start(0, false).exit().success(), "refused by the settings");
}
