//! Other regions as last resort, in the running proxy. Whether a request leaves is the balancer's decision, when and how many
//! may leave is decided in `gaugesaddle_federation`; here both get their inputs, and their decisions are carried out.
//!
//! - [`Regions`] is this proxy's state of all other regions: links, budgets, leases, keys.
//! - [`RegionWatch`] connects it with the driver: it offers the balancer what may leave, and forwards what does.
//! - `remote_gateways` sends requests to the gateways of a region, [`gateway`] accepts those of others.
//! - [`tls`] reads certificates and keys, `key_watch` replaces them while the proxy serves.

mod gateway;
mod headers;
mod key_watch;
mod region_watch;
mod regions;
mod remote_gateways;
pub mod settings;
mod tls;

pub use region_watch::RegionWatch;
pub use regions::{LocalRegion, Regions};

use crate::clock::Clock;
use crate::configuration::InvalidKey;
use settings::RegionSection;
use tls::KeyError;

/// Why other regions cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FederationError {
    /// A key of `[region]` does not match the platform's configuration.
    #[error(transparent)]
    Section(#[from] InvalidKey),
    /// The certificate, key or trust anchors.
    #[error(transparent)]
    Keys(#[from] KeyError),
}

/// Checks the files that the section names.
///
/// # Errors
/// One of them cannot be used.
pub fn check(settings: &RegionSection) -> Result<(), FederationError> {
    if settings.enabled {
        tls::load(settings, Clock::new().now())?;
    }
    Ok(())
}
