//! Calls to a control process: one request and one reply at a time, over a connection that is reused.

use crate::{connect, Link, LinkError};
use gaugesaddle_protocol::{ConnectionPreface, Reply, Request};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A connection to one control process.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddrV4,
    link: Link,
}

impl Caller {
    /// Opens a connection and announces requests on it.
    ///
    /// # Errors
    /// Where connecting or the announcement fails or takes longer than `timeout` each.
    pub async fn open(address: SocketAddrV4, timeout: Duration) -> Result<Caller, LinkError> {
        let mut link = Link::new(connect(address, timeout).await?);
        link.send(&ConnectionPreface::Requests, timeout).await?;
        Ok(Caller { address, link })
    }

    /// Returns the `earlier` caller if it is connected to `address`, else opens a new one.
    ///
    /// # Errors
    /// As [`Caller::open`].
    pub async fn reuse_or_open(
        earlier: Option<Caller>, address: SocketAddrV4, timeout: Duration,
    ) -> Result<Caller, LinkError> {
        match earlier.filter(|caller| caller.address == address) {
            Some(caller) => Ok(caller),
            None => Caller::open(address, timeout).await,
        }
    }

    /// Sends one request and receives its reply.
    ///
    /// # Errors
    /// Where sending takes longer than `timeout`, the reply does not begin within `timeout`, or the connection fails. A
    /// late reply would answer the next request, so the caller must be dropped after an error.
    pub async fn call(&mut self, request: &Request, timeout: Duration) -> Result<Reply, LinkError> {
        self.link.send(request, timeout).await?;
        self.link.receive_within(timeout).await
    }
}
