//! Guards against an exclusion that ends without its command, in any sequence of commands and listed backends, and against
//! bytes from the other process that cause a panic or block later messages.

use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use gaugesaddle_maintenance::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Listed(u64, BackendState, Option<u64>),
    Command(u64, MaintenanceCommand),
}

fn step() -> impl Strategy<Value = Step> {
    let state =
        prop_oneof![Just(BackendState::Ready), Just(BackendState::Draining), Just(BackendState::Departed)];
    let command = prop_oneof![Just(MaintenanceCommand::Exclude), Just(MaintenanceCommand::Include)];
    prop_oneof![
        (0..6u64, state, proptest::option::of(0..200u64)).prop_map(|(id, s, b)| Step::Listed(id, s, b)),
        (0..8u64, command).prop_map(|(id, command)| Step::Command(id, command)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn an_exclusion_holds_until_included_whatever_is_listed(steps in proptest::collection::vec(step(), 1..200)) {
        let mut maintenance = Maintenance::default();
        let (mut excluded, mut listed) = (BTreeSet::new(), BTreeSet::new());
        for (i, step) in steps.into_iter().enumerate() {
            let now = Time(i as u64);
            match step {
                Step::Listed(id, state, booted) => {
                    let entry = Backend { id: BackendId(id), state, booted: booted.map(Time), ..Backend::default() };
                    maintenance.observe(&entry);
                    listed.insert(id);
                    let viewed = maintenance.view(&entry);
                    if excluded.contains(&id) {
                        prop_assert_ne!(viewed.state, BackendState::Ready);
                    } else {
                        prop_assert_eq!(viewed.state, state);
                    }
                    // The start is never before the listed one.
                    prop_assert!(viewed.booted >= entry.booted);
                }
                Step::Command(id, command) => {
                    let known = listed.contains(&id) || excluded.contains(&id);
                    let changed = match command {
                        MaintenanceCommand::Exclude => known && excluded.insert(id),
                        MaintenanceCommand::Include => excluded.remove(&id),
                    };
                    let outcome = maintenance.apply(now, BackendId(id), command);
                    let expected = if !known { CommandOutcome::UnknownBackend } else if changed { CommandOutcome::Applied } else { CommandOutcome::Unchanged };
                    prop_assert_eq!(outcome, expected);
                }
            }
            prop_assert_eq!(maintenance.excluded().map(|b| b.0).collect::<BTreeSet<_>>(), excluded.clone());
        }
    }

    #[test]
    fn any_bytes_of_the_other_process_are_messages_or_errors(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = MessageReader::default();
        reader.push(&bytes);
        let lines = bytes.iter().filter(|b| **b == b'\n').count();
        prop_assert_eq!(std::iter::from_fn(|| reader.next_message()).count(), lines);
        reader.push(b"\n");
        prop_assert!(reader.next_message().is_some());
        reader.push(HandoverMessage::Listening.to_line().as_bytes());
        prop_assert_eq!(reader.next_message().unwrap().unwrap(), HandoverMessage::Listening);
    }
}

/// An included backend gets a slow start until the list shows a restart; one that was not restarted gets it too.
#[test]
fn an_included_backend_counts_as_started_until_the_list_shows_its_start() {
    let mut maintenance = Maintenance::default();
    let old =
        Backend { id: BackendId(1), state: BackendState::Ready, booted: Some(Time(5)), ..Backend::default() };
    maintenance.observe(&old);
    assert_eq!(maintenance.apply(Time(100), old.id, MaintenanceCommand::Exclude), CommandOutcome::Applied);
    assert_eq!(maintenance.apply(Time(200), old.id, MaintenanceCommand::Include), CommandOutcome::Applied);
    assert_eq!(maintenance.view(&old).booted, Some(Time(200)), "the list does not show the restart yet");
    let new = Backend { booted: Some(Time(150)), ..old };
    maintenance.observe(&new);
    assert_eq!(maintenance.view(&new), new, "the list shows the restart");
}

#[test]
fn tables_are_bounded_and_a_message_without_end_is_an_error() {
    let mut maintenance = Maintenance::default();
    (0..MAX_REMEMBERED_BACKENDS as u64 + 10).for_each(|id| maintenance.remember(BackendId(id)));
    assert_eq!(
        maintenance.apply(Time(0), BackendId(3), MaintenanceCommand::Exclude),
        CommandOutcome::UnknownBackend,
        "no longer remembered"
    );
    let first = 10_000;
    for id in first..first + MAX_EXCLUDED_BACKENDS as u64 {
        assert_eq!(
            maintenance.apply(Time(0), BackendId(id), MaintenanceCommand::Exclude),
            CommandOutcome::Applied
        );
    }
    assert_eq!(
        maintenance.apply(Time(0), BackendId(9_999), MaintenanceCommand::Exclude),
        CommandOutcome::LimitReached
    );
    assert_eq!(
        maintenance.apply(Time(0), BackendId(first), MaintenanceCommand::Include),
        CommandOutcome::Applied
    );
    assert_eq!(
        maintenance.inherit_exclusion(Time(0), BackendId(1 << 40)),
        CommandOutcome::Applied,
        "inherited whether listed here or not"
    );
    let mut reader = MessageReader::default();
    reader.push(&vec![b'x'; MAX_MESSAGE_BYTES + 1]);
    assert!(matches!(reader.next_message(), Some(Err(HandoverError::TooLong))));
}
