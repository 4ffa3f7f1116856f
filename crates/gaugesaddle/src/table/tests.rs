#[test]
fn columns_are_aligned_and_numbers_right_aligned() {
    let rows = [vec!["long name".to_string(), "7".into()], vec!["b".into(), "1234".into()]];
    let text = super::render(&["name", "n"], rows.into_iter());
    assert_eq!(text, "name          n\nlong name     7\nb          1234\n");
}
