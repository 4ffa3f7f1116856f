use super::*;

#[test]
fn an_older_one_never_takes_the_place_of_a_newer_one() {
    let mut records = Records::new(2);
    let mut take =
        |at, boot, version| records.take(Time(at), 1, (Boot(boot), version), Micros(5), &[version as u8]);
    assert!(take(10, 1, 4));
    assert!(!take(11, 1, 4) && !take(12, 1, 3));
    assert!(take(13, 1, 5));
    assert!(take(14, 2, 1), "another process counts anew");
    let held = records.get(1).unwrap();
    assert_eq!((held.version, held.age(Time(20))), (1, Micros(11)));
    records.drop(1);
    assert_eq!(records.get(1), None);
    assert!(!records.take(Time(20), 1, (Boot(2), 1), Micros(0), &[]), "dropped, and not forgotten");
    assert!(!records.take(Time(20), 2, (Boot(2), 1), Micros(0), &[]), "no such place");
}
