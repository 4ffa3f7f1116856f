//! Connections between the processes of the fleet: frames over TCP with time-outs.
//!
//! The crate decides when a connection has failed; its users decide how to handle the failure.
//!
//! - [`Link`]: owns a TCP connection and exchanges messages of `gaugesaddle-protocol` on it.
//! - [`Caller`]: owns a [`Link`] to a control process, for one request and reply at a time.
//! - [`LinkError`]: an error after which a connection can no longer be used, with the [`Operation`] that failed.
//! - [`Clock`]: the monotonic clock whose milliseconds all decisions are based on.
//! - [`log`]: the log level.
//! - [`malformed`]: counts malformed messages and limits how often they are logged.
//!
//! ```
//! use gaugesaddle_protocol::ConnectionPreface;
//! use gaugesaddle_transport::{accept, connect, listen, Link, LinkError};
//! use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
//! use std::time::Duration;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
//! let timeout = Duration::from_secs(1);
//! let listener = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
//! let SocketAddr::V4(address) = listener.local_addr()? else { unreachable!("bound to IPv4") };
//! let mut client = Link::new(connect(address, timeout).await?);
//! let mut server = Link::new(accept(&listener).await.0);
//! client.send(&ConnectionPreface::Requests, timeout).await?;
//! let preface: ConnectionPreface = server.receive_within(timeout).await?;
//! assert!(matches!(preface, ConnectionPreface::Requests));
//! # Ok(())
//! # })
//! # }
//! ```
//!
//! # Guarantees
//!
//! A peer that hangs or loses power is detected by a time-out, independently of the wall clock. Bytes from the network
//! never cause a panic.
//!
//! # Bounds
//!
//! A message has at most [`MAX_BYTES`](gaugesaddle_protocol::frame::MAX_BYTES); a longer one is rejected by its header,
//! before memory is allocated for it.

mod caller;
pub mod clock;
mod error;
mod link;
pub mod log;
pub mod malformed;

pub use caller::Caller;
pub use clock::Clock;
pub use error::{LinkError, Operation};
pub use link::{accept, connect, listen, Link};
