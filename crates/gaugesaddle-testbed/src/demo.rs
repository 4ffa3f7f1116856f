//! The local demo: a small fleet under disturbances, displayed while it runs.

use gaugesaddle_testbed::scenario::{Clients, ScheduledDisturbance};
use gaugesaddle_testbed::{
    program, run, Disturbance, Event, Program, Progress, ProxyImplementation, Scenario,
};
use std::collections::HashMap;
use std::io::{self, IsTerminal, Write};

/// The disturbances of the demo, spread over its duration.
fn disturbances(seconds: f64) -> Vec<ScheduledDisturbance> {
    let at = |fraction: f64, what: Disturbance| ScheduledDisturbance {
        at_s: fraction * seconds,
        disturbance: what,
    };
    vec![
        at(0.10, Disturbance::Slow { node: 4, factor: 5.0, for_s: 0.25 * seconds }),
        at(0.20, Disturbance::Crash { node: 1, back_after_s: Some(0.15 * seconds) }),
        at(0.30, Disturbance::KillProxy { proxy: 1, back_after_s: 2.0 }),
        at(0.40, Disturbance::Drain { node: 2, over_s: 3.0, back_after_s: Some(0.5) }),
        at(0.50, Disturbance::Hang { node: 7, for_s: 0.15 * seconds }),
        at(0.60, Disturbance::DiscoveryDown { for_s: 0.1 * seconds }),
        at(0.70, Disturbance::Deploy { nodes: 3, group: 1, every_s: 0.06 * seconds }),
        at(0.80, Disturbance::RestartProxy { proxy: 2 }),
    ]
}

/// A human-readable description of a disturbance.
fn describe(what: &Disturbance) -> String {
    match what {
        Disturbance::Slow { node, factor, .. } => format!("node n{node} runs {factor} times slower"),
        Disturbance::Crash { node, .. } => format!("node n{node} crashes, a cold one follows"),
        Disturbance::KillProxy { proxy, .. } => format!("proxy p{proxy} is killed"),
        Disturbance::Drain { node, .. } => format!("node n{node} drains, a cold one follows"),
        Disturbance::Hang { node, .. } => format!("node n{node} accepts requests and does not respond"),
        Disturbance::DiscoveryDown { .. } => "discovery stops responding".into(),
        Disturbance::Deploy { nodes, .. } => format!("a rolling deploy of {nodes} nodes begins"),
        Disturbance::RestartProxy { proxy } => format!("proxy p{proxy} is restarted gracefully"),
        other => format!("{other:?}"),
    }
}

/// Counts of the requests of a class, over an interval of about one second or the whole run.
#[derive(Default, Clone)]
struct Counts {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
}

struct Screen {
    scenario: Scenario,
    plain: bool,
    /// Class of each request without a response, by id.
    class_of: HashMap<u64, usize>,
    now: Vec<Counts>,
    all: Vec<Counts>,
    drawn_at: f64,
}

/// Runs the demo and returns whether the rules were kept.
pub fn demo(seed: u64, seconds: f64, plain: bool) -> io::Result<bool> {
    let program = Program { path: program::build("gaugesaddle")?, arguments: Vec::new() };
    let defaults = Scenario::default();
    let scenario = Scenario {
        seconds,
        clients: Clients { per_s: 220.0, ..defaults.clients.clone() },
        events: disturbances(seconds),
        ..defaults
    }
    .seed(seed)
    .named("demo");
    println!(
        "{} proxies, {} nodes in {} halls, {} requests a second for {seconds} s, seed {seed}",
        scenario.proxies,
        scenario.nodes(),
        scenario.zones,
        scenario.clients.per_s
    );
    let counts = vec![Counts::default(); scenario.classes.len()];
    let mut screen = Screen {
        plain: plain || !io::stdout().is_terminal(),
        class_of: HashMap::new(),
        now: counts.clone(),
        all: counts,
        drawn_at: 0.0,
        scenario: scenario.clone(),
    };
    let outcome = run(&scenario, &ProxyImplementation::Program(program), &mut |live| screen.update(live))?;
    println!("\n{}", outcome.verdict);
    Ok(outcome.verdict.is_clean())
}

