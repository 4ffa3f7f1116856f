//! Compatibility of scenario and record files: files written by an earlier version are read and written back unchanged.

use gaugesaddle_testbed::{Record, Scenario};

/// One record of every kind of event, one JSON object a line.
const RECORDS: &str = include_str!("data/records.jsonl");
/// A scenario with every key and every kind of event.
const SCENARIO: &str = include_str!("data/scenario.toml");

#[test]
fn every_event_keeps_its_bytes() {
    for line in RECORDS.lines() {
        let record: Record = serde_json::from_str(line).expect(line);
        assert_eq!(serde_json::to_string(&record).unwrap(), line);
    }
}

#[test]
fn a_scenario_keeps_its_keys() {
    let scenario: Scenario = toml::from_str(SCENARIO).unwrap();
    assert_eq!(toml::to_string(&scenario).unwrap(), SCENARIO);
}

#[test]
fn the_defaults_keep_their_keys() {
    let text = toml::to_string(&Scenario::default()).unwrap();
    assert_eq!(text, include_str!("data/defaults.toml"));
}
