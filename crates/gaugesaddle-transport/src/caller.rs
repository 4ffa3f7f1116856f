//! Calls to a control process: one request, one answer, over a connection that is kept.

use crate::{connect, Link, LinkError};
use gaugesaddle_protocol::{Opening, Reply, Request};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A connection to one control process.
#[derive(Debug)]
pub struct Caller {
    to: SocketAddrV4,
    link: Link,
}

impl Caller {
    /// Opens a connection within a time.
    pub async fn open(to: SocketAddrV4, within: Duration) -> Result<Caller, LinkError> {
        let mut link = Link::new(connect(to, within).await?);
        link.send(&Opening::Requests, within).await?;
        Ok(Caller { to, link })
    }

    /// The process it speaks to.
    pub fn to(&self) -> SocketAddrV4 {
        self.to
    }

    /// One request and its answer. After an error the connection is of no use.
    pub async fn call(&mut self, request: &Request, within: Duration) -> Result<Reply, LinkError> {
        self.link.send(request, within).await?;
        self.link.receive_within(within).await
    }
}
