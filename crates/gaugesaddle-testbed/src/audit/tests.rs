//! The audit on hand-written records: each kind of violation is found alone, and similar but permitted events give no
//! finding.

use super::*;

/// A scenario of one proxy and two nodes in two zones, and a class of each effect (0 safe, 1 keyed, 2 unsafe).
fn scenario() -> Scenario {
    Scenario { proxies: 1, zones: 2, ..Scenario::default() }
}

/// Records with times in milliseconds.
struct Script(Vec<Record>);

const A: Boot = Boot { node: 0, boot: 0 };
const B: Boot = Boot { node: 1, boot: 0 };

impl Script {
    fn new() -> Script {
        let mut script = Script(Vec::new());
        script.at(0, Event::ProxyUp { proxy: 0 });
        for (boot, zone) in [(A, 0), (B, 1)] {
            script.at(0, Event::NodeUp { boot, zone, speed: 1.0, initial_capacity: 1.0, slow_start_us: 0 });
            script.at(0, Event::Delivered { proxy: 0, boot, state: NodeState::Ready });
        }
        script
    }
    fn at(&mut self, ms: u64, event: Event) -> &mut Script {
        self.0.push(Record { at: ms * 1000, event });
        self
    }
    /// A request with a deadline of one second.
    fn request_sent(&mut self, ms: u64, id: u64, class: usize) -> &mut Script {
        let (proxy, first, key, patience_us, fresh) = (0, id, id, 1_000_000, false);
        self.at(ms, Event::RequestSent { proxy, id, first, class, key, patience_us, fresh })
    }
    fn attempt_received(&mut self, ms: u64, id: u64, attempt: u64, boot: Boot) -> &mut Script {
        self.at(ms, Event::Arriving { attempt, boot, proxy: 0 });
        self.at(ms, Event::Received { attempt, id, work_us: 10_000 })
    }
    fn answered(&mut self, ms: u64, id: u64, status: u16, attempt: Option<u64>) -> &mut Script {
        self.at(ms, Event::Answered { id, status, attempt, retry_after_ms: None })
    }
    /// A request that is served without a violation.
    fn served(&mut self, ms: u64, id: u64, class: usize, attempt: u64) -> &mut Script {
        self.request_sent(ms, id, class).attempt_received(ms + 1, id, attempt, A);
        self.at(ms + 20, Event::Replied { attempt, status: 200 });
        self.answered(ms + 21, id, 200, Some(attempt))
    }
    fn verdict(&self) -> Verdict {
        self.audit_with(&scenario())
    }
    fn audit_with(&self, scenario: &Scenario) -> Verdict {
        let mut records = self.0.clone();
        records.sort_by_key(|r| r.at);
        records.push(Record { at: 60_000_000, event: Event::ProxyTerminated { proxy: 0 } });
        audit(scenario, &records, 0)
    }
    fn violations(&self) -> Vec<Violation> {
        let mut all: Vec<Violation> = self.verdict().findings.iter().map(|f| f.violation).collect();
        all.dedup();
        all
    }
}

#[test]
fn requests_served_in_time_give_a_clean_verdict() {
    let mut script = Script::new();
    let verdict = script.served(10, 1, 0, 1).served(100, 2, 1, 2).verdict();
    assert!(verdict.is_clean(), "{verdict}");
    assert_eq!((verdict.g, verdict.attempts), (1.0, 2));
}

#[test]
fn missing_records_make_the_verdict_inconclusive() {
    assert!(!audit(&scenario(), &[], 0).is_clean());
    let mut script = Script::new();
    script.served(10, 1, 0, 1);
    assert!(script.verdict().is_clean());
    assert!(!audit(&scenario(), &script.0, 5).is_clean(), "records are missing");
    // No delivery of a node to the proxy is recorded.
    let mut unwatched = Script::new();
    unwatched.0.retain(|r| !matches!(r.event, Event::Delivered { .. }));
    unwatched.served(10, 1, 0, 1);
    assert!(!unwatched.verdict().inconclusive.is_empty());
}

#[test]
fn each_violation_of_rule_one_is_found() {
    let mut lost = Script::new();
    lost.request_sent(10, 1, 0).at(2000, Event::Unanswered { id: 1 });
    assert_eq!(lost.violations(), [Violation::Lost]);
    let mut never = Script::new();
    never.request_sent(10, 1, 0);
    assert_eq!(never.violations(), [Violation::Lost], "no end of the attempt is recorded");
    let mut closed = Script::new();
    closed.request_sent(10, 1, 0).attempt_received(11, 1, 1, A).at(30, Event::Broken { id: 1, bytes: 0 });
    assert_eq!(closed.violations(), [Violation::Lost], "forwarded and then closed");
    let mut twice = Script::new();
    twice.served(10, 1, 0, 1).at(40, Event::Surplus { id: 1 });
    assert_eq!(twice.violations(), [Violation::AnsweredTwice]);
    let mut again = Script::new();
    again.served(10, 1, 0, 1).answered(50, 1, 200, Some(1));
    assert_eq!(again.violations(), [Violation::AnsweredTwice]);
    let mut late = Script::new();
    late.request_sent(10, 1, 0).answered(1061, 1, 502, None);
    assert_eq!(late.violations(), [Violation::AnsweredLate]);
    let mut foreign = Script::new();
    foreign.served(10, 1, 0, 1).request_sent(100, 2, 0).answered(130, 2, 200, Some(1));
    assert_eq!(foreign.violations(), [Violation::Foreign], "response of another request's attempt");
    let mut after = Script::new();
    after.served(10, 1, 0, 1).attempt_received(200, 1, 2, A);
    assert_eq!(after.violations(), [Violation::SentAfterAnswer]);
    let mut left = Script::new();
    left.request_sent(10, 1, 0).at(50, Event::ClientDisconnected { id: 1 }).attempt_received(150, 1, 1, A);
    assert_eq!(left.violations(), [Violation::SentAfterAnswer], "the client had disconnected");
    let mut crash = Script::new();
    crash.served(10, 1, 0, 1).at(500, Event::ProxyEnded { proxy: 0, clean: false });
    assert_eq!(crash.violations(), [Violation::Crash]);
}

