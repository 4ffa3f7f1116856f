//! Failures guarded against: a peer that loses power inside a message blocks its reader for seconds, or a peer whose
//! large message arrives slowly is considered failed.

use gaugesaddle_protocol::frame::encode;
use gaugesaddle_protocol::{Configuration, LogPosition, Reply};
use gaugesaddle_transport::{Link, LinkError, Operation};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

fn large_reply() -> Reply {
    let position = LogPosition { term: 1, index: 2 };
    Reply::Read(Some(Configuration { position, revision: 3, document: vec![7; 200_000] }))
}

async fn connected_pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let sender = TcpStream::connect(listener.local_addr().expect("the listener has an address"))
        .await
        .expect("connect to the listener");
    (Link::new(listener.accept().await.expect("accept the connection").0), sender)
}

#[tokio::test]
async fn stall_inside_a_message_times_out() {
    let (mut link, mut sender) = connected_pair().await;
    let frame = encode(&large_reply()).expect("encode the reply");
    sender.write_all(&frame[..frame.len() / 2]).await.expect("send half of the frame");
    let begun = Instant::now();
    let received = link.receive_within::<Reply>(Duration::from_millis(400)).await;
    assert!(matches!(received, Err(LinkError::TimedOut(Operation::Receive))), "{received:?}");
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn message_in_chunks_is_received() {
    let (mut link, mut sender) = connected_pair().await;
    let frame = encode(&large_reply()).expect("encode the reply");
    let sending = async {
        for chunk in frame.chunks(9_000) {
            sender.write_all(chunk).await.expect("send a chunk");
            tokio::task::yield_now().await;
        }
    };
    let (received, ()) = tokio::join!(link.receive_within::<Reply>(Duration::from_millis(400)), sending);
    assert_eq!(received.expect("the message is received"), large_reply());
}
