//! Checks that in no order of messages, writes, crashes and lost disks a term has two leaders, a confirmed change is
//! lost, or two groups decide independently during a membership change.
//!
//! The tests run many random walks with a limit on the number of events of each kind; this is not an exhaustive search.
//! Nothing depends on time: any replica may campaign at any time, no lease expires, and each voter is treated as
//! unresponsive, so that any voter may be replaced or removed. Messages may be lost, delayed and reordered, but not
//! duplicated.

use gaugesaddle_consensus::{
    Input, Output, Proposal, ProposalResult, Replica, Role, Settings, Storage, WriteId,
};
use gaugesaddle_protocol::{Digest, HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A time-out that never expires during a walk.
const NEVER_MS: u64 = 1 << 40;
const NOW: u64 = 1 << 41;
const HEARTBEAT_INTERVAL_MS: u64 = 120;

/// Number of walks per group size.
const WALKS: u64 = 3000;
/// Maximum number of steps in a walk.
const MAX_STEPS: usize = 400;

/// Remaining number of events of each kind on a walk.
#[derive(Clone, Copy, Debug)]
struct Budget {
    campaigns: u8,
    heartbeats: u8,
    proposals: u8,
    crashes: u8,
    wipes: u8,
    joins: u8,
}

#[derive(Clone)]
struct Write {
    write_id: WriteId,
    hard_state: HardState,
    state: Option<State>,
}

#[derive(Clone)]
struct Machine {
    replica: Replica,
    clock: u64,
    hard_state: Option<HardState>,
    state: Option<State>,
    writes: Vec<Write>,
}

#[derive(Clone)]
struct Group {
    machines: BTreeMap<u32, Machine>,
    messages: Vec<(ReplicaId, ReplicaId, ReplicaMessage)>,
    budget: Budget,
    /// The leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Revision and document that were reported as committed at each position.
    committed: BTreeMap<LogPosition, (u64, Vec<u8>)>,
    /// Digests of all proposals, by request number.
    proposed: BTreeMap<u64, Digest>,
    /// Digests of the proposals that were reported as committed.
    confirmed: Vec<Digest>,
    incarnations: u64,
    min_voters: usize,
}

/// A possible next event.
#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    CompleteWrite(u32),
    Campaign(u32),
    Heartbeat(u32),
    Propose(u32),
    Crash(u32),
    Wipe(u32),
    Join(u32, u32),
}

fn settings(min_voters: usize) -> Settings {
    Settings {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_ms: NEVER_MS,
        election_jitter_ms: 1,
        first_election_timeout_ms: NEVER_MS,
        pre_vote_retry_ms: NEVER_MS,
        pre_vote_jitter_ms: 1,
        leader_lease_ms: NEVER_MS,
        disk_stall_ms: NEVER_MS,
        follower_lease_ms: 1,
        replacement_timeout_ms: 0,
        removal_timeout_ms: 0,
        min_voters,
    }
}

impl Group {
    /// A group of `size` voters with a committed membership, led by the first voter.
    fn new(size: u32, losses: usize, budget: Budget) -> Group {
        let voters: Vec<ReplicaId> = (1..=size).map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        let mut group = Group {
            machines: BTreeMap::new(),
            messages: Vec::new(),
            budget: Budget { campaigns: 1, heartbeats: 0, proposals: 0, crashes: 0, wipes: 0, joins: 0 },
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposed: BTreeMap::new(),
            confirmed: Vec::new(),
            incarnations: 100,
            min_voters: 2 * losses + 1,
        };
        for id in &voters {
            let position = LogPosition { term: 1, index: 1 };
            let state = State { position, voters: voters.clone(), ..State::default() };
            let hard_state = HardState { id: *id, term: 1, voted_for: Some(voters[0]) };
            group.start(id.ip, hard_state, state);
        }
        // All replicas, including the first itself, follow the first replica, so that it accepts `TimeoutNow`.
        // Afterwards all messages are delivered.
        let first = voters[0];
        let message = ReplicaMessage::Append {
            term: 1,
            sequence: 1,
            last_position: LogPosition { term: 1, index: 1 },
            committed: LogPosition::default(),
            state: None,
            echoed_reading: None,
        };
        for ip in 1..=size {
            group.input(ip, Input::Message { from: first, message: message.clone() });
        }
        group.messages.clear();
        group.step(Step::Campaign(1));
        while let Some(step) = group.faultless_step() {
            group.step(step);
        }
        assert!(
            group.machines[&1].replica.is_membership_committed()
                && group.machines[&1].replica.role() == Role::Leader
        );
        group.budget = budget;
        group
    }

