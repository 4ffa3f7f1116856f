//! Renders the state of a proxy as text tables. Operators' scripts match their words, so the texts must not change.

use super::registry::{
    AllocationView, BackendStateRow, ClassState, LeaseQuantityView, LimitState, MembershipView, RegionView,
    Snapshot, SoftQuantityView, StormState, ZoneRow, ZonesView,
};
use crate::table;

fn seconds(us: u64) -> String {
    format!("{:.1} s", us as f64 / 1e6)
}

fn milliseconds(us: Option<u64>) -> String {
    us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e3))
}

/// Renders the full state.
pub fn render(state: &Snapshot) -> String {
    let mut text = render_header(state);
    if let Some(storm) = &state.storm {
        text += &render_storm(storm, state.time_us);
    }
    if let Some(view) = &state.region {
        text += &render_regions(view, state.time_us);
        text.push('\n');
    }
    if let Some(view) = &state.peers {
        text += &format!(
            "peers: {} of {} live, {}; `state peers` tells more\n\n",
            view.living, view.told, view.shape
        );
    }
    if let Some(view) = &state.zones {
        text += &render_zones(view);
    }
    if let Some(view) = &state.shares {
        text += &render_shares(view);
        text.push('\n');
    }
    text += &render_classes(&state.classes);
    text.push('\n');
    text += &render_backends(&state.backends);
    text += &render_limits(&state.backends);
    text += &render_reasons(&state.reasons);
    text
}

fn render_header(state: &Snapshot) -> String {
    let age = state.list.age_us.map_or("never told".into(), |age| format!("told {} ago", seconds(age)));
    let index = state.list.index.map_or("-".into(), |index| index.to_string());
    let phase = match (state.stopping, state.draining) {
        (true, _) => ", stopping",
        (false, true) => ", draining",
        (false, false) => "",
    };
    format!(
        "{} (gaugesaddle {}), up {}{}{phase}\nlist version {index}, {age}; {} backends\n\
         open requests {}; connections {} of {}; sockets to backends {} of {}; bodies {} of {} bytes\n\n",
        if state.name.is_empty() { "proxy" } else { &state.name },
        state.program,
        seconds(state.time_us.saturating_sub(state.start_us)),
        if state.serving { ", serving" } else { ", NOT SERVING" },
        state.backends.len(),
        state.open,
        state.connections.now,
        state.connections.most,
        state.upstream_sockets.now,
        state.upstream_sockets.most,
        state.body_bytes.now,
        state.body_bytes.most,
    )
}

fn render_storm(storm: &StormState, now_us: u64) -> String {
    let rate = |per_s: Option<f64>| per_s.map_or("-".into(), |rate| format!("{rate:.0}/s"));
    format!(
        "{} for {}, {} storms so far; {:.0}/s asked, usual {}, {:.0}% again, let in {}\n\n",
        storm.state,
        seconds(now_us.saturating_sub(storm.since_us)),
        storm.storms,
        storm.per_s,
        rate(storm.usual_per_s),
        storm.repeats * 100.0,
        rate(storm.let_in_per_s)
    )
}

fn render_classes(classes: &[ClassState]) -> String {
    let head = [
        "class",
        "taken",
        "in aim",
        "late",
        "refused",
        "crowded",
        "failed",
        "unanswered",
        "restart",
        "elsewhere",
        "left",
    ];
    let row = |class: &ClassState| {
        let numbers = [
            class.taken,
            class.in_aim,
            class.late,
            class.refused.module,
            class.refused.open_cap,
            class.failed.module,
            class.failed.unanswered,
            class.failed.restart,
            class.refused.elsewhere + class.failed.elsewhere,
            class.left,
        ];
        std::iter::once(class.name.clone()).chain(numbers.iter().map(u64::to_string)).collect()
    };
    table::render(&head, classes.iter().map(row))
}

