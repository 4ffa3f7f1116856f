//! The failure: a peer that loses power inside a message holds its reader for seconds, or one whose large message comes
//! slowly is given up.

use gaugesaddle_protocol::frame::encode;
use gaugesaddle_protocol::{Configuration, LogPosition, Reply};
use gaugesaddle_transport::{Link, LinkError};
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
    (Link::new(listener.accept().await.expect("it comes").0), sender)
}

#[tokio::test]
async fn a_peer_that_falls_silent_inside_a_message_is_left_soon() {
    let (mut link, mut sender) = pair().await;
    let frame = encode(&large()).expect("it encodes");
    sender.write_all(&frame[..frame.len() / 2]).await.expect("half goes out");
    let begun = Instant::now();
    let got = link.receive_within::<Reply>(Duration::from_millis(400)).await;
    assert!(matches!(got, Err(LinkError::TimedOut)), "{got:?}");
    assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_message_in_pieces_comes_whole() {
    let (mut link, mut sender) = pair().await;
    let frame = encode(&large()).expect("it encodes");
    let sending = async {
        for piece in frame.chunks(9_000) {
            sender.write_all(piece).await.expect("it goes out");
            tokio::task::yield_now().await;
        }
    };
    let (got, ()) = tokio::join!(link.receive_within::<Reply>(Duration::from_millis(400)), sending);
    assert_eq!(got.expect("it is whole"), large());
}