    /// A step that is not a fault and uses no budget.
    fn faultless_step(&self) -> Option<Step> {
        let writing =
            self.machines.iter().find(|(_, m)| !m.writes.is_empty()).map(|(ip, _)| Step::CompleteWrite(*ip));
        writing.or_else(|| (!self.messages.is_empty()).then_some(Step::Deliver(0)))
    }

    fn start(&mut self, ip: u32, hard_state: HardState, state: State) {
        let settings = settings(self.min_voters);
        let replica = Replica::new(settings, hard_state, state.clone(), NOW, u64::from(ip), Storage::Durable);
        let machine = Machine {
            replica,
            clock: NOW,
            hard_state: Some(hard_state),
            state: Some(state),
            writes: Vec::new(),
        };
        self.machines.insert(ip, machine);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.messages.len()).map(Step::Deliver).collect();
        for (ip, machine) in &self.machines {
            let leads = machine.replica.role() == Role::Leader;
            if !machine.writes.is_empty() {
                steps.push(Step::CompleteWrite(*ip));
            }
            if self.budget.campaigns > 0
                && machine.replica.role() == Role::Follower
                && machine.replica.leader().is_some()
            {
                steps.push(Step::Campaign(*ip));
            }
            if self.budget.heartbeats > 0 && leads {
                steps.push(Step::Heartbeat(*ip));
            }
            if self.budget.proposals > 0 && leads {
                steps.push(Step::Propose(*ip));
            }
            if self.budget.crashes > 0 {
                steps.push(Step::Crash(*ip));
            }
            if self.budget.wipes > 0 && machine.hard_state.is_some_and(|b| b.id.incarnation == 0) {
                steps.push(Step::Wipe(*ip));
            }
            if self.budget.joins > 0 && leads {
                let joiners =
                    self.machines.iter().filter(|(_, m)| !machine.replica.voters().contains(&m.replica.id()));
                steps.extend(joiners.map(|(joiner, _)| Step::Join(*joiner, *ip)));
            }
        }
        steps
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(number) => {
                let (from, to, message) = self.messages.remove(number);
                if self.machines.get(&to.ip).is_some_and(|m| m.replica.id() == to) {
                    self.input(to.ip, Input::Message { from, message });
                }
            }
            Step::CompleteWrite(ip) => {
                let Some(machine) = self.machines.get_mut(&ip) else { return };
                let write = machine.writes.remove(0);
                machine.hard_state = Some(write.hard_state);
                machine.state = write.state.or(machine.state.take());
                self.input(ip, Input::Persisted(write.write_id));
            }
            Step::Campaign(ip) => {
                self.budget.campaigns -= 1;
                let replica = &self.machines[&ip].replica;
                let (term, leader) = (replica.term(), replica.leader());
                if let Some(from) = leader {
                    self.input(ip, Input::Message { from, message: ReplicaMessage::TimeoutNow { term } });
                }
            }
            Step::Heartbeat(ip) => {
                self.budget.heartbeats -= 1;
                if let Some(machine) = self.machines.get_mut(&ip) {
                    machine.clock += HEARTBEAT_INTERVAL_MS;
                }
                self.input(ip, Input::Tick);
            }
            Step::Propose(ip) => {
                self.budget.proposals -= 1;
                let number = u64::from(self.budget.proposals) + 1;
                let base = self.machines[&ip].replica.committed().map_or(0, |c| c.revision);
                let proposal = Proposal::new(base, base + 1, vec![number as u8]);
                self.proposed.insert(number, proposal.digest);
                self.input(ip, Input::Propose(number, Box::new(proposal)));
            }
            Step::Crash(ip) => {
                self.budget.crashes -= 1;
                self.restart(ip);
            }
            Step::Wipe(ip) => {
                self.budget.wipes -= 1;
                if let Some(machine) = self.machines.get_mut(&ip) {
                    (machine.hard_state, machine.state) = (None, None);
                }
                self.restart(ip);
            }
            Step::Join(joiner, leader) => {
                self.budget.joins -= 1;
                let from = self.machines[&joiner].replica.id();
                self.input(leader, Input::Message { from, message: ReplicaMessage::Join { durable: true } });
            }
        }
    }

    /// Restarts a machine's process from the contents of its disk.
    fn restart(&mut self, ip: u32) {
        self.incarnations += 1;
        let new_id = ReplicaId { ip, incarnation: self.incarnations };
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        machine.writes.clear();
        let hard_state = machine.hard_state.unwrap_or(HardState { id: new_id, term: 0, voted_for: None });
        let state = machine.state.clone().unwrap_or_default();
        let clock = machine.clock;
        machine.replica = Replica::new(
            settings(self.min_voters),
            hard_state,
            state,
            clock,
            self.incarnations,
            Storage::Durable,
        );
    }

    fn input(&mut self, ip: u32, input: Input) {
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let mut outputs = Vec::new();
        machine.replica.handle(machine.clock, input, &mut outputs);
        let id = machine.replica.id();
        for output in outputs {
            match output {
                Output::Send(to, message) => self.messages.push((id, to, message)),
                Output::Broadcast(_) | Output::Read(..) => {}
                Output::Persist { write_id, hard_state, state } => {
                    let state = state.map(|state| *state);
                    if let Some(machine) = self.machines.get_mut(&ip) {
                        machine.writes.push(Write { write_id, hard_state, state });
                    }
                }
                Output::Committed => self.record_committed(ip),
                Output::Proposed(number, ProposalResult::Committed) => {
                    let digest = self.proposed[&number];
                    self.confirmed.push(digest);
                }
                Output::Proposed(..) => {}
            }
        }
        let replica = &self.machines[&ip].replica;
        if replica.role() == Role::Leader {
            let first = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(first, id, "term {} has two leaders", replica.term());
        }
    }

    fn record_committed(&mut self, ip: u32) {
        let Some(c) = self.machines[&ip].replica.committed() else { return };
        let reported = (c.revision, c.document.clone());
        let first = self.committed.entry(c.position).or_insert_with(|| reported.clone());
        assert_eq!(*first, reported, "two states are committed at {:?}", c.position);
        let newest = self.committed.values().map(|(revision, _)| *revision).collect::<Vec<_>>();
        assert!(newest.windows(2).all(|pair| pair[0] <= pair[1]), "committed revisions decrease: {newest:?}");
    }

    /// Checks that each confirmed proposal is among the committed states.
    fn check(&self) {
        let Some((position, (revision, document))) = self.committed.iter().next_back() else {
            assert!(self.confirmed.is_empty(), "a proposal was confirmed although no state is committed");
            return;
        };
        for digest in &self.confirmed {
            let found = self.committed.values().any(|(revision, document)| {
                Proposal::new(revision - 1, *revision, document.clone()).digest == *digest
            });
            assert!(
                found,
                "a confirmed proposal is lost; the newest state is {position:?} {revision} {document:?}"
            );
        }
    }
}

