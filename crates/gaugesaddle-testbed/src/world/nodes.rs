//! The nodes of a run: their starts, and the publication of their states to discovery.

use super::World;
use crate::agent::ListEntry;
use crate::node::{Node, NodeParameters};
use crate::record::{Boot, NodeState};
use crate::scenario::zone_name;
use std::io;
use std::rc::Rc;

impl World {
    /// Starts a process of a node. At the start of a run it has full capacity and is published immediately; a restarted
    /// one is in slow start and is published with a delay.
    pub(super) async fn start_node(&self, slot: usize, restarted: bool) -> io::Result<()> {
        let (boot, name, zone, kind) = {
            let mut slots = self.slots.borrow_mut();
            let p = &mut slots[slot];
            if restarted && p.node.as_ref().is_some_and(|n| !n.failed.get()) && !p.draining {
                return Ok(()); // already running
            }
            let boot = Boot { node: slot, boot: p.boots };
            p.boots += 1;
            // The successor of a drained node has a new name; a crashed node restarts under its own name.
            if p.draining {
                p.name = format!("n{slot}-{}", boot.boot);
            }
            p.draining = false;
            (boot, p.name.clone(), p.zone, p.kind.clone())
        };
        let (proxies, bind) = (self.s.proxies, self.lease.peer());
        let start = NodeParameters { boot, name, zone, kind: &kind, slow_start: restarted, proxies, bind };
        let node = Node::start(&self.shared, start).await?;
        self.slots.borrow_mut()[slot].node = Some(node.clone());
        for ((proxy, of), relay) in &self.relays {
            if *of == slot {
                relay.reset();
                relay.forward_to(node.addresses[*proxy]);
            }
        }
        if restarted {
            self.publish(&node, NodeState::Ready, self.s.discovery.add_s);
        } else {
            let own = (0..proxies).filter(|p| self.s.region(*p) == self.s.region(slot));
            own.for_each(|p| self.agents[p].publish(self.list_entry(&node, p, NodeState::Ready)));
        }
        Ok(())
    }

    pub(super) fn list_entry(&self, node: &Node, proxy: usize, state: NodeState) -> ListEntry {
        let relay = self.relays.get(&(proxy, node.boot.node));
        ListEntry {
            boot: node.boot,
            name: node.name.clone(),
            address: relay.map_or(node.addresses[proxy], |r| r.address()),
            zone: zone_name(node.zone),
            kind: node.kind.name.clone(),
            since_ms: if node.boot.boot == 0 { 0 } else { self.journal.unix_ms(node.started) },
            state,
        }
    }

    /// Publishes a state of a node to each agent of its region, each after its own random delay.
    pub(super) fn publish(&self, node: &Rc<Node>, state: NodeState, after_s: [f64; 2]) {
        let now = self.journal.now();
        let region = self.s.region(node.boot.node);
        let own = self.agents.iter().enumerate().filter(|(p, _)| self.s.region(*p) == region);
        for (proxy, agent) in own {
            let wait = (self.random.borrow_mut().uniform(after_s) * 1e6) as u64;
            let mut last_delivery = self.last_delivery.borrow_mut();
            let last = last_delivery.entry((proxy, node.boot.node)).or_default();
            let at = (now + wait).max(*last + 1000);
            *last = at;
            let (agent, list_entry) = (agent.clone(), self.list_entry(node, proxy, state));
            let at = tokio::time::Instant::from_std(self.journal.instant(at));
            tokio::task::spawn_local(async move {
                tokio::time::sleep_until(at).await;
                agent.publish(list_entry);
            });
        }
    }

    pub(super) fn node(&self, slot: usize) -> Option<Rc<Node>> {
        self.slots.borrow()[slot].node.clone()
    }

    /// Removes a node from its slot.
    pub(super) fn take_node(&self, slot: usize) -> Option<Rc<Node>> {
        self.slots.borrow_mut()[slot].node.take()
    }
}
