//! Loopback addresses of a run's own: tests side by side share none, and no outgoing connection of theirs can take a
//! port on which a proxy is to listen again after its restart.

use crate::random::mix;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Port whose holder owns the addresses.
const GUARD_PORT: u16 = 4009;
/// Port of proxies.
const PROXY_PORT: u16 = 5000;
/// Ports of addresses that are requested one by one, on a host of their own.
const NUMBERED_PORTS: std::ops::Range<u16> = 5001..32_000;
/// Most networks that are tried.
const MAX_ATTEMPTS: u64 = 200;

/// The addresses 127.a.b.x, held until it is dropped.
pub struct Lease {
    network: [u8; 2],
    _guard: TcpListener,
}

impl Lease {
    /// Takes addresses that nobody holds.
    ///
    /// # Errors
    /// None was free.
    pub fn acquire() -> io::Result<Lease> {
        let start = u64::from(std::process::id());
        let mut last = io::Error::other("no network was tried");
        for n in 0..MAX_ATTEMPTS {
            let drawn = mix(start, n);
            // Not 127.0.x.x, where everything else on the machine is.
            let network = [1 + (drawn % 254) as u8, (drawn >> 16) as u8];
            match TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], 254), GUARD_PORT)) {
                Ok(guard) => return Ok(Lease { network, _guard: guard }),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    fn host(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], last))
    }

    /// Where a proxy listens, at each of its starts.
    pub fn proxy(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.host((number as u8).wrapping_add(1)), PROXY_PORT)
    }

    /// Another address for each number; the system gives none of them to anybody.
    pub fn numbered(&self, number: usize) -> SocketAddr {
        let port = NUMBERED_PORTS.start + (number % NUMBERED_PORTS.len()) as u16;
        SocketAddr::new(self.host(252), port)
    }

    /// Where a peer may bind; the system gives the port.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.host(253), 0)
    }
}

#[cfg(test)]
mod tests;
