//! Cluster bootstrap: each process determines the initial voters from facts that do not change, so that all processes
//! arrive at the same voters.
//!
//! All processes are configured with the same seeds and report to one another whether they have a disk. The seeds with
//! a disk are the initial voters. If no seed has a disk, the seed with the lowest address nominates one machine, the
//! *bootstrap node*, once; no other process nominates any.
//!
//! ```text
//!  all seeds reported, some with a disk ----------------------------> initial voters: these seeds
//!  all seeds reported, none with a disk --lowest seed nominates-----> initial voter: the bootstrap node
//!  a seed has not reported -----------------------------------------> undecided
//! ```

use std::collections::BTreeMap;

/// State of the bootstrap at one process: the seeds and the reports received.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own_ip: u32,
    /// Sorted addresses of the seeds.
    seeds: Vec<u32>,
    /// Whether a machine has a disk, by its address: an entry for each machine that has reported. Only machines that
    /// run a control process report.
    has_disk: BTreeMap<u32, bool>,
    bootstrap_node: Option<u32>,
    /// Whether this is the first start of the fleet.
    is_first_start: bool,
}

impl Bootstrap {
    /// Creates the state for the machine `own_ip` with the seeds of its boot file.
    pub fn new(own_ip: u32, has_disk: bool, mut seeds: Vec<u32>, is_first_start: bool) -> Bootstrap {
        seeds.sort_unstable();
        seeds.dedup();
        let has_disk = BTreeMap::from([(own_ip, has_disk)]);
        Bootstrap { own_ip, seeds, has_disk, bootstrap_node: None, is_first_start }
    }

    /// Records a report of another process. Returns whether the bootstrap node became known and must be broadcast.
    pub fn record_report(&mut self, ip: u32, has_disk: bool, bootstrap_node: Option<u32>) -> bool {
        self.has_disk.insert(ip, has_disk);
        if self.bootstrap_node.is_none() && bootstrap_node.is_some() {
            self.bootstrap_node = bootstrap_node;
            return true;
        }
        self.nominate_bootstrap_node()
    }

    /// The machine nominated to bootstrap the cluster alone, once known.
    pub fn bootstrap_node(&self) -> Option<u32> {
        self.bootstrap_node
    }

    /// Addresses of the initial voters; `None` until they are determined, and at every start but the first.
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

    /// Nominates the known machine with the lowest address that has a disk, if this process runs on the lowest seed. A
    /// restarted seed does not nominate, since it could choose another machine than before.
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
