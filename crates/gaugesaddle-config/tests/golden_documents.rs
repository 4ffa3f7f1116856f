//! Failure guarded against: renaming a field changes a key of the boot file or of the operator's document, and the key
//! is then ignored.
//!
//! Every key of `data/boot.conf` and `data/operator.json` has a value that is not its default.

use gaugesaddle_config::operator::OperatorConfig;
use gaugesaddle_config::{BootSettings, ConfigPatch};
use std::collections::BTreeMap;
use std::path::PathBuf;

const BOOT: &str = include_str!("data/boot.conf");
const OPERATOR: &str = include_str!("data/operator.json");

#[test]
fn every_boot_file_key_is_parsed() {
    let settings = BootSettings::parse(BOOT).expect("the document is valid");
    assert_eq!(settings.node_name, "edge-1");
    assert_eq!(settings.ip.to_string(), "10.1.0.1");
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("zone-a", "north"));
    let zones = [("zone-a", "north"), ("zone-b", "south")].map(|(zone, region)| (zone.into(), region.into()));
    assert_eq!(settings.zones, BTreeMap::from(zones));
    let address = |text: &str| Some(text.parse().expect("the text is an address"));
    assert_eq!(settings.front, address("10.1.0.1:8080"));
    assert_eq!(settings.ready, address("10.1.0.1:8081"));
    assert_eq!(settings.control, address("10.1.0.1:8367"));
    assert_eq!(settings.ephemeral_ports, (7500, 7599));
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.2:8367", "10.2.0.1:8367"]);
    assert!(settings.bootstrap);
    assert_eq!(settings.data_dir, Some(PathBuf::from("/var/lib/gaugesaddle")));
    assert_eq!(settings.heartbeat_ms, 1100);
    let limits = &settings.limits;
    assert_eq!((limits.memory_mb, limits.max_fds, limits.disk_mb), (300, 4100, 64));
    let tolerance = settings.tolerance;
    assert_eq!((tolerance.machines, tolerance.zones, tolerance.regions), (2, 1, 1));
    let bounds = &settings.bounds;
    assert_eq!((bounds.drain_ms, bounds.config_apply_ms, bounds.grace_period_s), (2100, 2200, 8.5));
    assert_eq!((bounds.retry_budget_ratio, bounds.budget_window_s, bounds.budget_slack), (0.15, 11.0, 3.0));
    assert_eq!((bounds.quota_window_s, bounds.quota_excess_fraction, bounds.quota_slack), (9.0, 0.05, 40.0));
    assert_eq!((bounds.ack_ms, bounds.catch_up_s), (4100, 4.5));
    assert_eq!((bounds.fail_closed, bounds.revoke_ms), (true, 5100));
}

#[test]
fn findings_contain_boot_file_keys() {
    let unparsable: String =
        BOOT.lines().map(|line| format!("{}=?\n", line.split('=').next().unwrap())).collect();
    let findings = BootSettings::parse(&unparsable).expect_err("no value can be parsed").to_string();
    for line in BOOT.lines() {
        let key = line.split('=').next().expect("the line has a key");
        // Names and paths accept any text.
        let is_text = ["nodeName", "zone", "region", "dataDir"].contains(&key) || key.starts_with("zones.");
        assert_eq!(findings.contains(&format!(", {key}: expected")), !is_text, "{key} in {findings}");
    }
}

#[test]
fn every_operator_document_key_is_parsed() {
    let config = OperatorConfig::parse(OPERATOR.as_bytes()).expect("the document is valid");
    assert_eq!(config.revision, 41);
    let chat = &config.routes[0];
    let texts = [&chat.name, &chat.hostname, &chat.path_prefix, &chat.route_type].map(String::as_str);
    assert_eq!(texts, ["chat", "llm.example", "/v1/chat", "streaming"]);
    assert_eq!((chat.timeout_ms, chat.target_latency_ms, chat.priority), (30_000.0, 740.0, 1.0));
    assert_eq!((chat.service.as_deref(), chat.max_attempts), (Some("chat"), 3.0));
    assert!(chat.public && chat.session_affinity && chat.stream_resume);
    assert_eq!(chat.event_gap_objective_ms, 57.0);
    let split = &config.routes[1];
    let targets = split.traffic_split.as_ref().expect("the route has a traffic split");
    let targets: Vec<(&str, f64)> =
        targets.iter().map(|target| (target.service.as_str(), target.weight)).collect();
    assert_eq!(targets, [("chat", 0.75), ("draft", 0.25)]);
    let service = &config.services[0];
    assert_eq!((service.name.as_str(), service.health_check_path.as_deref()), ("chat", Some("/healthz")));
    assert_eq!(service.max_connections, 64.0);
    let limits = &config.limits;
    assert_eq!((limits.max_header_bytes, limits.max_body_bytes), (8192.0, 1_048_576.0));
    assert_eq!((limits.header_timeout_ms, limits.idle_timeout_ms), (2500.0, 12_000.0));
    let tenant = &config.tenants[0];
    assert_eq!(
        (tenant.name.as_str(), tenant.priority, tenant.unit.as_deref()),
        ("news", 3.0, Some("tokens"))
    );
    assert_eq!(tenant.api_keys, ["k-1", "k-2"]);
    assert_eq!((tenant.plain_tokens, tenant.rate_per_s, tenant.burst), (120.0, 900.0, 4500.0));
}

#[test]
fn patched_document_equals_golden_bytes() {
    let patch = br#"{"revision":42,"upsert":{"services":[{"name":"draft","maxConnections":8}]},"remove":{"routes":["split"]}}"#;
    let patched = ConfigPatch::parse(patch).and_then(|patch| patch.apply(OPERATOR.as_bytes()));
    assert_eq!(
        String::from_utf8(patched.expect("the patch applies")).as_deref(),
        Ok(include_str!("data/patched.json"))
    );
}