#[test]
fn excusable_losses_are_no_findings() {
    // The connection is closed between two requests without a forwarded attempt; the client sends the request again.
    let mut crossed = Script::new();
    crossed.request_sent(10, 1, 1).at(12, Event::Broken { id: 1, bytes: 0 }).served(13, 1, 1, 1);
    assert_eq!((crossed.violations(), crossed.verdict().closed_unread), (vec![], 1));
    // A killed proxy loses its requests.
    let mut killed = Script::new();
    killed.served(1, 9, 0, 9).request_sent(10, 1, 0).attempt_received(11, 1, 1, A);
    killed.at(20, Event::ProxyKilled { proxy: 0 }).at(21, Event::Broken { id: 1, bytes: 0 });
    assert_eq!(killed.violations(), []);
    // A stopped proxy may respond late to requests sent during the stop, but not to later ones.
    let mut stopped = Script::new();
    stopped.at(10, Event::ProxyStopped { proxy: 0 }).request_sent(20, 1, 0);
    stopped.at(5000, Event::ProxyContinued { proxy: 0 }).answered(5010, 1, 502, None);
    assert_eq!(stopped.violations(), []);
    stopped.request_sent(6000, 2, 0).at(7800, Event::Unanswered { id: 2 });
    assert_eq!(stopped.violations(), [Violation::Lost]);
    // A truncated response: the client can detect the failure.
    let mut half = Script::new();
    half.served(1, 9, 0, 9)
        .request_sent(10, 1, 0)
        .attempt_received(11, 1, 1, A)
        .at(30, Event::Broken { id: 1, bytes: 40 });
    assert_eq!(half.violations(), []);
}

#[test]
fn rule_two_depends_on_the_effect_of_the_class() {
    let repeat = |class: usize, second: Boot, at: u64, rejected_ms: Option<u64>| {
        let mut script = Script::new();
        script.request_sent(10, 1, class).attempt_received(11, 1, 1, A);
        if let Some(ms) = rejected_ms {
            script.at(ms, Event::Rejected { attempt: 1 });
        }
        script.attempt_received(at, 1, 2, second).at(at + 5, Event::Replied { attempt: 2, status: 200 });
        script.answered(at + 6, 1, 200, Some(2));
        script.violations()
    };
    assert_eq!(repeat(0, B, 60, None), [], "a safe request may be retried in any zone at any time");
    assert_eq!(repeat(1, A, 60, None), [], "a keyed request may be retried in its zone and window");
    assert_eq!(
        repeat(1, B, 60, None),
        [Violation::KeyedRepeated],
        "a keyed request is retried in another zone"
    );
    assert_eq!(repeat(1, B, 60, Some(40)), [], "the first attempt was rejected before the retry");
    assert_eq!(
        repeat(1, B, 60, Some(70)),
        [Violation::KeyedRepeated],
        "the first attempt was rejected only after the retry"
    );
    assert_eq!(repeat(2, A, 60, None), [Violation::UnsafeRepeated]);
    assert_eq!(repeat(2, A, 60, Some(40)), []);
    let mut window = Script::new();
    window
        .request_sent(10, 1, 1)
        .attempt_received(11, 1, 1, A)
        .attempt_received(1011, 1, 2, A)
        .attempt_received(1300, 1, 3, A);
    window.answered(1000, 1, 502, None);
    assert!(
        window.violations().contains(&Violation::KeyedRepeated),
        "the last attempt is 1289 ms after the first"
    );
    let refused = |class: usize| {
        let mut script = Script::new();
        script.request_sent(10, 1, class).attempt_received(11, 1, 1, A).answered(60, 1, 503, None);
        script.violations()
    };
    assert_eq!(refused(0), []);
    assert_eq!(refused(1), [Violation::RefusedAfterRun]);
    assert_eq!(refused(2), [Violation::RefusedAfterRun]);
    let mut cut = Script::new();
    cut.request_sent(10, 1, 2)
        .at(11, Event::Arriving { attempt: 1, boot: A, proxy: 0 })
        .attempt_received(20, 1, 2, B);
    cut.at(25, Event::Replied { attempt: 2, status: 200 }).answered(26, 1, 200, Some(2));
    assert_eq!(cut.violations(), [], "the last byte of the first attempt was not received");
}

