use super::*;
use crate::member_state::MemberState;

fn test_header() -> Header {
    Header { to: 3, from: 4, boot: Boot(5), incarnation: 6, counter: 7 }
}

fn all_sections() -> Vec<Section> {
    let status = MemberStatus { boot: Boot(9), incarnation: 2, state: MemberState::Suspect };
    vec![
        Section::Ping { nonce: 1, status: Some(status) },
        Section::Ping { nonce: 1, status: None },
        Section::Ack { nonce: 2 },
        Section::PingRequest { target: 1, nonce: 3, status: Some(status) },
        Section::PingRequestReceipt { nonce: 4 },
        Section::IndirectPing { origin: 5, nonce: 5, status: None },
        Section::IndirectAck { origin: 6, nonce: 6 },
        Section::ForwardedAck { subject: 1, boot: Boot(3), incarnation: 4, nonce: 5 },
        Section::Update { subject: 7, reporter: 8, status },
        Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 3, body: vec![1, 2, 3] },
        Section::RecordRequest { subject: 9 },
        Section::Message { body: vec![4, 5] },
        Section::Hello { name: "p1".into(), zone: "a".into() },
    ]
}

#[test]
fn encoded_sections_are_decoded() {
    let mut datagram = DatagramBuilder::new(test_header(), 0);
    assert!(all_sections().iter().all(|s| datagram.push(s)));
    let bytes = datagram.finish();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(decode_header(&bytes), Ok(test_header()));
    assert_eq!(decode_sections(&bytes), Ok(all_sections()));
}

#[test]
fn a_section_that_does_not_fit_is_omitted() {
    let mut datagram = DatagramBuilder::new(test_header(), 16);
    let record =
        Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 3, body: vec![0; MAX_RECORD_BYTES] };
    assert!(datagram.push(&record));
    assert!(!datagram.push(&record));
    let bytes = datagram.finish();
    assert_eq!(decode_sections(&bytes), Ok(vec![record]));
}

#[test]
fn truncated_datagrams_are_rejected() {
    let mut datagram = DatagramBuilder::new(test_header(), 0);
    all_sections().iter().for_each(|s| _ = datagram.push(s));
    let bytes = datagram.finish();
    let complete: Vec<usize> = (0..=bytes.len()).filter(|n| decode_sections(&bytes[..*n]).is_ok()).collect();
    assert_eq!(
        complete.len(),
        all_sections().len() + 1,
        "a datagram that ends between two sections is valid"
    );
    assert_eq!(decode_header(&bytes[..21]), Err(DecodeError::Length));
    assert_eq!(decode_header(&[0x47, 2, 0, 0]), Err(DecodeError::Magic));
    assert_eq!(decode_header(&[0x47; 257]), Err(DecodeError::Length));
}

#[test]
fn values_out_of_range_are_rejected() {
    let with = |section: &[u8]| {
        let mut bytes = DatagramBuilder::new(test_header(), 0).finish();
        bytes.extend(section);
        decode_sections(&bytes)
    };
    assert_eq!(with(&[99]), Err(DecodeError::Kind));
    assert_eq!(
        with(&[8, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
        Err(DecodeError::Value),
        "an update without a status"
    );
    assert_eq!(with(&[8, 0, 1, 0, 1, 5, 0, 0, 0, 1, 0, 0, 0, 0]), Err(DecodeError::Value), "no such state");
    assert_eq!(with(&[8, 0, 1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0]), Err(DecodeError::Value), "boot 0");
    assert_eq!(with(&[8, 0, 1, 0, 1, 1, 0, 0, 0, 1, 255, 0, 0, 0]), Err(DecodeError::Value), "incarnation");
    assert_eq!(with(&[12, 65]), Err(DecodeError::Value), "a message that is too long");
    assert_eq!(with(&[11, 1, 10, 0]), Err(DecodeError::Value), "a name with a line feed");
}