/// The columns of attempts by outcome, in order.
const OUTCOMES: [&str; 8] =
    ["ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "never_sent"];

fn render_backends(backends: &[BackendStateRow]) -> String {
    let head = ["backend", "address", "zone", "kind", "state", "out", "sent"];
    let head: Vec<&str> = head.into_iter().chain(OUTCOMES).chain(["p50 ms", "p99 ms"]).collect();
    let row = |backend: &BackendStateRow| {
        let BackendStateRow { name, address, zone, kind, state, outcomes, .. } = backend;
        let mut row = vec![name.clone(), address.clone(), zone.clone(), kind.clone(), state.clone()];
        row.extend([backend.in_flight.to_string(), backend.attempts.to_string()]);
        let count =
            |name: &str| outcomes.iter().find(|o| o.0 == name).map_or("-".into(), |o| o.1.to_string());
        row.extend(OUTCOMES.map(count));
        row.extend([milliseconds(backend.latency_p50_us), milliseconds(backend.latency_p99_us)]);
        row
    };
    table::render(&head, backends.iter().map(row))
}

fn render_limits(backends: &[BackendStateRow]) -> String {
    let limited = backends.iter().filter_map(|backend| Some((&backend.name, backend.limit.as_ref()?)));
    let row = |(name, l): (&String, &LimitState)| {
        let (limit, slots, in_flight) = (format!("{:.1}", l.limit), l.room.to_string(), l.held.to_string());
        let latencies = [milliseconds(l.unloaded_us), milliseconds(l.recent_us)];
        let mut row = vec![name.clone(), limit, slots, in_flight];
        row.extend(latencies);
        row.push(l.why.clone());
        row
    };
    let rows: Vec<Vec<String>> = limited.map(row).collect();
    if rows.is_empty() {
        return String::new();
    }
    let head = ["backend", "limit", "room", "held", "unloaded ms", "recent ms", "why"];
    format!("\n{}", table::render(&head, rows.into_iter()))
}

fn render_reasons(reasons: &[(String, u64)]) -> String {
    let counted = reasons.iter().filter(|(_, count)| *count > 0);
    let rows: Vec<Vec<String>> =
        counted.map(|(reason, count)| vec![reason.clone(), count.to_string()]).collect();
    if rows.is_empty() {
        return String::new();
    }
    format!("\n{}", table::render(&["reason", "count"], rows.into_iter()))
}

/// Renders the other regions.
pub fn render_regions(view: &RegionView, now_us: u64) -> String {
    let elapsed = |since: u64| format!("{:.1} s", now_us.saturating_sub(since) as f64 / 1e6);
    let state_duration =
        if view.since_us == 0 { String::new() } else { format!(" for {}", elapsed(view.since_us)) };
    let mut text = format!(
        "region {}: {}{state_duration}, switch {}; backends cover {:.2} of what comes\n\
         keys changed {} times, {} sets could not be used; the certificate ends in {} days\n\
         connections from other regions {}, strangers {}, requests barred {}\n\n",
        view.name,
        view.state,
        view.switch,
        view.covered,
        view.keys_taken,
        view.keys_refused,
        view.certificate_end_us.saturating_sub(now_us) / 86_400_000_000,
        view.connections,
        view.strangers,
        view.barred,
    );
    let usage = |pair: (u32, u32)| format!("{} of {}", pair.0, pair.1);
    let rows = view.others.iter().map(|other| {
        let paused = other.paused_until_us.filter(|until| *until > now_us);
        let mut row = vec![other.name.clone(), usage(other.in_flight), usage(other.per_s)];
        row.extend([other.sent, other.ran, other.not_run, other.may_have_run].map(|count| count.to_string()));
        row.extend(
            [other.barred, other.too_late, other.over_budget, other.backed_off]
                .map(|count| count.to_string()),
        );
        row.push(format!("{:.1}", other.trip_us as f64 / 1e3));
        row.push(paused.map_or("-".into(), |until| format!("{:.1} s", (until - now_us) as f64 / 1e6)));
        row.extend([usage(other.taken_in_flight), other.taken.to_string(), other.refused.to_string()]);
        row
    });
    let head = [
        "other",
        "out",
        "this second",
        "sent",
        "ran",
        "not run",
        "may have",
        "barred",
        "too late",
        "budget",
        "backoff",
        "way ms",
        "paused",
        "in service",
        "taken",
        "refused",
    ];
    text += &table::render(&head, rows);
    text
}

/// Renders the tier as observed by this proxy.
pub fn render_peers(view: &MembershipView, now_us: u64) -> String {
    let meaning = match view.shape.as_str() {
        "most" => "more than half of the told tier lives",
        "small" => "few were ever met, nobody is missing",
        _ => "half or more of those that were met are lost: this side may be the smaller one",
    };
    let totals = &view.totals;
    let mut text = format!(
        "peers: {} of {} live ({} suspect), {} dead, {} left, {} never met; {}: {meaning}\n\
         unchanged for {}, last answered {} ago, awake for {}, own waits stretched {} times\n\
         records of {} held, {} of them older than {}, the oldest {}\n\
         the living together:{} a second; {:.0} open, {:.1}/s given up\n\
         sent {} ({} bytes, {} not taken), came {}: garbled {}, foreign {}, forged {}, replayed {}, unproven {}, over {}\n\
         asked {}, no answer {}, objected {}, slept {} times\n\n",
        view.living,
        view.told,
        view.suspect,
        view.dead,
        view.left,
        view.unseen,
        view.shape,
        seconds(view.unchanged_us),
        seconds(view.answered_us),
        seconds(view.awake_us),
        view.health,
        totals.told,
        totals.older,
        seconds(totals.older_than_us),
        seconds(totals.oldest_us),
        totals.arrivals_per_s.iter().map(|(class, rate)| format!(" {class} {rate:.1}")).collect::<String>(),
        totals.held,
        totals.given_up_per_s,
        view.sent,
        view.sent_bytes,
        view.unsent,
        view.came,
        view.garbled,
        view.foreign,
        view.forged,
        view.replayed,
        view.unproven,
        view.over,
        view.asked,
        view.silent,
        view.refuted,
        view.stalls,
    );
    let or_dash = |text: &str| if text.is_empty() { "-".to_string() } else { text.to_string() };
    let rows = view.peers.iter().map(|peer| {
        let mark = match (peer.own, peer.contested) {
            (_, true) => "claimed twice",
            (true, false) => "this one",
            _ => "",
        };
        vec![
            peer.place.to_string(),
            peer.address.clone(),
            or_dash(&peer.name),
            or_dash(&peer.zone),
            peer.state.clone(),
            seconds(now_us.saturating_sub(peer.since_us)),
            peer.boot.clone().unwrap_or("-".into()),
            peer.incarnation.to_string(),
            peer.heard_us.map_or("-".into(), seconds),
            peer.record_age_us.map_or("-".into(), seconds),
            mark.into(),
        ]
    });
    let head =
        ["place", "address", "name", "zone", "state", "for", "boot", "incarnation", "heard", "record", ""];
    text += &table::render(&head, rows);
    text
}

/// Renders this proxy's allocation.
pub fn render_shares(view: &AllocationView) -> String {
    let mut text = format!(
        "shares: {}; {} of {} live, this is the {}. of them\n\
         part {:.4} of the whole, an even one {:.4}; {:.1} of {:.1} requests a second come here, {} have not told theirs\n\
         {} of {} backends are used\n",
        view.state,
        view.living,
        view.told,
        view.position + 1,
        view.part,
        view.even,
        view.need,
        view.needs,
        view.unknown,
        view.uses,
        view.listed,
    );
    let head = ["of", "whole", "own now", "in use", "goes by"];
    let row = |quantity: &SoftQuantityView| {
        let numbers = [quantity.whole, quantity.own, quantity.used].map(|n| format!("{n:.1}"));
        [quantity.name.clone()].into_iter().chain(numbers).chain([quantity.by.clone()]).collect::<Vec<_>>()
    };
    text += &table::render(&head, view.soft.iter().map(row));
    if view.lent.is_empty() {
        return text;
    }
    let head = ["taken from", "whole/s", "even", "own now", "needs", "lent", "borrowed", "lease left"];
    let row = |l: &LeaseQuantityView| {
        let remaining = l.lease_left_us.map_or("-".into(), |us| format!("{:.1} s", us as f64 / 1e6));
        let numbers = [l.whole, l.even, l.usable, l.need, l.given, l.taken].map(|n| n.to_string());
        [l.from.clone()].into_iter().chain(numbers).chain([remaining]).collect::<Vec<_>>()
    };
    text += &table::render(&head, view.lent.iter().map(row));
    text
}

/// Renders the zones as assessed by all proxies together.
pub fn render_zones(view: &ZonesView) -> String {
    let by = view.by.map_or("nobody yet".into(), |by| format!("place {by}"));
    let mut text = format!(
        "zones: decision {}.{} by {by}, held for {:.1} s{}\n",
        view.epoch,
        view.round,
        view.held_us as f64 / 1e6,
        if view.decides { "; this proxy decides" } else { "" },
    );
    view.cut_off
        .iter()
        .for_each(|zones| text += &format!("not ready: cut off from {zones}, which most see\n"));
    view.blind.iter().for_each(|(place, zone)| text += &format!("place {place} is blind to {zone}\n"));
    let head = ["zone", "find it lost", "needs/s", "can/s", "trust", "stays near", "takes"];
    let row = |zone: &ZoneRow| {
        let near: Vec<String> = zone.near.iter().map(|fraction| format!("{fraction:.2}")).collect();
        vec![
            if zone.lost { format!("{} (lost)", zone.name) } else { zone.name.clone() },
            format!("{} of {}", zone.against, zone.voices),
            format!("{:.1}", zone.needs),
            zone.can.map_or("-".into(), |capacity| format!("{capacity:.1}")),
            format!("{:.2}", zone.trust),
            near.join(" "),
            format!("{:.2}", zone.to),
        ]
    };
    text += &table::render(&head, view.zones.iter().map(row));
    text
}
