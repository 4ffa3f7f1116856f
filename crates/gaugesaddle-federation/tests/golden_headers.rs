//! The failure: a renamed word changes the headers between gateways of two builds.

use gaugesaddle_federation::{Fate, Path, HEADER_BYTES};

#[test]
fn headers_between_gateways_keep_their_text() {
    let first = Path::onward(None, "north", "south", 3).expect("it may go on");
    assert_eq!(first.text(), "north;left=2");
    let second = Path::onward(Some(&first), "south", "west", 4).expect("it may go on");
    assert_eq!(second.text(), "north, south;left=1");
    assert_eq!(Path::parse("north, south;left=1", "south"), Ok(second));
    assert_eq!(HEADER_BYTES, 178);
    let outcomes = [(Fate::Ran, "ran"), (Fate::NotRun, "not-run"), (Fate::MayHaveRun, "may-have-run")];
    for (fate, text) in outcomes {
        assert_eq!(fate.text(), text);
        assert_eq!(Fate::read(Some(text.as_bytes())), fate);
    }
    assert_eq!(Fate::read(None), Fate::MayHaveRun);
}
