use super::*;

#[test]
fn only_the_same_key_and_the_same_bytes_pass() {
    let seal = Seal::keyed(&[7; 32]).unwrap();
    let closed = seal.close(b"hello".to_vec());
    assert_eq!(closed.len(), 5 + seal.bytes());
    assert_eq!(seal.check(&closed), Some(&b"hello"[..]));
    for at in 0..closed.len() {
        let mut spoilt = closed.clone();
        spoilt[at] ^= 1;
        assert_eq!(seal.check(&spoilt), None, "byte {at}");
    }
    assert_eq!(Seal::keyed(&[8; 32]).unwrap().check(&closed), None);
    assert_eq!(seal.check(b"short"), None);
    assert!(Seal::keyed(&[7; 31]).is_none());
    assert_eq!(Seal::open().check(b"hello"), Some(&b"hello"[..]));
    assert!(!format!("{seal:?}").contains('7'), "no secret in a log");
}
