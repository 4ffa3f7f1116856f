//! Deployments: numbers of machines, and the losses that each must tolerate.

use serde::{Deserialize, Serialize};

/// Number of proxies of every known deployment.
const PROXIES: u32 = 3;
/// Number of proxies of every large deployment.
const LARGE_PROXIES: u32 = 300;

/// Machines of a deployment, and the losses that it must tolerate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Number of control machines with a disk.
    #[serde(rename = "disks")]
    pub machines_with_disk: u32,
    /// Number of control machines without a disk.
    #[serde(rename = "diskless")]
    pub machines_without_disk: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Number of machines with a disk that may be lost simultaneously.
    #[serde(rename = "losses")]
    pub max_lost_machines: u32,
    /// Duration of a write and its sync, in ms.
    #[serde(rename = "disk_ms")]
    pub write_ms: u64,
}

impl Deployment {
    fn new(
        name: &str, machines_with_disk: u32, machines_without_disk: u32, max_lost_machines: u32,
        write_ms: u64,
    ) -> Deployment {
        Deployment {
            name: name.to_owned(),
            machines_with_disk,
            machines_without_disk,
            proxies: PROXIES,
            max_lost_machines,
            write_ms,
        }
    }

    /// The known deployments.
    pub fn known() -> Vec<Deployment> {
        vec![
            Deployment::new("nilavu-air", 4, 4, 1, 1),
            Deployment::new("tidewater-gs", 4, 4, 1, 5),
            Deployment::new("nilavu-air-grown", 5, 5, 2, 1),
            Deployment::new("tidewater-gs-grown", 8, 0, 2, 5),
            Deployment::new("lavallee-grown", 8, 0, 2, 1),
            Deployment::new("three-zones", 3, 3, 1, 2),
        ]
    }

    /// Deployments of hundreds of machines, whose runs take several seconds of CPU time.
    pub fn large() -> Vec<Deployment> {
        let tidewater = Deployment::new("tidewater-gs-large", 6, 6, 2, 5);
        let nilavu = Deployment::new("nilavu-air-large", 7, 7, 2, 1);
        [tidewater, nilavu].map(|deployment| Deployment { proxies: LARGE_PROXIES, ..deployment }).into()
    }

    /// The known or large deployment of that name.
    pub fn named(name: &str) -> Option<Deployment> {
        let mut deployments = Deployment::known().into_iter().chain(Deployment::large());
        deployments.find(|deployment| deployment.name == name)
    }
}
