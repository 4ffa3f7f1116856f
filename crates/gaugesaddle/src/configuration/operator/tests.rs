use super::*;

fn parse_error(text: &str) -> String {
    parse(text).expect_err("the text is invalid").to_string()
}

#[test]
fn an_error_names_the_line_the_key_and_the_expected_value() {
    let message = parse_error("[log]\nlevel = \"info\"\n\n[state]\n# how many\nconnections = 65\n");
    assert_eq!(message, "line 6: state.connections: expected a whole number from 1 to 64, got 65");
    let message = parse_error("[state]\nsocket = \"state.sock\"\n");
    assert!(message.starts_with("line 2: state.socket: expected an absolute path"), "{message}");
    let message = parse_error("[state]\nsokket = \"/x\"\n");
    assert!(message.starts_with("line 2: state.sokket: unknown field `sokket`"), "{message}");
    assert!(message.contains("expected `socket` or `connections`"), "{message}");
    let message = parse_error("[stat]\n");
    assert!(message.contains("unknown field `stat`"), "{message}");
    let message = parse_error("[log]\nlevel = \"loud\"\n");
    assert!(message.starts_with("line 2: log.level: unknown variant `loud`"), "{message}");
    let message = parse_error("[log]\nlevel = = 3\n");
    assert!(message.starts_with("line 2: "), "{message}");
    let message = parse_error("[limits]\nleast_per_backend = 9\nmost_per_backend = 4\n");
    let expected = "limits.most_per_backend: expected no less than limits.least_per_backend (9), got 4";
    assert_eq!(message, expected);
    let message = parse_error("[limits]\nleast_per_backend = 0\n");
    assert!(message.ends_with("expected a whole number from 1 to 10000, got 0"), "{message}");
    let message = parse_error("[state]\nconnections = -1\n");
    assert!(message.ends_with("got -1"), "{message}");
}

/// A valid section `[region]` in which the first occurrence of `from` is replaced by `to`.
fn region(from: &str, to: &str) -> String {
    let valid =
        "[region]\nenabled = true\nname = \"north\"\ncertificate = \"/c\"\nkey = \"/k\"\ntrust = \"/t\"\n\
                 listen = \"127.0.0.1:7443\"\nhops = 1\n[region.rule]\nenter_ms = 500\n\
                 [[region.other]]\nname = \"south\"\naddresses = [\"127.0.0.1:7444\"]\nround_trip_ms = 40\n\
                 send = { per_s = 10, in_flight = 5 }\ntake = { per_s = 10, in_flight = 5 }\n\
                 [[region.other]]\nname = \"west\"\naddresses = [\"127.0.0.1:7445\"]\nround_trip_ms = 40\n\
                 send = { per_s = 10, in_flight = 5 }\ntake = { per_s = 10, in_flight = 5 }\n";
    assert!(from.is_empty() || valid.contains(from), "the section does not contain {from}");
    valid.replacen(from, to, 1)
}

#[test]
fn each_invalid_region_setting_is_reported_with_its_key() {
    assert!(parse(&region("", "")).is_ok());
    for (line, to, expected) in [
        ("name = \"north\"", "name = \"North\"", "region.name: expected up to 32 lower-case"),
        ("name = \"south\"", "name = \"north\"", "region.other.0.name: expected another region than this"),
        ("name = \"west\"", "name = \"south\"", "region.other.1.name: expected each region once"),
        (
            "127.0.0.1:7445",
            "127.0.0.1:7444",
            "region.other.1.addresses: expected addresses of no other region",
        ),
        (
            "127.0.0.1:7444",
            "127.0.0.1:7443",
            "region.other.0.addresses: expected addresses of no other region",
        ),
        (
            "send = { per_s = 10",
            "send = { per_s = 0",
            "region.other.0.send.per_s: expected 1 to 100000, got 0",
        ),
        ("in_flight = 5", "in_flight = 0", "region.other.0.send.in_flight: expected 1 to 100000, got 0"),
        ("send = { per_s = 10", "send = { per_s = -1", "line 15: region.other.send"),
        ("hops = 1", "hops = 5", "region.hops: expected 1 to 4, got 5"),
        ("enter_ms = 500", "enter_ms = 0", "region.rule.enter_ms: expected 1 to 600000, got 0"),
        ("enter_ms = 500", "short_below_percent = 90", "region.rule.enough_from_percent: expected 91 to 200"),
        ("round_trip_ms = 40", "round_trip_ms = 0", "region.other.0.round_trip_ms: expected 1 to 10000"),
        ("key = \"/k\"", "key = \"k\"", "region.key: expected an absolute path"),
        ("key = \"/k\"", "keys = \"/k\"", "line 5: region.keys: unknown field `keys`"),
    ] {
        let message = parse_error(&region(line, to));
        assert!(message.starts_with(expected), "{message}\nfor {expected}");
    }
}

