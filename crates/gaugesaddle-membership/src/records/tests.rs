use super::*;

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut records = Records::new(2);
    let mut insert =
        |at, boot, version| records.insert(Time(at), 1, (Boot(boot), version), Micros(5), &[version as u8]);
    assert!(insert(10, 1, 4));
    assert!(!insert(11, 1, 4) && !insert(12, 1, 3));
    assert!(insert(13, 1, 5));
    assert!(insert(14, 2, 1), "versions of another process are independent");
    let record = records.get(1).unwrap();
    assert_eq!((record.version, record.age(Time(20))), (1, Micros(11)));
    records.remove(1);
    assert_eq!(records.get(1), None);
    assert!(
        !records.insert(Time(20), 1, (Boot(2), 1), Micros(0), &[]),
        "its version is kept after the removal"
    );
    assert!(!records.insert(Time(20), 2, (Boot(2), 1), Micros(0), &[]), "no such index");
}