#[test]
fn rule_three_applies_after_the_grace_of_a_reported_drain() {
    let send = |ms: u64, before: &[(u64, Event)]| {
        let mut script = Script::new();
        for (at, event) in before {
            script.at(*at, event.clone());
        }
        script.served(ms, 1, 0, 1);
        script.violations()
    };
    let delivered = |state| Event::Delivered { proxy: 0, boot: A, state };
    let published = Event::Published { proxy: 0, boot: A, state: NodeState::Draining };
    assert_eq!(send(1540, &[(1000, delivered(NodeState::Draining))]), [], "within the grace");
    assert_eq!(send(1560, &[(1000, delivered(NodeState::Draining))]), [Violation::Drain]);
    assert_eq!(send(1560, &[(1000, delivered(NodeState::Departed))]), [Violation::Drain]);
    assert_eq!(
        send(1540, &[(1000, published.clone())]),
        [],
        "within the grace after publication by the agent"
    );
    assert_eq!(
        send(1560, &[(1000, published.clone())]),
        [Violation::Drain],
        "a published drain counts even if it was not polled"
    );
    let findings_of_polled = |ms: u64| {
        let mut polled_scenario = scenario();
        polled_scenario.discovery.polled = true;
        let mut script = Script::new();
        script.at(1000, published.clone()).served(ms, 1, 0, 1);
        script.audit_with(&polled_scenario).findings.len()
    };
    assert_eq!(findings_of_polled(3000), 0, "the proxy may not have polled the service yet");
    assert_eq!(findings_of_polled(7600), 1, "a published drain counts as delivered after 6 s");
    let back = [(1000, delivered(NodeState::Draining)), (1200, delivered(NodeState::Ready))];
    assert_eq!(send(3000, &back), [], "the drain was cancelled");
    let restarted = [
        (1000, delivered(NodeState::Draining)),
        (1100, Event::ProxyKilled { proxy: 0 }),
        (1200, Event::ProxyUp { proxy: 0 }),
    ];
    assert_eq!(send(3000, &restarted), [], "the drain was not delivered to the restarted process");
}

#[test]
fn rule_four_holds_in_every_window() {
    // The node starts at half speed and has full speed after 10 s. The budget, 2.5 times the capacity of two seconds,
    // is at least 2.75 s of work.
    let flood = |count: u64, every_ms: u64| {
        let mut script = Script::new();
        let boot = Boot { node: 0, boot: 1 };
        script.at(
            1000,
            Event::NodeUp { boot, zone: 0, speed: 1.0, initial_capacity: 0.5, slow_start_us: 10_000_000 },
        );
        for n in 0..count {
            let at = 1100 + n * every_ms;
            script.request_sent(at, n, 0).at(at + 1, Event::Arriving { attempt: n, boot, proxy: 0 });
            script.at(at + 1, Event::Received { attempt: n, id: n, work_us: 30_000 });
            script.at(at + 2, Event::Replied { attempt: n, status: 200 }).answered(at + 3, n, 200, Some(n));
        }
        script.violations()
    };
    assert_eq!(flood(85, 2), [], "2.55 s of work at once");
    assert_eq!(flood(110, 2), [Violation::SlowStartOverload], "3.3 s at once");
    assert_eq!(flood(400, 28), [], "2.1 s in every two seconds");
    assert_eq!(flood(400, 15), [Violation::SlowStartOverload], "4 s in every two seconds");
}

#[test]
fn retries_of_a_client_belong_to_its_first_attempt() {
    let mut script = Script::new();
    script.request_sent(10, 1, 1).answered(20, 1, 503, None);
    let (proxy, key, patience_us, fresh) = (0, 1, 1_000_000, false);
    script.at(100, Event::RequestSent { proxy, id: 2, first: 1, class: 1, key, patience_us, fresh });
    script.attempt_received(101, 2, 1, A).at(120, Event::Replied { attempt: 1, status: 200 }).answered(
        121,
        2,
        200,
        Some(1),
    );
    let verdict = script.verdict();
    assert!(verdict.is_clean(), "{verdict}");
    assert_eq!((verdict.classes[1].requests, verdict.classes[1].attempts, verdict.g), (1, 2, 1.0));
    // The response of the retry is past the latency objective, which counts from the first attempt.
    let mut late = Script::new();
    late.request_sent(10, 1, 1).answered(20, 1, 503, None);
    late.at(250, Event::RequestSent { proxy, id: 2, first: 1, class: 1, key, patience_us, fresh });
    late.attempt_received(251, 2, 1, A).at(262, Event::Replied { attempt: 1, status: 200 }).answered(
        263,
        2,
        200,
        Some(1),
    );
    assert_eq!(late.verdict().g, 0.0);
}

#[test]
fn records_round_trip_through_json() {
    let mut script = Script::new();
    script.served(10, 1, 0, 1);
    for record in &script.0 {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(&serde_json::from_str::<Record>(&text).unwrap(), record);
    }
}
