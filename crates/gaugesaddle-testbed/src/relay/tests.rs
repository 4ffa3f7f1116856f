use super::*;

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn a_relay_forwards_blocks_delays_and_resets() {
    let all = async {
        let bind = "127.0.0.1:0".parse().unwrap();
        let relay = Relay::start(bind, echo().await).await.unwrap();
        let mut stream = TcpStream::connect(relay.address()).await.unwrap();
        let mut buffer = [0; 4];
        stream.write_all(b"one ").await.unwrap();
        stream.read_exact(&mut buffer).await.unwrap();
        assert_eq!((&buffer, relay.bytes_forwarded()), (b"one ", 8));
        relay.block(true);
        stream.write_all(b"two ").await.unwrap();
        let silent = tokio::time::timeout(Duration::from_millis(60), stream.read_exact(&mut buffer)).await;
        assert!(silent.is_err() && relay.bytes_forwarded() == 8);
        relay.block(false);
        let ended = stream.read(&mut buffer).await;
        assert_eq!(
            ended.unwrap_err().kind(),
            io::ErrorKind::ConnectionReset,
            "a connection with pending data is reset"
        );
        let mut stream = TcpStream::connect(relay.address()).await.unwrap();
        stream.write_all(b"back").await.unwrap();
        stream.read_exact(&mut buffer).await.unwrap();
        relay.delay(Duration::from_millis(30));
        let start = std::time::Instant::now();
        stream.write_all(b"late").await.unwrap();
        stream.read_exact(&mut buffer).await.unwrap();
        assert!(start.elapsed() >= Duration::from_millis(60));
        relay.reset();
        let ended = stream.read(&mut buffer).await;
        assert_eq!(ended.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    };
    tokio::task::LocalSet::new().run_until(all).await;
}

#[tokio::test]
async fn an_orderly_close_is_forwarded_without_a_reset() {
    let all = async {
        let bind = "127.0.0.1:0".parse().unwrap();
        let relay = Relay::start(bind, echo().await).await.unwrap();
        let mut stream = TcpStream::connect(relay.address()).await.unwrap();
        stream.write_all(b"last").await.unwrap();
        stream.shutdown().await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert_eq!(text, "last");
    };
    tokio::task::LocalSet::new().run_until(all).await;
}
