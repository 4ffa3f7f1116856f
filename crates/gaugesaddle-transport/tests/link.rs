//! Failures guarded against: a peer that loses power inside a message blocks its reader for seconds, or a peer whose large
//! message arrives slowly is taken for failed.

use gaugesaddle_protocol::frame::encode;
use gaugesaddle_protocol::{Configuration, LogPosition, Reply};
use gaugesaddle_transport::{Link, LinkError, Operation};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

fn large() -> Reply {
    let position = LogPosition { term: 1, index: 2 };
    Reply::Read(Some(Configuration { position, revision: 3, document: vec![7; 200_000] }))
}

async fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let sender = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it connects");
    (Link::new(listener.accept().await.expect("it is accepted").0), sender)
}

#[tokio::test]
async fn stall_inside_a_message_times_out() {
    let (mut link, mut sender) = pair().await;
    let frame = encode(&large()).expect("it encodes");
    sender.write_all(&frame[..frame.len() / 2]).await.expect("half is sent");
    let begun = Instant::now();
    let received = link.receive_within::<Reply>(Duration::from_millis(400)).await;
    assert!(matches!(received, Err(LinkError::TimedOut(Operation::Receive))), "{received:?}");
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn message_in_chunks_is_received() {
    let (mut link, mut sender) = pair().await;
    let frame = encode(&large()).expect("it encodes");
    let sending = async {
        for chunk in frame.chunks(9_000) {
            sender.write_all(chunk).await.expect("it is sent");
            tokio::task::yield_now().await;
        }
    };
    let (received, ()) = tokio::join!(link.receive_within::<Reply>(Duration::from_millis(400)), sending);
    assert_eq!(received.expect("it is complete"), large());
}
