use super::*;

fn machine(cold: bool) -> Processor {
    let kind = Kind {
        speed: 2.0,
        initial_capacity: 0.5,
        slow_start_s: 1.0,
        slots_per_core: 2,
        queue_per_core: 1,
        ..Kind::default()
    };
    let overload = Overload { at: 1.5, over_s: 0.1, slower: 4.0, below: 0.5, rest_s: 0.1 };
    Processor::new(&kind, overload, 0, cold)
}

/// Runs until a job completes; returns the time in milliseconds.
fn end_of(p: &mut Processor, id: u64) -> f64 {
    let mut ended = Vec::new();
    while !ended.contains(&id) {
        let next = p.next().expect("a running job");
        p.run(next, &mut ended);
        assert!(next < 60_000_000, "the job does not complete within 60 s");
    }
    p.now / 1e3
}

#[test]
fn a_single_job_takes_its_work_divided_by_the_speed() {
    let mut p = machine(false);
    assert!(p.offer(0, 1, 20_000));
    assert!((end_of(&mut p, 1) - 10.0).abs() < 0.1);
    assert_eq!((p.in_flight(), p.next()), (0, None));
}

#[test]
fn jobs_share_a_core_and_excess_jobs_are_queued_or_rejected() {
    let mut p = machine(false);
    assert!(p.offer(0, 1, 20_000) && p.offer(0, 2, 20_000) && p.offer(0, 3, 20_000));
    assert!(!p.offer(0, 4, 20_000), "two slots and a queue of one are full");
    assert!((end_of(&mut p, 1) - 20.0).abs() < 0.1);
    assert!((end_of(&mut p, 3) - 30.0).abs() < 0.1);
}

#[test]
fn a_cold_machine_runs_at_its_initial_capacity() {
    let mut p = machine(true);
    assert!(p.offer(0, 1, 20_000));
    let cold = end_of(&mut p, 1);
    // Half speed at first and slightly more by the end; the completion is seen within 20 ms.
    assert!((19.0..=20.0).contains(&cold), "{cold}");
    let work = work_between(2.0, 0.5, 1e6, 0.0, cold * 1e3);
    assert!((work - 20_000.0).abs() < 300.0, "{work}");
    assert!((work_between(2.0, 0.5, 1e6, 0.0, 2e6) - 2.0 * (0.75e6 + 1e6)).abs() < 1.0);
    assert!((work_between(2.0, 0.5, 1e6, 1.5e6, 2e6) - 1e6).abs() < 1.0);
}

#[test]
fn sustained_load_overloads_a_machine_and_low_load_ends_the_overload() {
    let mut p = machine(false);
    let mut ended = Vec::new();
    p.offer(0, 1, 1_000_000);
    p.offer(0, 2, 1_000_000);
    p.run(90_000, &mut ended);
    assert!(!p.overloaded);
    p.run(120_000, &mut ended);
    assert!(p.overloaded, "two requests per core for 0.1 s");
    end_of(&mut p, 1);
    let now = p.now as u64;
    p.run(now + 300_000, &mut ended);
    assert!(!p.overloaded, "recovered after 0.1 s of low load");
}

#[test]
fn a_hung_machine_completes_no_job() {
    let mut p = machine(false);
    p.offer(0, 1, 1_000);
    p.hung = true;
    let mut ended = Vec::new();
    p.run(5_000_000, &mut ended);
    assert!(ended.is_empty() && p.next().is_some());
    p.hung = false;
    assert!(end_of(&mut p, 1) > 5_000.0);
}