/// Takes random steps until no step is possible, but at most `max_steps`.
fn walk(seed: u64, mut group: Group, max_steps: usize) -> Group {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..max_steps {
        let steps = group.steps();
        if steps.is_empty() {
            break;
        }
        // Most steps are message deliveries and write completions; otherwise elections would rarely complete.
        let is_progress = |step: &Step| matches!(step, Step::Deliver(_) | Step::CompleteWrite(_));
        let (progressing, others): (Vec<Step>, Vec<Step>) = steps.into_iter().partition(is_progress);
        let progresses = others.is_empty() || !progressing.is_empty() && random.next_u64() % 10 != 0;
        let among = if progresses { progressing } else { others };
        let step = among[random.next_u64() as usize % among.len()];
        // One message in sixteen is lost.
        match step {
            Step::Deliver(number) if random.next_u64() % 16 == 0 => drop(group.messages.remove(number)),
            step => group.step(step),
        }
        group.check();
    }
    group
}

fn check_random_walks(size: u32, losses: usize, budget: Budget) {
    let initial = Group::new(size, losses, budget);
    let (mut terms, mut confirmed, mut changed) = (0, 0, 0);
    for seed in 0..WALKS {
        let end = walk(seed, initial.clone(), MAX_STEPS);
        terms += end.leaders.len();
        confirmed += end.confirmed.len();
        let first: Vec<ReplicaId> = initial.machines[&1].replica.voters().to_vec();
        changed += usize::from(
            end.machines.values().any(|m| m.replica.is_membership_committed() && m.replica.voters() != first),
        );
    }
    // Walks without elections, commitments and membership changes would not exercise the invariants.
    let walks = WALKS as usize;
    assert!(terms > walks, "only {terms} terms had a leader on {walks} walks");
    assert!(confirmed > walks / 4, "only {confirmed} changes were confirmed on {walks} walks");
    assert!(changed > walks / 10, "the voters changed on only {changed} of {walks} walks");
}

#[test]
fn invariants_hold_on_random_walks_of_three_voters() {
    check_random_walks(
        3,
        1,
        Budget { campaigns: 4, heartbeats: 12, proposals: 3, crashes: 3, wipes: 1, joins: 4 },
    );
}

#[test]
fn invariants_hold_on_random_walks_of_four_voters() {
    check_random_walks(
        4,
        1,
        Budget { campaigns: 4, heartbeats: 12, proposals: 3, crashes: 3, wipes: 1, joins: 4 },
    );
}

#[test]
fn invariants_hold_on_random_walks_of_five_voters() {
    check_random_walks(
        5,
        2,
        Budget { campaigns: 4, heartbeats: 14, proposals: 3, crashes: 3, wipes: 2, joins: 6 },
    );
}
