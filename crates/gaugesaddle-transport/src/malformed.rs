//! Counts malformed messages, and decides which of them are logged. Performs no I/O.

use crate::LinkError;
use gaugesaddle_protocol::frame::FrameError;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;

/// Maximum number of peers that are counted separately: one machine for each proxy of the largest fleet, with headroom.
pub const MAX_PEERS: usize = 1024;
/// Minimum time between two log lines for the same peer, in milliseconds.
pub const LOG_INTERVAL_MS: u64 = 60_000;
/// Key of the shared counter for peers beyond [`MAX_PEERS`].
const OTHER_PEERS: u32 = 0;

#[derive(Clone, Copy, Debug, Default)]
struct PeerCount {
    messages: u64,
    logged_ms: Option<u64>,
}

/// Counts of malformed messages, by the IPv4 address of their sender.
#[derive(Clone, Debug, Default)]
pub struct MalformedMessages {
    by_peer: BTreeMap<u32, PeerCount>,
}

impl MalformedMessages {
    /// Counts an error of a link to the machine `ip` at `now` (milliseconds) if its cause is a malformed message, such
    /// as one in another version of the format or of another protocol. Returns the number of such messages if it is to
    /// be logged: for the first message of a peer, and then at most once per [`LOG_INTERVAL_MS`].
    pub fn record(&mut self, now: u64, ip: u32, error: &LinkError) -> Option<u64> {
        if !is_malformed(error) {
            return None;
        }
        let is_known = self.by_peer.contains_key(&ip) || self.by_peer.len() < MAX_PEERS;
        let count = self.by_peer.entry(if is_known { ip } else { OTHER_PEERS }).or_default();
        count.messages = count.messages.saturating_add(1);
        if count.logged_ms.is_some_and(|logged_ms| now < logged_ms + LOG_INTERVAL_MS) {
            return None;
        }
        count.logged_ms = Some(now);
        Some(count.messages)
    }

    /// Counts an error as [`MalformedMessages::record`] does, and returns the line to log, if any.
    pub fn log_line(&mut self, now: u64, ip: u32, error: &LinkError) -> Option<String> {
        let count = self.record(now, ip, error)?;
        let cause = error.source().map_or_else(|| error.to_string(), ToString::to_string);
        Some(format!("malformed message from {}, {count} so far: {cause}", Ipv4Addr::from(ip)))
    }
}

/// Whether the error is a malformed message, rather than a socket error or a message that cannot be encoded here.
fn is_malformed(error: &LinkError) -> bool {
    match error {
        LinkError::Frame(FrameError::Encode(_)) | LinkError::Socket { .. } | LinkError::TimedOut(_) => false,
        LinkError::Frame(_) => true,
    }
}