#[test]
fn each_invalid_setting_of_peers_shares_and_failover_is_reported_with_its_key() {
    let list = |own: &str, rest: &str| {
        format!("[peers]\nenabled = true\nlisten = \"{own}\"\naddresses = [\"127.0.0.1:7946\", \"127.0.0.2:7946\"]\n{rest}")
    };
    assert!(parse(&list("127.0.0.2:7946", "")).is_ok());
    for (text, expected) in [
        (list("127.0.0.3:7946", ""), "peers.addresses: expected a list with this proxy's own address"),
        (list("127.0.0.1:7946", "own = \"127.0.0.3:1\"\n"), "peers.own: expected a list with this proxy's"),
        (list("0.0.0.0:7946", "own = \"127.0.0.1:7946\"\n"), "peers.key: missing, expected a key file"),
        (list("127.0.0.1:7946", "key = \"k\"\n"), "peers.key: expected an absolute path"),
        (list("127.0.0.1:7946", "answer_ms = 300\n"), "peers.answer_ms: expected 10 to 5000, below probe_ms"),
        (list("127.0.0.1:7946", "bytes_per_s = 10\n"), "peers.bytes_per_s: expected 1000 to 1000000"),
        (list("127.0.0.1:7946", "probes = 1\n"), "line 5: peers.probes: unknown field `probes`"),
        (list("127.0.0.1:7946", "probe_ms = -1\n"), "line 5: peers.probe_ms: invalid value"),
        (list("127.0.0.1", ""), "line 3: peers.listen: invalid socket address"),
        (list("127.0.0.1:7946", "").replace(".2:", ".1:"), "peers.addresses.1: expected each address once"),
        ("[shares]\nenabled = true\n".into(), "shares.enabled: expected peers.enabled = true"),
        ("[shares]\nfloor_percent = 101\n".into(), "shares.floor_percent: expected 0 to 100, got 101"),
        ("[shares]\nmost_times = 0\n".into(), "shares.most_times: expected 1 to 1000, got 0"),
        ("[shares]\nover_ms = 5\n".into(), "shares.over_ms: expected 100 to 60000, got 5"),
        ("[failover]\nenabled = true\n".into(), "failover.enabled: expected peers.enabled = true"),
        ("[failover]\ntarget_percent = 101\n".into(), "failover.target_percent: expected 10 to 100, got 101"),
        ("[peers]\nenabled = true\naddresses = [\"127.0.0.1:1\"]\n".into(), "peers.listen: missing"),
    ] {
        let message = parse_error(&text);
        assert!(message.starts_with(expected), "{message}\nfor {expected}");
    }
}

#[test]
fn the_shipped_file_contains_the_defaults_and_every_key() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gaugesaddle.toml");
    assert_eq!(load(&path).expect("valid"), OperatorConfig::default(), "the file must contain the defaults");
    let text = std::fs::read_to_string(path).unwrap();
    // The file must also be valid with every commented key enabled, so that it lists no unknown key.
    let uncommented = |l: &str| match l.strip_prefix("#") {
        Some(key) if !key.starts_with(' ') && (key.contains('=') || key.starts_with('[')) => key.to_string(),
        _ => l.to_string(),
    };
    let all: Vec<String> = text.lines().map(uncommented).collect();
    let all = parse(&all.join("\n")).expect("all keys must be known");
    assert!(all.state.socket.is_some());
    assert_eq!(all.region.other.len(), 1);
    assert_eq!(all.peers.addresses.len(), 3);
    for key in [
        "level",
        "socket",
        "connections",
        "enabled",
        "longest_retry_after_s",
        "sources",
        "least_per_backend",
        "most_per_backend",
        "switch",
        "exercise_percent",
        "listen",
        "certificate",
        "key",
        "trust",
        "hops",
        "margin_ms",
        "drain_s",
        "short_below_percent",
        "enough_from_percent",
        "enter_ms",
        "return_ms",
        "send",
        "take",
        "addresses",
        "own",
        "all",
        "probe_ms",
        "answer_ms",
        "indirect",
        "suspect_least_ms",
        "suspect_most_ms",
        "publish_ms",
        "bytes_per_s",
        "retry_ms",
        "forget_s",
        "floor_percent",
        "most_times",
        "least_percent",
        "over_ms",
    ] {
        assert!(text.lines().any(|l| l.trim_start_matches('#').starts_with(&format!("{key} ="))), "{key}");
    }
}

#[test]
fn an_empty_file_yields_the_defaults_and_invalid_utf8_is_reported() {
    assert_eq!(parse("").unwrap(), OperatorConfig::default());
    let file = std::env::temp_dir().join(format!("gaugesaddle-operator-{}", std::process::id()));
    std::fs::write(&file, b"[log]\n\xff\xfe").unwrap();
    let message = load(&file).expect_err("the file is not UTF-8").to_string();
    std::fs::remove_file(&file).unwrap();
    assert!(message.ends_with("line 2: expected UTF-8"), "{message}");
    assert!(load(Path::new("/nowhere/at/all")).is_err());
}
