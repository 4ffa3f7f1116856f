//! The bare relay: a single-threaded reverse proxy on hyper that selects nodes round robin, reuses connections and
//! buffers bodies, without load balancing. Its cost is the minimum of any proxy built on hyper and one thread.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

type UpstreamSender = SendRequest<Full<Bytes>>;

struct BareRelay {
    nodes: Vec<(SocketAddr, RefCell<Vec<UpstreamSender>>)>,
    next_node: Cell<usize>,
}

/// Serves until the process is killed.
pub fn serve(listen: SocketAddr, nodes: Vec<SocketAddr>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::from(2) };
    let served = tokio::task::LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(listen).await?;
        let nodes = nodes.into_iter().map(|n| (n, RefCell::default())).collect();
        let relay = Rc::new(BareRelay { nodes, next_node: Cell::default() });
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let relay = relay.clone();
            tokio::task::spawn_local(async move {
                let service = hyper::service::service_fn(move |r| relay.clone().handle_request(r));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    let served: std::io::Result<()> = served;
    eprintln!("bare relay: serving ended: {served:?}");
    ExitCode::FAILURE
}

impl BareRelay {
    async fn handle_request(
        self: Rc<Self>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let empty = |status| {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        };
        if request.uri().path() == "/-/ready" {
            return Ok(empty(StatusCode::OK));
        }
        Ok(self.forward(request).await.unwrap_or_else(|_| empty(StatusCode::BAD_GATEWAY)))
    }

    async fn forward(
        &self, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let (address, idle) = &self.nodes[self.next_node.get() % self.nodes.len()];
        self.next_node.set(self.next_node.get() + 1);
        let reused = idle.borrow_mut().pop().filter(hyper::client::conn::http1::SendRequest::is_ready);
        let mut sender = match reused {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await?;
                tokio::task::spawn_local(connection);
                sender
            }
        };
        let response = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if sender.ready().await.is_ok() {
            idle.borrow_mut().push(sender);
        }
        Ok(Response::from_parts(head, Full::new(body)))
    }
}
