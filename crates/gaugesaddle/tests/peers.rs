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
const DEATH_DETECTION_BOUND: Duration = Duration::from_secs(6);
/// After a heal all agree within this.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(3);

#[test]
fn a_killed_proxy_is_declared_dead_by_every_member() {
    let mut tier = Tier::start("kill", 5);
    tier.kill(2);
    tier.expect_agreement_within("its death is known", DEATH_DETECTION_BOUND);
    for index in tier.running() {
        assert_eq!(tier.row(index, 2).state, "dead");
        assert_eq!(tier.row(index, 2).record_age_us, None, "its record went with it");
        assert_eq!(tier.view(index).shape, "most");
        assert_eq!(tier.death_log_lines(index).len(), 1, "{:?}", tier.death_log_lines(index));
    }
}

#[test]
fn a_restarted_proxy_rejoins_with_a_new_boot_id_and_replays_are_rejected() {
    let mut tier = Tier::start("return", 4);
    let before = tier.view(1).boot;
    tier.kill(1);
    tier.start_proxy(1);
    tier.wait_for_agreement("it is known anew");
    assert_ne!(tier.view(1).boot, before);
    // Whatever its former process sent comes again: nobody goes back to it.
    let old_datagrams: Vec<_> = tier.network.retained(1).into_iter().filter(|(to, _)| *to != 1).collect();
    assert!(old_datagrams.len() > 10, "nothing to send again");
    let rejected = |tier: &Tier, p: usize| tier.view(p).replayed + tier.view(p).unproven;
    let rejected_before: u64 = [0, 2, 3].iter().map(|p| rejected(&tier, *p)).sum();
    old_datagrams.iter().for_each(|(to, bytes)| tier.network.inject(1, *to, bytes.clone()));
    until("the old ones are refused", || {
        [0, 2, 3].iter().map(|p| rejected(&tier, *p)).sum::<u64>() >= rejected_before + 10
    });
    tier.wait_for_probes(&[0, 1, 2, 3], 5);
    assert!(tier.agrees(&[0, 1, 2, 3]));
    tier.kill(3);
    tier.expect_agreement_within("the next death is known", DEATH_DETECTION_BOUND);
}

#[test]
fn a_resumed_proxy_declares_no_member_dead() {
    let tier = Tier::start("stop", 4);
    tier.proxy(0).signal("-STOP");
    until("the others miss it", || [1, 2, 3].iter().all(|p| tier.row(*p, 0).state == "dead"));
    // Past every time-out of its own, and with datagrams waiting for it.
    tier.wait_for_probes(&[1, 2, 3], 15);
    tier.proxy(0).signal("-CONT");
    tier.expect_agreement_within("all agree again", CONVERGENCE_BOUND);
    tier.wait_for_probes(&[0], 15);
    assert_eq!(tier.death_log_lines(0), [] as [String; 0]);
    let view = tier.view(0);
    assert!(view.stalls >= 1 && view.refuted >= 1, "{} stalls, {} refuted", view.stalls, view.refuted);
    assert!(tier.proxy(0).log().contains("this process slept"));
}

#[test]
fn both_sides_of_a_partition_know_their_size_and_agree_after_the_heal() {
    let tier = Tier::start("halves", 6);
    tier.network.set(Links { groups: vec![0, 0, 0, 0, 1, 1], ..Links::default() });
    until("the larger part", || tier.agrees(&[0, 1, 2, 3]));
    until("the smaller part", || tier.agrees(&[4, 5]));
    for index in 0..6 {
        let view = tier.view(index);
        let expected = if index < 4 { ("most", true, 4) } else { ("torn", false, 2) };
        assert_eq!((view.shape.as_str(), view.more_than_half, view.living), expected);
    }
    let boots: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    tier.network.set(Links::default());
    tier.expect_agreement_within("both parts agree", CONVERGENCE_BOUND);
    assert_eq!(boots, (0..6).map(|p| tier.view(p).boot).collect::<Vec<_>>(), "nobody had to start anew");
}

