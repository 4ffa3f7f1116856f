//! The local demo: a small fleet in trouble, drawn while it happens.

use gaugesaddle_testbed::scenario::{Clients, Planned};
use gaugesaddle_testbed::{program, run, Cast, Event, Live, Program, Scenario, What};
use std::collections::HashMap;
use std::io::{self, IsTerminal, Write};

/// What goes wrong, as parts of the run.
fn troubles(seconds: f64) -> Vec<Planned> {
    let at = |part: f64, what: What| Planned { at_s: part * seconds, what };
    vec![
        at(0.10, What::Slow { node: 4, factor: 5.0, for_s: 0.25 * seconds }),
        at(0.20, What::Crash { node: 1, back_after_s: Some(0.15 * seconds) }),
        at(0.30, What::KillProxy { proxy: 1, back_after_s: 2.0 }),
        at(0.40, What::Drain { node: 2, over_s: 3.0, back_after_s: Some(0.5) }),
        at(0.50, What::Hang { node: 7, for_s: 0.15 * seconds }),
        at(0.60, What::DiscoveryDown { for_s: 0.1 * seconds }),
        at(0.70, What::Deploy { nodes: 3, group: 1, every_s: 0.06 * seconds }),
        at(0.80, What::RestartProxy { proxy: 2 }),
    ]
}

/// What a trouble is called in the list of what happened.
fn words(what: &What) -> String {
    match what {
        What::Slow { node, factor, .. } => format!("node n{node} runs {factor} times slower"),
        What::Crash { node, .. } => format!("node n{node} crashes, a cold one follows"),
        What::KillProxy { proxy, .. } => format!("proxy p{proxy} is killed"),
        What::Drain { node, .. } => format!("node n{node} drains, a cold one follows"),
        What::Hang { node, .. } => format!("node n{node} takes requests and answers none"),
        What::DiscoveryDown { .. } => "discovery falls silent".into(),
        What::Deploy { nodes, .. } => format!("a rolling deploy of {nodes} nodes begins"),
        What::RestartProxy { proxy } => format!("proxy p{proxy} is restarted in order"),
        other => format!("{other:?}"),
    }
}

/// Counts of one second or so, by class.
#[derive(Default, Clone)]
struct Counts {
    asked: u64,
    served: u64,
    refused: u64,
    failed: u64,
}

struct Screen {
    scenario: Scenario,
    plain: bool,
    /// The class of each request that was asked.
    class_of: HashMap<u64, usize>,
    now: Vec<Counts>,
    all: Vec<Counts>,
    drawn: f64,
}

/// Plays it; true where the rules were kept.
pub fn demo(seed: u64, seconds: f64, plain: bool) -> io::Result<bool> {
    let program = Program { path: program::built("gaugesaddle")?, arguments: Vec::new() };
    let defaults = Scenario::default();
    let scenario = Scenario {
        seconds,
        clients: Clients { per_s: 220.0, ..defaults.clients.clone() },
        events: troubles(seconds),
        ..defaults
    }
    .seed(seed)
    .named("demo");
    println!(
        "{} proxies, {} nodes in {} halls, {} requests a second for {seconds} s, seed {seed}",
        scenario.proxies,
        scenario.nodes(),
        scenario.halls,
        scenario.clients.per_s
    );
    let counts = vec![Counts::default(); scenario.classes.len()];
    let mut screen = Screen {
        plain: plain || !io::stdout().is_terminal(),
        class_of: HashMap::new(),
        now: counts.clone(),
        all: counts,
        drawn: 0.0,
        scenario: scenario.clone(),
    };
    let outcome = run(&scenario, &Cast::Program(program), &mut |live| screen.look(live))?;
    println!("\n{}", outcome.verdict);
    Ok(outcome.verdict.is_clean())
}

impl Screen {
    fn look(&mut self, live: &Live) {
        for record in &live.news {
            match &record.event {
                Event::Asked { id, class, .. } => {
                    self.class_of.insert(*id, *class);
                    self.now[*class].asked += 1;
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
        if live.seconds - self.drawn < 1.0 {
            return;
        }
        let passed = live.seconds - self.drawn;
        self.drawn = live.seconds;
        for (all, now) in self.all.iter_mut().zip(&self.now) {
            all.asked += now.asked;
            all.served += now.served;
            all.refused += now.refused;
            all.failed += now.failed;
        }
        let text = if self.plain { self.line(live) } else { self.table(live, passed) };
        print!("{text}");
        let _ = io::stdout().flush();
        self.now.iter_mut().for_each(|c| *c = Counts::default());
    }

    /// What began a short while ago.
    fn news(&self, seconds: f64, within: f64) -> Vec<String> {
        let recent = |e: &&Planned| (0.0..within).contains(&(seconds - e.at_s));
        self.scenario.events.iter().filter(recent).map(|e| words(&e.what)).collect()
    }

    fn line(&self, live: &Live) -> String {
        let sum = |of: fn(&Counts) -> u64| self.now.iter().map(of).sum::<u64>();
        let mut text = format!(
            "{:5.1} s  asked {:4}  served {:4}  refused {:3}  failed {:3}",
            live.seconds,
            sum(|c| c.asked),
            sum(|c| c.served),
            sum(|c| c.refused),
            sum(|c| c.failed)
        );
        let news = self.news(live.seconds, 1.0).join("; ");
        if !news.is_empty() {
            text += &format!("  {news}");
        }
        text + "\n"
    }

    fn table(&self, live: &Live, passed: f64) -> String {
        // Home, and clear what is below: no flicker.
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
            let part = all.served as f64 / all.asked.max(1) as f64;
            text += &format!(
                "{:<10}{:>9.0}{:>9.0}{:>9}{:>9}{:>12.3}\n",
                class.name,
                rate(now.asked),
                rate(now.served),
                now.refused,
                now.failed,
                part
            );
        }
        let proxies = live.proxies.iter().enumerate().map(|(i, state)| format!("p{i} {state}"));
        text += &format!("\nproxies: {}\n\n", proxies.collect::<Vec<_>>().join("   "));
        for hall in 0..self.scenario.halls {
            let nodes = live.nodes.iter().filter(|n| n.1 == hall);
            let cells =
                nodes.map(|(name, _, state, held)| format!("{:<22}", format!("{name} {state}, {held}")));
            text += &format!("hall-{hall}: {}\n", cells.collect::<String>());
        }
        text.push('\n');
        for news in self.news(live.seconds, 4.0) {
            text += &format!("> {news}\n");
        }
        text
    }
}
