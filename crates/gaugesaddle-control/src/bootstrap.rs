//! Who founds the group at the very first start: decided alike at every process, from facts that do not change.
//!
//! All processes are told the same seeds, and say to each other whether they have a disk. The seeds with a disk found
//! the group. Where none has one, the lowest seed names a founder once, and nobody else ever does.

use std::collections::BTreeMap;

/// What is known of the seeds.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own: u32,
    seeds: Vec<u32>,
    /// Whether each machine known has a disk.
    disks: BTreeMap<u32, bool>,
    named: Option<u32>,
    /// This is the first start of the fleet.
    first_start: bool,
}

impl Bootstrap {
    /// At the machine `own`, with the seeds of its boot file.
    pub fn new(own: u32, has_disk: bool, mut seeds: Vec<u32>, first_start: bool) -> Bootstrap {
        seeds.sort_unstable();
        seeds.dedup();
        Bootstrap { own, seeds, disks: [(own, has_disk)].into(), named: None, first_start }
    }

    /// Takes what another process says of itself; true where that names a founder for the first time.
    pub fn heard(&mut self, ip: u32, has_disk: bool, named: Option<u32>) -> bool {
        self.disks.insert(ip, has_disk);
        if self.named.is_none() && named.is_some() {
            self.named = named;
            return true;
        }
        self.name_founder()
    }

    /// The founder that was named, for the other processes.
    pub fn named(&self) -> Option<u32> {
        self.named
    }

    /// The machines that found the group, once that is certain.
    pub fn founders(&self) -> Option<Vec<u32>> {
        if !self.first_start {
            return None;
        }
        let disks: Option<Vec<bool>> = self.seeds.iter().map(|seed| self.disks.get(seed).copied()).collect();
        let founders: Vec<u32> =
            self.seeds.iter().zip(disks?).filter(|(_, disk)| *disk).map(|(seed, _)| *seed).collect();
        if !founders.is_empty() {
            return Some(founders);
        }
        self.named.map(|ip| vec![ip])
    }

    /// The lowest seed names the first machine with a disk that it hears of. A seed that has started again does not: it
    /// could name another one.
    fn name_founder(&mut self) -> bool {
        let names = self.first_start && self.seeds.first() == Some(&self.own) && self.named.is_none();
        let known = self.seeds.iter().all(|seed| self.disks.contains_key(seed));
        let none = !self.seeds.iter().any(|seed| self.disks.get(seed) == Some(&true));
        if !(names && known && none) {
            return false;
        }
        self.named = self.disks.iter().find(|(_, disk)| **disk).map(|(ip, _)| *ip);
        self.named.is_some()
    }
}
