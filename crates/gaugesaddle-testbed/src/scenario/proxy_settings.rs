//! The settings that the platform passes to a proxy of a scenario.

use super::{zone_name, Class, Effect, Scenario};
use serde_json::{json, Value};

impl Scenario {
    /// The settings of a proxy, by its position in the fleet.
    pub fn settings(&self, position: usize) -> Value {
        let us = |ms: f64| (ms * 1000.0) as u64;
        let class = |c: &Class| {
            let effect = match c.effect {
                Effect::Safe => "free",
                Effect::Keyed => "guarded",
                Effect::Unsafe => "single_shot",
            };
            json!({"name": c.name, "effect": effect, "key_scope": "zone", "window_us": us(c.window_ms),
                   "aim_us": us(c.objective_ms), "deadline_us": us(c.deadline_ms), "gain": c.priority_weight, "late_worth": 0.0,
                   "stream": false})
        };
        let region = self.region(position);
        let own: Vec<usize> = (0..self.proxies).filter(|p| self.region(*p) == region).collect();
        let ramp = self.kinds.iter().map(|k| k.slow_start_s).fold(0.0, f64::max);
        let cold = self.kinds.iter().map(|k| k.initial_capacity).fold(1.0, f64::min);
        json!({
            "blend": {"whole": 0.6, "worst_class": 0.3, "worst_window": 0.1},
            "costs": {"cross_zone": self.cross_zone},
            "customers": [],
            "discovery": if self.discovery.polled { "subscribe" } else { "automatic" },
            "granularity_us": 4000,
            "group_size": own.len(),
            "position": own.iter().position(|p| *p == position).unwrap_or(0),
            "limits": {"cancel": true, "conn_idle_us": 30_000_000, "dial_timeout_us": 120_000, "max_attempts": 5,
                       "open_cap": self.limits.open_cap, "parallel_tries": true, "retry_after": true},
            "my_zone": zone_name(position % self.zones),
            "over_share_worth": 0.1,
            "profiles": self.classes.iter().map(class).collect::<Vec<_>>(),
            "rules": {"cold_from": cold, "fall_multiple": self.rules.fall_multiple,
                      "must_ask_in_us": us(self.rules.report_deadline_s * 1e3), "ramp_time_us": us(ramp * 1e3),
                      "tip_after_us": us(self.rules.fall_ms), "stop_sending_within_us": us(self.rules.drain_grace_ms)},
            "weight_source": "rough",
            "zones": (0..self.zones).filter(|h| self.region(*h) == region).map(zone_name).collect::<Vec<_>>(),
        })
    }
}