#[test]
fn members_with_one_way_links_stay_alive_through_indirect_probes() {
    let tier = Tier::start("one-way", 5);
    tier.network.set(Links { one_way: vec![(0, 1), (2, 1), (3, 4)], ..Links::default() });
    tier.wait_for_probes(&[0, 1, 2, 3, 4], 30);
    assert!(tier.agrees(&[0, 1, 2, 3, 4]), "reached through others");
    for index in 0..5 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
}

#[test]
fn an_unheard_member_is_declared_dead_and_detects_its_isolation() {
    let tier = Tier::start("unheard", 4);
    tier.network.set(Links { unheard: vec![3], ..Links::default() });
    until("the others go on without it", || tier.agrees(&[0, 1, 2]));
    until("it knows that nobody answers", || tier.view(3).answered_us > 3_000_000);
    tier.network.set(Links::default());
    tier.expect_agreement_within("it is back", CONVERGENCE_BOUND);
}

#[test]
fn loss_duplication_and_delay_cause_no_false_deaths() {
    let tier = Tier::start("loss", 5);
    let links = Links { loss: 0.33, doubled: 0.2, way_us: [100, 20_000], ..Links::default() };
    tier.network.set(links);
    tier.wait_for_probes(&[0, 1, 2, 3, 4], 40);
    tier.network.set(Links::default());
    tier.expect_agreement_within("all agree", CONVERGENCE_BOUND);
    for index in 0..5 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
    let replayed: u64 = (0..5).map(|p| tier.view(p).replayed).sum();
    assert!(replayed > 0, "doubled ones are told from new ones");
}

#[test]
fn a_lossy_path_between_two_zones_causes_no_false_deaths() {
    let tier = Tier::start("poor", 6);
    let poor = LossyPath::between([0, 1], 3, 6, 0.6, 60_000);
    tier.network.set(Links { poor, ..Links::default() });
    tier.wait_for_probes(&[0, 1, 2, 3, 4, 5], 40);
    tier.network.set(Links::default());
    tier.expect_agreement_within("all agree", CONVERGENCE_BOUND);
    for index in 0..6 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
}

#[test]
fn members_join_leave_gracefully_and_rejoin() {
    let mut tier = Tier::prepare("join", 7, true);
    (0..3).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("three of seven");
    assert_eq!(tier.view(0).shape, "small", "nobody is missing");
    (3..7).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("all seven");
    assert_eq!(tier.view(0).shape, "most");
    for index in [1, 5] {
        tier.proxy(index).terminate();
        assert!(tier.proxies[index].as_mut().expect("runs").exit().success());
        tier.kill(index);
    }
    tier.wait_for_agreement("five are left");
    for index in tier.running() {
        assert_eq!((tier.row(index, 1).state.as_str(), tier.row(index, 5).state.as_str()), ("left", "left"));
        assert_eq!(tier.death_log_lines(index), [] as [String; 0], "who says so is not called dead");
    }
    tier.start_proxy(5);
    tier.wait_for_agreement("one came back");
}

#[test]
fn members_agree_after_a_simultaneous_restart() {
    let mut tier = Tier::start("restart", 6);
    let before: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    (0..6).for_each(|p| tier.kill(p));
    (0..6).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("all know the new ones");
    for (index, before) in before.iter().enumerate() {
        assert_ne!(tier.view(index).boot, *before);
    }
}

