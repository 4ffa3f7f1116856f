//! Execution of the steps of a plan on the fleet.

use super::{RunningProxy, World};
use crate::datagrams::Links;
use crate::node::Termination;
use crate::plan::Step;
use crate::record::{Event, NodeState};
use std::rc::Rc;
use std::time::Duration;

impl World {
    pub(super) async fn step(self: Rc<Self>, step: Step) {
        match step {
            Step::NodeStart(slot) => self.replace_node(slot).await,
            Step::NodeCrash(slot) => self.crash_node(slot),
            Step::NodeDrain(slot) => self.drain_node(slot),
            Step::NodeStop(slot) => self.stop_node(slot),
            Step::NodeVanish(slot) => self.vanish_node(slot),
            Step::NodeSlow(slot, factor) => self.node(slot).iter().for_each(|node| node.slow(factor)),
            Step::NodeHang(slot, hung) => self.node(slot).iter().for_each(|node| node.hang(hung)),
            Step::NodeSpoil(slot, fraction) => {
                self.node(slot).iter().for_each(|node| node.corrupt_fraction.set(fraction));
            }
            Step::NodeResets(slot, fraction) => {
                self.node(slot).iter().for_each(|node| node.reset_fraction.set(fraction));
            }
            Step::LinkPartition(proxy, node, partitioned) => {
                self.relays.get(&(proxy, node)).iter().for_each(|relay| relay.block(partitioned));
            }
            Step::LinkDelay(proxy, node, by_us) => {
                let delay = Duration::from_micros(by_us);
                self.relays.get(&(proxy, node)).iter().for_each(|relay| relay.delay(delay));
            }
            Step::RegionDelay(by_us) => self.federation.iter().for_each(|federation| federation.delay(by_us)),
            Step::RegionPartition(partitioned) => {
                self.federation.iter().for_each(|federation| federation.partition(partitioned));
            }
            Step::NewKeys => self.replace_keys(),
            Step::DiscoveryDown(down) => self.agents.iter().for_each(|agent| agent.set_down(down)),
            Step::DiscoveryMove => self.move_discovery().await,
            Step::ProxyKill(proxy) => self.kill_proxy(proxy).await,
            Step::ProxyStart(proxy) => self.start_proxy_or_record(proxy).await,
            Step::ProxyStop(proxy, stop) => self.stop_proxy(proxy, stop).await,
            Step::ProxyLeave(proxy) => {
                tokio::task::spawn_local(async move { self.terminate_proxy(proxy).await });
            }
            Step::ProxyRestart(proxy) => {
                tokio::task::spawn_local(async move {
                    self.terminate_proxy(proxy).await;
                    self.start_proxy_or_record(proxy).await;
                });
            }
            Step::Network(links) => self.set_network(links),
        }
    }

    fn crash_node(&self, slot: usize) {
        if let Some(node) = self.take_node(slot) {
            node.terminate(Termination::Crash);
            self.publish(&node, NodeState::Departed, self.s.discovery.crash_notice_s);
        }
    }

    fn drain_node(&self, slot: usize) {
        self.slots.borrow_mut()[slot].draining = true;
        if let Some(node) = self.node(slot) {
            self.publish(&node, NodeState::Draining, self.s.discovery.notice_s);
        }
    }

    fn stop_node(&self, slot: usize) {
        if let Some(node) = self.take_node(slot) {
            self.publish(&node, NodeState::Departed, self.s.discovery.notice_s);
            node.terminate(Termination::Leave);
        }
    }

    /// Makes a node stop responding; its connections stay open.
    fn vanish_node(&self, slot: usize) {
        if let Some(node) = self.node(slot) {
            node.hang(true);
            node.frozen.set(true);
            self.publish(&node, NodeState::Departed, self.s.discovery.crash_notice_s);
        }
    }

    /// Starts a node's process; a previous one that is frozen or has failed is terminated first.
    async fn replace_node(&self, slot: usize) {
        if let Some(old) = self.node(slot).filter(|node| node.frozen.get() || node.failed.get()) {
            self.take_node(slot);
            old.terminate(Termination::Crash);
        }
        if let Err(error) = self.start_node(slot, true).await {
            self.record_unexpected(format!("node {slot} did not start: {error}"));
        }
    }

    /// Changes the network between the proxies. A disturbance is recorded before it takes effect and a repair after it,
    /// so that the audit of membership never assumes a better network than the actual one.
    fn set_network(&self, links: Links) {
        let worse = !links.is_undisturbed();
        if worse {
            self.journal.put(Event::Network { links: links.clone() });
        }
        self.datagrams.iter().for_each(|datagrams| datagrams.set(links.clone()));
        if !worse {
            self.journal.put(Event::Network { links });
        }
    }

    fn replace_keys(&self) {
        if let Some(Err(error)) = self.federation.as_ref().map(crate::regions::Federation::new_keys) {
            self.record_unexpected(format!("no new keys: {error}"));
        }
        for running in self.proxies.borrow().iter().flatten() {
            if let RunningProxy::Process(process) = running {
                let _ = process.signal("HUP");
            }
        }
    }

    async fn start_proxy_or_record(&self, proxy: usize) {
        if let Err(error) = self.start_proxy(proxy).await {
            self.record_unexpected(format!("proxy {proxy} did not start: {error}"));
        }
    }

    /// Records a failure of the test bed itself.
    pub(super) fn record_unexpected(&self, text: String) {
        self.journal.put(Event::Unexpected { text });
    }
}
