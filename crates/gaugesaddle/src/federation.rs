//! Spillover to other regions as a last resort, in the running proxy. The balancer decides which requests are forwarded;
//! `gaugesaddle_federation` decides when forwarding is permitted and limits its rate. These modules supply the inputs of
//! both and carry out their decisions.
//!
//! - [`Regions`] is this proxy's state of all other regions: links, budgets, leases, keys.
//! - [`RegionWatch`] connects it with the driver: it offers the balancer the permitted number of requests, and forwards
//!   the requests that the balancer hands over.
//! - `remote_gateways` sends requests to the gateways of another region; [`gateway`] accepts requests from other regions.
//! - [`tls`] reads certificates and keys; `key_watch` replaces them while the proxy serves.

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

/// An error that prevents the use of other regions.
#[derive(Debug, thiserror::Error)]
pub enum FederationError {
    /// A key of `[region]` does not match the platform's configuration.
    #[error(transparent)]
    Section(#[from] InvalidKey),
    /// The certificate, key or trust anchors cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
}

/// Checks the certificate, key and trust files that the section names.
///
/// # Errors
/// Returns an error if one of them cannot be used.
pub fn check(settings: &RegionSection) -> Result<(), FederationError> {
    if settings.enabled {
        tls::load(settings, Clock::new().now())?;
    }
    Ok(())
}