impl Screen {
    fn update(&mut self, live: &Progress) {
        for record in &live.new_records {
            match &record.event {
                Event::RequestSent { id, class, .. } => {
                    self.class_of.insert(*id, *class);
                    self.now[*class].requests += 1;
                }
                Event::Answered { id, status, .. } => {
                    if let Some(class) = self.class_of.remove(id) {
                        let counts = &mut self.now[class];
                        match status {
                            200 => counts.served += 1,
                            429 | 503 => counts.refused += 1,
                            _ => counts.failed += 1,
                        }
                    }
                }
                _ => {}
            }
        }
        if live.seconds - self.drawn_at < 1.0 {
            return;
        }
        let passed = live.seconds - self.drawn_at;
        self.drawn_at = live.seconds;
        for (all, now) in self.all.iter_mut().zip(&self.now) {
            all.requests += now.requests;
            all.served += now.served;
            all.refused += now.refused;
            all.failed += now.failed;
        }
        let text = if self.plain { self.plain_line(live) } else { self.table(live, passed) };
        print!("{text}");
        let _ = io::stdout().flush();
        self.now.iter_mut().for_each(|c| *c = Counts::default());
    }

    /// Descriptions of the disturbances that began within the last `within` seconds.
    fn recent_disturbances(&self, seconds: f64, within: f64) -> Vec<String> {
        let recent = |e: &&ScheduledDisturbance| (0.0..within).contains(&(seconds - e.at_s));
        self.scenario.events.iter().filter(recent).map(|e| describe(&e.disturbance)).collect()
    }

    fn plain_line(&self, live: &Progress) -> String {
        let sum = |of: fn(&Counts) -> u64| self.now.iter().map(of).sum::<u64>();
        let mut text = format!(
            "{:5.1} s  asked {:4}  served {:4}  refused {:3}  failed {:3}",
            live.seconds,
            sum(|c| c.requests),
            sum(|c| c.served),
            sum(|c| c.refused),
            sum(|c| c.failed)
        );
        let recent_disturbances = self.recent_disturbances(live.seconds, 1.0).join("; ");
        if !recent_disturbances.is_empty() {
            text += &format!("  {recent_disturbances}");
        }
        text + "\n"
    }

    fn table(&self, live: &Progress, passed: f64) -> String {
        // Moves the cursor home and clears the rest of the screen, which avoids flicker.
        let mut text = format!(
            "\x1b[H\x1b[Jgaugesaddle demo, {:.0} of {:.0} s\n\n",
            live.seconds, self.scenario.seconds
        );
        text += &format!(
            "{:<10}{:>9}{:>9}{:>9}{:>9}{:>12}\n",
            "class", "asked/s", "served/s", "refused", "failed", "served all"
        );
        for (class, (now, all)) in self.scenario.classes.iter().zip(self.now.iter().zip(&self.all)) {
            let rate = |n: u64| n as f64 / passed;
            let fraction = all.served as f64 / all.requests.max(1) as f64;
            text += &format!(
                "{:<10}{:>9.0}{:>9.0}{:>9}{:>9}{:>12.3}\n",
                class.name,
                rate(now.requests),
                rate(now.served),
                now.refused,
                now.failed,
                fraction
            );
        }
        let proxies = live.proxies.iter().enumerate().map(|(i, state)| format!("p{i} {state}"));
        text += &format!("\nproxies: {}\n\n", proxies.collect::<Vec<_>>().join("   "));
        for zone in 0..self.scenario.zones {
            let nodes = live.nodes.iter().filter(|n| n.1 == zone);
            let cells =
                nodes.map(|(name, _, state, held)| format!("{:<22}", format!("{name} {state}, {held}")));
            text += &format!("hall-{zone}: {}\n", cells.collect::<String>());
        }
        text.push('\n');
        for recent_disturbances in self.recent_disturbances(live.seconds, 4.0) {
            text += &format!("> {recent_disturbances}\n");
        }
        text
    }
}
