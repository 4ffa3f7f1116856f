use super::*;

#[test]
fn an_answer_counts_only_for_the_request_that_it_names() {
    let answer = |body: &str| Message { body: body.into(), ..Message::default() };
    assert_eq!(attempt_of(&answer("attempt=12 id=00000000000000ab"), 0xab), Some(12));
    assert_eq!(attempt_of(&answer("attempt=12 id=00000000000000ab"), 0xac), None);
    assert_eq!(attempt_of(&answer("hello"), 0xab), None);
}
