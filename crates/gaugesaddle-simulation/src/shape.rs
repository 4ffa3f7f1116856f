//! Deployments: how many machines of each kind, and which losses are to be borne.

use serde::{Deserialize, Serialize};

/// A deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Its name.
    pub name: String,
    /// Machines with a disk that serve control.
    pub disks: u32,
    /// Machines without one that do.
    pub diskless: u32,
    /// Proxies.
    pub proxies: u32,
    /// Machines with a disk that may be lost at once.
    pub losses: u32,
    /// A write and its sync take so long, in milliseconds.
    pub disk_ms: u64,
}

impl Shape {
    fn new(name: &str, disks: u32, diskless: u32, losses: u32, disk_ms: u64) -> Shape {
        Shape { name: name.to_owned(), disks, diskless, proxies: 3, losses, disk_ms }
    }

    /// The shapes of the known deployments, with three proxies each.
    pub fn known() -> Vec<Shape> {
        vec![
            Shape::new("nilavu-air", 4, 4, 1, 1),
            Shape::new("tidewater-gs", 4, 4, 1, 5),
            Shape::new("nilavu-air-grown", 5, 5, 2, 1),
            Shape::new("tidewater-gs-grown", 8, 0, 2, 5),
            Shape::new("lavallee-grown", 8, 0, 2, 1),
            Shape::new("three-zones", 3, 3, 1, 2),
        ]
    }

    /// A known shape by its name.
    pub fn named(name: &str) -> Option<Shape> {
        Shape::known().into_iter().find(|shape| shape.name == name)
    }
}
