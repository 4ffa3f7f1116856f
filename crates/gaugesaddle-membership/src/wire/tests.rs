use super::*;

fn head() -> Header {
    Header { to: 3, from: 4, boot: Boot(5), incarnation: 6, counter: 7 }
}

fn all() -> Vec<Section> {
    let claim = Claim { boot: Boot(9), incarnation: 2, standing: Standing::Suspect };
    vec![
        Section::Ping { nonce: 1, claim: Some(claim) },
        Section::Ping { nonce: 1, claim: None },
        Section::Ack { nonce: 2 },
        Section::AskFor { target: 1, nonce: 3, claim: Some(claim) },
        Section::Receipt { nonce: 4 },
        Section::PingFor { origin: 5, nonce: 5, claim: None },
        Section::AckFor { origin: 6, nonce: 6 },
        Section::Vouch { subject: 1, boot: Boot(3), incarnation: 4, nonce: 5 },
        Section::Rumor { subject: 7, by: 8, claim },
        Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 3, body: vec![1, 2, 3] },
        Section::Want { subject: 9 },
        Section::Note { body: vec![4, 5] },
        Section::Hello { name: "p1".into(), zone: "a".into() },
    ]
}

#[test]
fn what_is_written_is_read() {
    let mut draft = Draft::new(head(), 0);
    assert!(all().iter().all(|s| draft.push(s)));
    let bytes = draft.finish();
    assert!(bytes.len() <= DATAGRAM_BYTES);
    assert_eq!(header(&bytes), Ok(head()));
    assert_eq!(sections(&bytes), Ok(all()));
}

#[test]
fn what_does_not_fit_is_left_out_whole() {
    let mut draft = Draft::new(head(), 16);
    let record =
        Section::Record { subject: 1, boot: Boot(1), version: 2, age_ms: 3, body: vec![0; RECORD_BYTES] };
    assert!(draft.push(&record));
    assert!(!draft.push(&record));
    let bytes = draft.finish();
    assert_eq!(sections(&bytes), Ok(vec![record]));
}

#[test]
fn what_ends_early_is_refused_whole() {
    let mut draft = Draft::new(head(), 0);
    all().iter().for_each(|s| _ = draft.push(s));
    let bytes = draft.finish();
    let whole: Vec<usize> = (0..=bytes.len()).filter(|n| sections(&bytes[..*n]).is_ok()).collect();
    assert_eq!(whole.len(), all().len() + 1, "only between two sections");
    assert_eq!(header(&bytes[..21]), Err(Garbled::Length));
    assert_eq!(header(&[0x47, 2, 0, 0]), Err(Garbled::Magic));
    assert_eq!(header(&[0x47; 257]), Err(Garbled::Length));
}

#[test]
fn values_out_of_range_are_refused() {
    let with = |section: &[u8]| {
        let mut bytes = Draft::new(head(), 0).finish();
        bytes.extend(section);
        sections(&bytes)
    };
    assert_eq!(with(&[99]), Err(Garbled::Kind));
    assert_eq!(with(&[8, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0]), Err(Garbled::Value), "a rumour of nothing");
    assert_eq!(with(&[8, 0, 1, 0, 1, 5, 0, 0, 0, 1, 0, 0, 0, 0]), Err(Garbled::Value), "no such standing");
    assert_eq!(with(&[8, 0, 1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0]), Err(Garbled::Value), "boot 0");
    assert_eq!(with(&[8, 0, 1, 0, 1, 1, 0, 0, 0, 1, 255, 0, 0, 0]), Err(Garbled::Value), "incarnation");
    assert_eq!(with(&[12, 65]), Err(Garbled::Value), "a note that is too long");
    assert_eq!(with(&[11, 1, 10, 0]), Err(Garbled::Value), "a name with a line's end");
}
