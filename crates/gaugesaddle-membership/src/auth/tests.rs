use super::*;

#[test]
fn only_unchanged_bytes_with_the_same_key_verify() {
    let auth = Authenticator::from_secret(&[7; 32]).unwrap();
    let signed = auth.sign(b"hello".to_vec());
    assert_eq!(signed.len(), 5 + auth.tag_bytes());
    assert_eq!(auth.verify(&signed), Some(&b"hello"[..]));
    for at in 0..signed.len() {
        let mut corrupt = signed.clone();
        corrupt[at] ^= 1;
        assert_eq!(auth.verify(&corrupt), None, "byte {at}");
    }
    assert_eq!(Authenticator::from_secret(&[8; 32]).unwrap().verify(&signed), None);
    assert_eq!(auth.verify(b"short"), None);
    assert_eq!(Authenticator::from_secret(&[7; 31]).unwrap_err(), KeyTooShort { length: 31 });
    assert_eq!(Authenticator::disabled().verify(b"hello"), Some(&b"hello"[..]));
    assert!(!format!("{auth:?}").contains('7'), "the debug output contains no secret");
}
