//! Connections to control processes, compressed where the process supports it.

use crate::state::EdgeState;
use gaugesaddle_protocol::frame::Compression;
use gaugesaddle_transport::{Caller, LinkError};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which compression is not announced to a process that closed a connection, in milliseconds: the process of an
/// earlier build closes a connection with that announcement, and may be replaced at any time.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of addresses: all control processes of the largest fleet, with headroom.
const MAX_ADDRESSES: usize = 64;

/// Addresses of the control processes that may be of a build without compression, with the time at which they closed a
/// connection, in milliseconds.
#[derive(Default)]
pub struct AddressesWithoutCompression {
    closed_ms: BTreeMap<u32, u64>,
}

impl AddressesWithoutCompression {
    /// Records that a process closed a connection.
    pub fn record_closed(&mut self, now: u64, ip: u32) {
        self.closed_ms.retain(|_, at| now < *at + RETENTION_MS);
        if self.closed_ms.len() < MAX_ADDRESSES {
            self.closed_ms.insert(ip, now);
        }
    }

    fn contains(&self, now: u64, ip: u32) -> bool {
        self.closed_ms.get(&ip).is_some_and(|at| now < *at + RETENTION_MS)
    }
}

/// A connection to the control process on the machine `ip`.
pub struct Connection {
    ip: u32,
    caller: Caller,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// As [`Caller::open`].
    pub async fn open(
        state: &EdgeState, ip: u32, without_compression: &RefCell<AddressesWithoutCompression>,
    ) -> Result<Connection, LinkError> {
        let address = state.boot.control_process_address(ip);
        let compression = if without_compression.borrow().contains(state.now(), ip) {
            Compression::Unsupported
        } else {
            Compression::Supported
        };
        let caller = Caller::open_with(address, compression, CONNECT_TIMEOUT).await?;
        Ok(Connection { ip, caller })
    }

    /// Address of the machine.
    pub fn ip(&self) -> u32 {
        self.ip
    }

    /// The connection itself.
    pub fn caller(&mut self) -> &mut Caller {
        &mut self.caller
    }
}

#[cfg(test)]
mod tests;
