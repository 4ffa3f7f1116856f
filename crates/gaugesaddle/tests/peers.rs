//! Membership among proxy processes: killed, restarted and stopped proxies, partitions, one-way links, packet loss,
//! joins and leaves, forged datagrams. The view of each proxy is read from its state and log.

mod tier;

use gaugesaddle::registry::MembershipView;
use gaugesaddle_testbed::datagrams::{Links, LossyPath};
use gaugesaddle_testbed::scripted::*;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use tier::Tier;

/// Time within which every living proxy declares a killed one dead.
const DEATH_DETECTION_BOUND: Duration = Duration::from_secs(6);
/// Time within which all views agree after a fault has ended.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(3);

#[test]
fn a_killed_proxy_is_declared_dead_by_every_member() {
    let mut tier = Tier::start("kill", 5);
    tier.kill(2);
    tier.expect_agreement_within("all views hold the killed proxy dead", DEATH_DETECTION_BOUND);
    for index in tier.running() {
        assert_eq!(tier.row(index, 2).state, "dead");
        assert_eq!(tier.row(index, 2).record_age_us, None, "the record of a dead member is removed");
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
    tier.wait_for_agreement("all views hold the new process");
    assert_ne!(tier.view(1).boot, before);
    // Replayed datagrams of the former process are rejected.
    let old_datagrams: Vec<_> = tier.network.retained(1).into_iter().filter(|(to, _)| *to != 1).collect();
    assert!(old_datagrams.len() > 10, "too few retained datagrams to replay");
    let rejected = |tier: &Tier, p: usize| tier.view(p).replayed + tier.view(p).unproven;
    let rejected_before: u64 = [0, 2, 3].iter().map(|p| rejected(&tier, *p)).sum();
    old_datagrams.iter().for_each(|(to, bytes)| tier.network.inject(1, *to, bytes.clone()));
    until("the replayed datagrams are rejected", || {
        [0, 2, 3].iter().map(|p| rejected(&tier, *p)).sum::<u64>() >= rejected_before + 10
    });
    tier.wait_for_probes(&[0, 1, 2, 3], 5);
    assert!(tier.agrees(&[0, 1, 2, 3]));
    tier.kill(3);
    tier.expect_agreement_within("all views hold the second killed proxy dead", DEATH_DETECTION_BOUND);
}

#[test]
fn a_resumed_proxy_declares_no_member_dead() {
    let tier = Tier::start("stop", 4);
    tier.proxy(0).signal("-STOP");
    until("the others declare it dead", || [1, 2, 3].iter().all(|p| tier.row(*p, 0).state == "dead"));
    // Longer than every timeout of the stopped proxy, with datagrams queued in its socket.
    tier.wait_for_probes(&[1, 2, 3], 15);
    tier.proxy(0).signal("-CONT");
    tier.expect_agreement_within("all views agree after the stopped proxy resumes", CONVERGENCE_BOUND);
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
    until("the four members of the larger side agree", || tier.agrees(&[0, 1, 2, 3]));
    until("the two members of the smaller side agree", || tier.agrees(&[4, 5]));
    for index in 0..6 {
        let view = tier.view(index);
        let expected = if index < 4 { ("most", true, 4) } else { ("torn", false, 2) };
        assert_eq!((view.shape.as_str(), view.more_than_half, view.living), expected);
    }
    let boots: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    tier.network.set(Links::default());
    tier.expect_agreement_within("both sides agree after the heal", CONVERGENCE_BOUND);
    assert_eq!(boots, (0..6).map(|p| tier.view(p).boot).collect::<Vec<_>>(), "no proxy took a new boot id");
}

#[test]
fn members_with_one_way_links_stay_alive_through_indirect_probes() {
    let tier = Tier::start("one-way", 5);
    tier.network.set(Links { one_way: vec![(0, 1), (2, 1), (3, 4)], ..Links::default() });
    tier.wait_for_probes(&[0, 1, 2, 3, 4], 30);
    assert!(tier.agrees(&[0, 1, 2, 3, 4]), "all members are alive through indirect probes");
    for index in 0..5 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
}

#[test]
fn an_unheard_member_is_declared_dead_and_detects_its_isolation() {
    let tier = Tier::start("unheard", 4);
    tier.network.set(Links { unheard: vec![3], ..Links::default() });
    until("the others declare the unheard member dead", || tier.agrees(&[0, 1, 2]));
    until("the unheard member sees no answer for 3 s", || tier.view(3).answered_us > 3_000_000);
    tier.network.set(Links::default());
    tier.expect_agreement_within("the unheard member is alive in all views", CONVERGENCE_BOUND);
}

#[test]
fn loss_duplication_and_delay_cause_no_false_deaths() {
    let tier = Tier::start("loss", 5);
    let links = Links { loss: 0.33, doubled: 0.2, way_us: [100, 20_000], ..Links::default() };
    tier.network.set(links);
    tier.wait_for_probes(&[0, 1, 2, 3, 4], 40);
    tier.network.set(Links::default());
    tier.expect_agreement_within("all views agree", CONVERGENCE_BOUND);
    for index in 0..5 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
    let replayed: u64 = (0..5).map(|p| tier.view(p).replayed).sum();
    assert!(replayed > 0, "duplicated datagrams are detected as replays");
}

#[test]
fn a_lossy_path_between_two_zones_causes_no_false_deaths() {
    let tier = Tier::start("poor", 6);
    let poor = LossyPath::between([0, 1], 3, 6, 0.6, 60_000);
    tier.network.set(Links { poor, ..Links::default() });
    tier.wait_for_probes(&[0, 1, 2, 3, 4, 5], 40);
    tier.network.set(Links::default());
    tier.expect_agreement_within("all views agree", CONVERGENCE_BOUND);
    for index in 0..6 {
        assert_eq!(tier.death_log_lines(index), [] as [String; 0]);
    }
}

#[test]
fn members_join_leave_gracefully_and_rejoin() {
    let mut tier = Tier::prepare("join", 7, true);
    (0..3).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("three of seven members agree");
    assert_eq!(tier.view(0).shape, "small", "no member that was ever seen is missing");
    (3..7).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("all seven members agree");
    assert_eq!(tier.view(0).shape, "most");
    for index in [1, 5] {
        tier.proxy(index).terminate();
        assert!(tier.proxies[index].as_mut().expect("the proxy runs").exit().success());
        tier.kill(index);
    }
    tier.wait_for_agreement("the five remaining members agree");
    for index in tier.running() {
        assert_eq!((tier.row(index, 1).state.as_str(), tier.row(index, 5).state.as_str()), ("left", "left"));
        assert_eq!(
            tier.death_log_lines(index),
            [] as [String; 0],
            "a member that leaves gracefully is not declared dead"
        );
    }
    tier.start_proxy(5);
    tier.wait_for_agreement("all views hold the rejoined member");
}

#[test]
fn members_agree_after_a_simultaneous_restart() {
    let mut tier = Tier::start("restart", 6);
    let before: Vec<String> = (0..6).map(|p| tier.view(p).boot).collect();
    (0..6).for_each(|p| tier.kill(p));
    (0..6).for_each(|p| tier.start_proxy(p));
    tier.wait_for_agreement("all views hold the new processes");
    for (index, before) in before.iter().enumerate() {
        assert_ne!(tier.view(index).boot, *before);
    }
}

#[test]
fn forged_truncated_and_foreign_datagrams_change_nothing() {
    let tier = Tier::start("forged", 3);
    let good = tier
        .network
        .retained(1)
        .into_iter()
        .find(|(to, _)| *to == 0)
        .expect("a datagram from member 1 to member 0")
        .1;
    let rows = |tier: &Tier| {
        tier.view(0).peers.into_iter().map(|p| (p.state, p.boot, p.incarnation)).collect::<Vec<_>>()
    };
    let before = (rows(&tier), tier.view(0));
    let mut count = 0;
    // Every byte changed, every truncated length, and an excessive length.
    for i in 0..good.len() {
        let mut changed = good.clone();
        changed[i] ^= 0x41;
        tier.network.inject(1, 0, changed);
        tier.network.inject(1, 0, good[..i].to_vec());
        count += 2;
    }
    tier.network.inject(1, 0, [&good[..], &[0; 300]].concat());
    // From the address of another member than the claimed sender, and from outside the tier.
    tier.network.inject(2, 0, good.clone());
    let stranger = std::net::UdpSocket::bind(tier.lease.peer()).unwrap();
    stranger.send_to(&good, tier.listen_addresses[0]).unwrap();
    count += 3;
    let discarded = |v: &MembershipView| v.garbled + v.foreign + v.forged + v.replayed;
    until("all of them are counted as rejected", || discarded(&tier.view(0)) >= discarded(&before.1) + count);
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

/// The totals sum the arrivals of all living members, without those of a killed one.
#[test]
fn published_totals_are_summed_over_living_members() {
    let mut tier = Tier::start("totals", 3);
    let reads = |tier: &Tier, at: usize| tier.view(at).totals.arrivals_per_s.first().map_or(0.0, |a| a.1);
    let ask_all = |tier: &Tier| {
        for index in tier.running() {
            assert_eq!(send_request(tier.proxy(index), &request("read", 7000)).status(), 200);
        }
    };
    until("every view has the records of all three", || (0..3).all(|p| tier.view(p).totals.told == 3));
    until("the totals include the arrivals at the other proxies", || {
        ask_all(&tier);
        // Each proxy alone receives a third of the total that proxy 0 reports.
        let own = tier.view(0).totals.clone();
        reads(&tier, 0) > 20.0 && own.older == 0
    });
    tier.kill(2);
    tier.wait_for_agreement("all views hold the killed proxy dead");
    until("the totals sum two records", || {
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
    // Enabled with no addresses, and the platform's settings allow none: the proxy exits and logs the reason.
    std::fs::write(&file, "[peers]\nenabled = true\n").unwrap();
    let config = config(tier.discovery.address, &[]);
    let mut proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
    assert!(!proxy.exit().success());
    until("the reason is logged", || proxy.log().contains("peers.addresses: missing"));
}

/// With `limits.peers` in the platform's settings, the addresses in the platform's configuration suffice.
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
            until("the state socket answers", || tier.state(index).is_some());
        }
        proxy
    };
    let _both = [start(0, true), start(1, true)];
    until("both members are alive in both views", || tier.agrees(&[0, 1]));
    assert!(!start(0, false).exit().success(), "the proxy starts although its settings do not allow peers");
}
