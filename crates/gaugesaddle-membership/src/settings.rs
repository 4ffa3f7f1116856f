//! Times and budgets of the protocol, with the reasons for their defaults.

use gaugesaddle_balancer::{ConfigError, Micros};

/// Maximum number of members of a tier: indices fit two bytes, and every process has a table of up to this size.
pub const MAX_MEMBERS: usize = 4096;

/// Times and budgets. All proxies of a tier should have the same values, but the protocol does not require it. The
/// comment of each field gives its key in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval of the probes of live members (`probe_ms`).
    pub probe_interval: Micros,
    /// Time-out of the direct acknowledgement, after which other members are requested to probe (`answer_ms`).
    pub ack_timeout: Micros,
    /// Number of members that are requested to probe (`indirect`).
    pub indirect_probes: u32,
    /// Time-out of a suspicion that several members raised (`suspect_least_ms`).
    pub min_suspicion: Micros,
    /// Time-out of a suspicion that only one member raised (`suspect_most_ms`).
    pub max_suspicion: Micros,
    /// The local record is sent to each other member at most once in this time (`publish_ms`).
    pub publish_interval: Micros,
    /// Bytes per second for records, messages, pending updates and probes of members that are not live, together
    /// (`bytes_per_s`). Probes and acknowledgements of live members come on top, at a constant rate.
    pub bytes_per_s: u32,
    /// Each member that is not live is probed at least once in this time (`retry_ms`).
    pub reconnect_interval: Micros,
    /// The status of a dead or departed member is removed after this time: the member is unknown again (`forget_s`).
    pub retention: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            // Five probes per second, a constant 0.5 kB/s. If half of 300 proxies are killed at once, 95% of these
            // deaths are known within 3 s of virtual time (3.05 s with four probes per second).
            probe_interval: Micros(200_000),
            // About twenty iterations of the event loop of a busy proxy.
            ack_timeout: Micros(100_000),
            // With 50% packet loss in both directions, one of three helpers succeeds more often than not.
            indirect_probes: 3,
            // With 300 proxies and 30% packet loss, hardly any live member is declared dead.
            min_suspicion: Micros(800_000),
            // Three times the minimum; applies if no other member confirms the suspicion.
            max_suspicion: Micros(2_400_000),
            // The consumers of the records do not evaluate them more often.
            publish_interval: Micros(500_000),
            // Below 16 kB/s together with the constant rate; a record of 40 bytes reaches 299 other members every two
            // seconds.
            bytes_per_s: 12_000,
            reconnect_interval: Micros(5_000_000),
            // Longer than a machine takes to restart.
            retention: Micros(600_000_000),
        }
    }
}

impl Settings {
    /// Checks all ranges.
    ///
    /// # Errors
    /// The first field that is out of its range, by its key in the operator's file.
    pub fn check(&self) -> Result<(), ConfigError> {
        let in_ms = |value: Micros, min: u64, max: u64| (min * 1000..=max * 1000).contains(&value.0);
        let checks = [
            (in_ms(self.probe_interval, 50, 10_000), "probe_ms", "50 to 10000"),
            (
                in_ms(self.ack_timeout, 10, 5000) && self.ack_timeout < self.probe_interval,
                "answer_ms",
                "10 to 5000, below probe_ms",
            ),
            (self.indirect_probes <= 8, "indirect", "0 to 8"),
            (in_ms(self.min_suspicion, 100, 60_000), "suspect_least_ms", "100 to 60000"),
            (
                in_ms(self.max_suspicion, 100, 60_000) && self.min_suspicion <= self.max_suspicion,
                "suspect_most_ms",
                "suspect_least_ms to 60000",
            ),
            (in_ms(self.publish_interval, 100, 60_000), "publish_ms", "100 to 60000"),
            ((1000..=1_000_000).contains(&self.bytes_per_s), "bytes_per_s", "1000 to 1000000"),
            (in_ms(self.reconnect_interval, 250, 60_000), "retry_ms", "250 to 60000"),
            (in_ms(self.retention, 10_000, 86_400_000), "forget_s", "10 to 86400"),
        ];
        match checks.into_iter().find(|(in_range, _, _)| !in_range) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
