use super::*;

async fn read(text: &str) -> io::Result<Message> {
    Reader::new(text.as_bytes()).message().await
}

#[tokio::test]
async fn messages_are_read_by_length_and_by_chunks() {
    let one = read("POST /x HTTP/1.1\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabcd").await.unwrap();
    assert_eq!((one.path(), one.header("x-a"), one.body.as_slice()), ("/x", Some("b"), &b"abc"[..]));
    let two =
        read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n").await;
    assert_eq!(two.unwrap().body, b"abc");
    assert!(read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").await.is_err());
    assert!(read("HTTP/1.1 200").await.is_err());
    assert!(read("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n").await.is_err());
}
