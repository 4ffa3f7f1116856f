use super::*;

#[test]
fn response_is_attributed_only_to_the_request_it_names() {
    let answer = |body: &str| Message { body: body.into(), ..Message::default() };
    assert_eq!(attempt_of(&answer("attempt=12 id=00000000000000ab"), 0xab), Some(12));
    assert_eq!(attempt_of(&answer("attempt=12 id=00000000000000ab"), 0xac), None);
    assert_eq!(attempt_of(&answer("hello"), 0xab), None);
}
