//! What an operator may set, with its reasons.

use gaugesaddle_balancer::{ConfigError, Micros};

/// Places in a tier: what a datagram's two bytes and a table of this size can hold with room to spare.
pub const MOST_PEERS: usize = 4096;

/// The times and budgets of a tier. All proxies should have the same; they need not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// One other proxy is asked each time that this has passed.
    pub probe: Micros,
    /// Without an answer for so long, others are asked to ask.
    pub answer: Micros,
    /// So many others.
    pub indirect: u32,
    /// A suspect has this time to object where several found it silent ...
    pub suspect_least: Micros,
    /// ... and this where only one did.
    pub suspect_most: Micros,
    /// The own record goes to each other proxy no more often than this.
    pub publish: Micros,
    /// What records and attempts at lost proxies may take together; questions and answers come on top, a flat rate.
    pub bytes_per_s: u32,
    /// A lost proxy is tried again by each other one at least this often.
    pub retry: Micros,
    /// One that is dead or has left is forgotten after this time: it counts as never met.
    pub forget: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        // Five questions a second, a flat 0.5 kB: of 300 proxies half are killed at once and 95 in 100 of these deaths
        // are known within 3 s (virtual time; with four a second it took 3.05 s). 100 ms are some twenty turns of a busy
        // proxy. Three helpers: one of them is reached at 50% loss both ways more often than not. 0.8 s: at 300 proxies
        // and 30% loss nearly nobody is held dead wrongly; 2.4 s where nobody else saw it, three times that. Half a
        // second: what decides by records looks no more often. 12 kB: with the flat rate under 16 kB, a record of 40
        // bytes reaches 299 others every two seconds. Ten minutes outlast a restart of a machine.
        Settings {
            probe: Micros(200_000),
            answer: Micros(100_000),
            indirect: 3,
            suspect_least: Micros(800_000),
            suspect_most: Micros(2_400_000),
            publish: Micros(500_000),
            bytes_per_s: 12_000,
            retry: Micros(5_000_000),
            forget: Micros(600_000_000),
        }
    }
}

impl Settings {
    /// The first one that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let ms = |span: Micros, least: u64, most: u64| (least * 1000..=most * 1000).contains(&span.0);
        let tests = [
            (ms(self.probe, 50, 10_000), "probe_ms", "50 to 10000"),
            (
                ms(self.answer, 10, 5000) && self.answer < self.probe,
                "answer_ms",
                "10 to 5000, below probe_ms",
            ),
            (self.indirect <= 8, "indirect", "0 to 8"),
            (ms(self.suspect_least, 100, 60_000), "suspect_least_ms", "100 to 60000"),
            (
                ms(self.suspect_most, 100, 60_000) && self.suspect_least <= self.suspect_most,
                "suspect_most_ms",
                "suspect_least_ms to 60000",
            ),
            (ms(self.publish, 100, 60_000), "publish_ms", "100 to 60000"),
            ((1000..=1_000_000).contains(&self.bytes_per_s), "bytes_per_s", "1000 to 1000000"),
            (ms(self.retry, 250, 60_000), "retry_ms", "250 to 60000"),
            (ms(self.forget, 10_000, 86_400_000), "forget_s", "10 to 86400"),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