#[test]
fn forged_truncated_and_foreign_datagrams_change_nothing() {
    let tier = Tier::start("forged", 3);
    let good = tier.network.retained(1).into_iter().find(|(to, _)| *to == 0).expect("one to the first").1;
    let rows = |tier: &Tier| {
        tier.view(0).peers.into_iter().map(|p| (p.state, p.boot, p.incarnation)).collect::<Vec<_>>()
    };
    let before = (rows(&tier), tier.view(0));
    let mut count = 0;
    // Each byte changed, each length cut, and longer than may be.
    for i in 0..good.len() {
        let mut changed = good.clone();
        changed[i] ^= 0x41;
        tier.network.inject(1, 0, changed);
        tier.network.inject(1, 0, good[..i].to_vec());
        count += 2;
    }
    tier.network.inject(1, 0, [&good[..], &[0; 300]].concat());
    // From the address of another place than it says, and from one that is none.
    tier.network.inject(2, 0, good.clone());
    let stranger = std::net::UdpSocket::bind(tier.lease.peer()).unwrap();
    stranger.send_to(&good, tier.listen_addresses[0]).unwrap();
    count += 3;
    let rejected_datagrams = |v: &MembershipView| v.garbled + v.foreign + v.forged + v.replayed;
    until("all of them are counted", || {
        rejected_datagrams(&tier.view(0)) >= rejected_datagrams(&before.1) + count
    });
    let after = tier.view(0);
    assert!(
        after.garbled > before.1.garbled
            && after.forged > before.1.forged
            && after.foreign >= before.1.foreign + 2
    );
    assert_eq!(rows(&tier), before.0);
    tier.wait_for_probes(&[0, 1, 2], 5);
    assert!(tier.agrees(&[0, 1, 2]));
}

/// The sum over the living says what comes to all of them, and goes down with the one that is killed.
#[test]
fn published_totals_are_summed_over_living_members() {
    let mut tier = Tier::start("totals", 3);
    let reads = |tier: &Tier, at: usize| tier.view(at).totals.arrivals_per_s.first().map_or(0.0, |a| a.1);
    let ask_all = |tier: &Tier| {
        for index in tier.running() {
            assert_eq!(ask(tier.proxy(index), &request("read", 7000)).status(), 200);
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
    tier.wait_for_agreement("its death is known");
    until("the sum is that of two", || {
        ask_all(&tier);
        tier.view(0).totals.told == 2
    });
}

#[test]
fn invalid_membership_settings_are_reported_by_key() {
    let tier = Tier::prepare("bad", 3, true);
    let file = tier.file(0);
    let good = std::fs::read_to_string(&file).unwrap();
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let program = gaugesaddle_testbed::program::path("gaugesaddle");
        let output = std::process::Command::new(program).arg("check").arg(&file).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(check(&good).0, Some(0), "{}", check(&good).1);
    let key = tier.folder.join("key");
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    let (code, output) = check(&good);
    assert!(
        code == Some(1) && output.contains("peers.key: expected a file that only its owner may"),
        "{output}"
    );
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    let own = tier.network.addresses()[0].to_string();
    let (code, output) = check(&good.replace(&format!("own = \"{own}\""), ""));
    assert!(
        code == Some(1) && output.contains("peers.addresses: expected a list with this proxy's own"),
        "{output}"
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
fn platform_addresses_are_used_only_where_the_settings_allow() {
    let tier = Tier::prepare("platform", 2, false);
    let file = tier.folder.join("on.toml");
    let start = |index: usize, allowed: bool| {
        let mut config = config(tier.discovery.address, &[]);
        config["peer_listen"] = tier.listen_addresses[index].to_string().into();
        config["peers"] = tier.network.addresses().iter().map(std::string::ToString::to_string).collect();
        config["settings"]["limits"]["peers"] = allowed.into();
        config["settings"]["group_size"] = 2.into();
        config["settings"]["position"] = index.into();
        let socket = tier.socket(index);
        std::fs::write(&file, format!("[state]\nsocket = {socket:?}\n[peers]\nenabled = true\n")).unwrap();
        let proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
        if allowed {
            until("its state", || tier.state(index).is_some());
        }
        proxy
    };
    let _both = [start(0, true), start(1, true)];
    until("they know each other", || tier.agrees(&[0, 1]));
    assert!(!start(0, false).exit().success(), "refused by the settings");
}
