//! Calls to a control process: one request and one reply at a time, over a connection that is reused.

use crate::{connect, Link, LinkError};
use gaugesaddle_protocol::frame::Compression;
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
        Caller::open_with(address, Compression::Unsupported, timeout).await
    }

    /// Opens a connection to a process with that support for compression. Where it is supported, the announcement has it
    /// compress replies, too; a process of a build without compression closes such a connection.
    ///
    /// # Errors
    /// As [`Caller::open`].
    pub async fn open_with(
        address: SocketAddrV4, compression: Compression, timeout: Duration,
    ) -> Result<Caller, LinkError> {
        let preface = match compression {
            Compression::Supported => ConnectionPreface::CompressedRequests,
            Compression::Unsupported => ConnectionPreface::Requests,
        };
        let mut link = Link::new(connect(address, timeout).await?);
        link.send(&preface, timeout).await?;
        link.set_compression(compression);
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
        self.call_and_notify(request, timeout, || ()).await
    }

    /// As [`Caller::call`]; calls `on_begun` once the reply begins to arrive.
    ///
    /// # Errors
    /// As [`Caller::call`].
    pub async fn call_and_notify(
        &mut self, request: &Request, timeout: Duration, on_begun: impl FnOnce(),
    ) -> Result<Reply, LinkError> {
        self.link.send(request, timeout).await?;
        let header = self.link.receive_header(timeout).await?;
        on_begun();
        self.link.receive_body(header).await
    }
}
