//! Loopback addresses for a single run. Concurrent tests share no addresses, and no outgoing connection of a test can
//! take the port on which a proxy listens again after a restart.

use crate::random::mix;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Port of the listener that reserves the network.
const GUARD_PORT: u16 = 4009;
/// Port on which proxies listen.
const PROXY_PORT: u16 = 5000;
/// Ports of the numbered addresses, on a host of their own.
const NUMBERED_PORTS: std::ops::Range<u16> = 5001..32_000;
/// Most networks that are tried before an error is returned.
const MAX_ATTEMPTS: u64 = 200;

/// The loopback network 127.a.b.0/24, reserved until it is dropped.
pub struct Lease {
    network: [u8; 2],
    _guard: TcpListener,
}

impl Lease {
    /// Reserves a free network.
    ///
    /// # Errors
    /// No tried network was free.
    pub fn acquire() -> io::Result<Lease> {
        let start = u64::from(std::process::id());
        let mut last = io::Error::other("no loopback network was tried");
        for n in 0..MAX_ATTEMPTS {
            let drawn = mix(start, n);
            // 127.0.x.x is excluded, since other programs on the machine use it.
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

    /// The listen address of a proxy, the same at each of its starts.
    pub fn proxy(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.host((number as u8).wrapping_add(1)), PROXY_PORT)
    }

    /// A distinct address for each number, whose port the kernel assigns to no other socket.
    pub fn numbered(&self, number: usize) -> SocketAddr {
        let port = NUMBERED_PORTS.start + (number % NUMBERED_PORTS.len()) as u16;
        SocketAddr::new(self.host(252), port)
    }

    /// A bind address for peers, with a port assigned by the kernel.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.host(253), 0)
    }
}

#[cfg(test)]
mod tests;
