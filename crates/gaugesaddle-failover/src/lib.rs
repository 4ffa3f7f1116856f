//! Failover between zones and to other regions, decided jointly by the proxies of a tier. No I/O, clock or threads.
//!
//! # Decisions
//!
//! The reports of all proxies are turned into one plan that all of them follow:
//!
//! 1. [`evaluate`] makes one [`Assessment`] of many [`ProxyReport`]s: demand and capacity of each zone, which zones are
//!    lost, and which proxies fail to observe a zone that the majority sees.
//! 2. [`EscalationPolicy`], one a zone, trusts a recovered zone level by level, and a flapping one later each time.
//! 3. [`plan()`] keeps traffic local up to a target utilization and distributes the excess over the headroom of the other
//!    zones. Traffic that no zone has headroom for goes to another region.
//! 4. [`DecisionReplica`] disseminates the plan as a [`Decision`]: the live member with the lowest number decides, and each
//!    proxy follows the newest decision that it has received.
//!
//! The host owns all of these, the settings, the membership and the sockets. Times are those of the host's monotonic clock.
//!
//! # Example
//!
//! The decider's plan reaches another proxy:
//!
//! ```rust
//! use gaugesaddle_balancer::Time;
//! use gaugesaddle_failover::{plan, Decision, DecisionReplica, DecisionVersion, MembershipView};
//!
//! // Two zones and one class; the first zone has no capacity left, so its traffic goes to the second.
//! let plan = plan(0.8, &[vec![40.0], vec![10.0]], &[0.0, 100.0], &[1.0]);
//! assert_eq!(plan.local_fraction, [[0.0], [1.0]]);
//! assert_eq!(plan.inbound_fraction, [0.0, 1.0]);
//!
//! let desired = Decision::from_plan(DecisionVersion::default(), 0, &plan, &[0.0, 1.0], &[0])?;
//! let view = MembershipView { live: &[0, 1], has_majority: true, is_current: true };
//! let tolerance = 13;
//! let mut decider = DecisionReplica::new(0, 2, tolerance, 42);
//! let mut follower = DecisionReplica::new(1, 2, tolerance, 43);
//!
//! let (now, mut out) = (Time(1_000_000), Vec::new());
//! assert!(decider.tick(now, &view, Some(&desired), &mut out));
//! assert!(follower.receive(now, 0, &out[0].bytes, &view, &mut Vec::new()));
//! assert_eq!(follower.current(), decider.current());
//! # Ok::<(), gaugesaddle_failover::PlanError>(())
//! ```
//!
//! # Guarantees
//!
//! - No zone is planned above the common utilization, and no zone both sends traffic to zones and receives it from them.
//! - Traffic goes to another region only when the trusted capacity of all zones is used up, lowest priority weight first.
//! - A minority of faulty reports neither makes a zone lost nor moves its capacity far.
//! - Under a partition each side decides for itself. After it heals, all proxies converge on the majority's decision.
//! - A process that resumes from a stall makes no decision until its host finds its view of the membership current.
//! - Bytes from other processes never cause a panic; a message that is not a decision for this tier is dropped.
//!
//! # Bounds
//!
//! At most [`MAX_ZONES`] zones and [`MAX_HISTORY`] retained decisions. Each proxy that adopts a decision sends it to
//! [`FANOUT`] peers, [`TRANSMISSIONS`] times.

mod decision;
mod decision_replication;
mod escalation;
mod failure_evaluator;
mod numeric;
mod plan;

pub use decision::{
    Decision, DecisionVersion, DecodeError, PlanError, PriorityThreshold, ZoneDirective, DECISION_TAG,
    MAX_DECISION_BYTES, MAX_ZONES,
};
pub use decision_replication::{
    AdoptedDecision, DecisionReplica, MembershipView, Outgoing, ANTI_ENTROPY_INTERVAL, FANOUT, MAX_HISTORY,
    TRANSMISSIONS,
};
pub use escalation::{EscalationLevels, EscalationPolicy, Trust};
pub use failure_evaluator::{
    evaluate, Assessment, EvaluatorSettings, ProxyReport, UnobservedZone, ZoneAssessment, ZoneObservation,
    ZoneStatus,
};
pub use plan::{plan, Plan};
