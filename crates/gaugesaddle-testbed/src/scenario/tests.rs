use super::*;

#[test]
fn omitted_keys_take_their_defaults() {
    let text =
        "seed = 9\nseconds = 4\n[clients]\nper_s = 50.0\n[[events]]\nat_s = 1.5\ndo = \"crash\"\nnode = 2\n";
    let read = Scenario::parse(text).expect("a valid scenario");
    let built = Scenario { seconds: 4.0, ..Scenario::default() }
        .seed(9)
        .event(1.5, Disturbance::Crash { node: 2, back_after_s: None });
    assert_eq!(read.events, built.events);
    assert_eq!((read.seed, read.seconds, read.clients.per_s), (9, 4.0, 50.0));
    assert_eq!(read.classes, built.classes);
}

#[test]
fn an_invalid_scenario_is_reported_with_its_key() {
    let error_for = |text: &str| Scenario::parse(text).expect_err("an invalid scenario").to_string();
    assert!(error_for("secconds = 4\n").contains("secconds"));
    assert!(error_for("seconds = 0\n").starts_with("seconds: expected"));
    assert!(error_for("[[events]]\nat_s = 1.0\ndo = \"crash\"\nnode = 99\n").starts_with("events: expected"));
    assert!(error_for("[[events]]\nat_s = 1.0\ndo = \"explode\"\n").contains("explode"));
    assert!(error_for("[clients]\nhonour = 2.0\n").starts_with("clients: expected"));
    assert!(error_for("[clients]\nuneven = [0.0]\n").starts_with("clients.uneven: expected"));
    let network = "[[events]]\nat_s = 1.0\ndo = \"network\"\nfor_s = 2.0\nlinks = { parts = [0, 1, 1] }\n";
    assert!(error_for(network).starts_with("events: expected"), "a network between proxies requires peers");
    let sound = Scenario::parse(&format!("peers = true\n{network}")).expect("a valid scenario");
    assert!(
        matches!(&sound.events[0].disturbance, Disturbance::Network { links, .. } if links.groups == [0, 1, 1])
    );
    let text = toml::to_string(&sound).expect("a scenario serializes");
    assert_eq!(
        Scenario::parse(&text).expect("a valid scenario"),
        sound,
        "a serialized scenario parses to the same value"
    );
}
