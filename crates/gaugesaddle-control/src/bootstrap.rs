//! Cluster bootstrap: which machines are the initial voters, decided alike at every process from facts that do not
//! change.
//!
//! All processes are configured with the same seeds and report to one another whether they have a disk. The seeds with
//! a disk are the initial voters. Where no seed has one, the lowest seed nominates one machine, the *bootstrap node*,
//! once; nobody else ever does.
//!
//! ```text
//!  all seeds reported, some with a disk ----------------------------> initial voters: these seeds
//!  all seeds reported, none with a disk --lowest seed nominates-----> initial voter: the bootstrap node
//!  a seed has not reported -----------------------------------------> undecided
//! ```

use std::collections::BTreeMap;

/// What a process knows of the seeds.
///
/// The table of disks has an entry for each control machine that has reported; only such machines report.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own_ip: u32,
    /// Sorted addresses of the seeds.
    seeds: Vec<u32>,
    /// Whether a machine has a disk, by its address.
    has_disk: BTreeMap<u32, bool>,
    bootstrap_node: Option<u32>,
    /// This is the first start of the fleet.
    is_first_start: bool,
}

impl Bootstrap {
    /// The state of the machine `own_ip` with the seeds of its boot file.
    pub fn new(own_ip: u32, has_disk: bool, mut seeds: Vec<u32>, is_first_start: bool) -> Bootstrap {
        seeds.sort_unstable();
        seeds.dedup();
        let has_disk = BTreeMap::from([(own_ip, has_disk)]);
        Bootstrap { own_ip, seeds, has_disk, bootstrap_node: None, is_first_start }
    }

    /// Records a report of another process; true where the bootstrap node becomes known by it, so that it is to be
    /// broadcast.
    pub fn record_report(&mut self, ip: u32, has_disk: bool, bootstrap_node: Option<u32>) -> bool {
        self.has_disk.insert(ip, has_disk);
        if self.bootstrap_node.is_none() && bootstrap_node.is_some() {
            self.bootstrap_node = bootstrap_node;
            return true;
        }
        self.nominate_bootstrap_node()
    }

    /// The machine that was nominated to bootstrap the cluster alone, once known.
    pub fn bootstrap_node(&self) -> Option<u32> {
        self.bootstrap_node
    }

    /// Addresses of the initial voters, once they are certain; `None` after the first start.
    pub fn initial_voters(&self) -> Option<Vec<u32>> {
        if !self.is_first_start {
            return None;
        }
        let mut seeds_with_disk = Vec::new();
        for seed in &self.seeds {
            if *self.has_disk.get(seed)? {
                seeds_with_disk.push(*seed);
            }
        }
        if !seeds_with_disk.is_empty() {
            return Some(seeds_with_disk);
        }
        self.bootstrap_node.map(|ip| vec![ip])
    }

    /// At the lowest seed, nominates the lowest known machine with a disk. A seed that has restarted does not: it could
    /// nominate another one than before.
    fn nominate_bootstrap_node(&mut self) -> bool {
        let is_lowest_seed = self.seeds.first() == Some(&self.own_ip);
        if !self.is_first_start || !is_lowest_seed || self.bootstrap_node.is_some() {
            return false;
        }
        // Every seed must have reported that it has no disk.
        if self.seeds.iter().any(|seed| self.has_disk.get(seed) != Some(&false)) {
            return false;
        }
        let lowest_with_disk = self.has_disk.iter().find(|(_, has_disk)| **has_disk);
        self.bootstrap_node = lowest_with_disk.map(|(ip, _)| *ip);
        self.bootstrap_node.is_some()
    }
}
