//! Reload at SIGHUP: reads both configuration files again and applies the settings that can change without a restart.

use crate::configuration::operator::{self, OperatorConfig};
use crate::configuration::platform::{self, PlatformConfig};
use crate::federation::Regions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The configuration at the start, and the channels and components that receive changed settings.
pub struct Reload {
    /// The platform's document as it was at the start.
    pub document: serde_json::Value,
    /// The operator's file, and its settings at the start.
    pub file: Option<PathBuf>,
    pub operator: OperatorConfig,
    pub discovery: watch::Sender<SocketAddr>,
    pub state: watch::Sender<operator::State>,
    pub regions: Option<Rc<Regions>>,
}

impl Reload {
    /// Reads both files at each SIGHUP. If one of them is invalid nothing changes. The proxy keeps its list of
    /// backends.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let operator = self.file.as_deref().map_or(Ok(OperatorConfig::default()), operator::load);
            match (platform::load_again(&self.document), operator) {
                (Ok(newer), Ok(operator)) => self.apply(&newer, operator),
                (Err(e), _) => tracing::warn!("the configuration stays as it was: {e}"),
                (_, Err(e)) => tracing::warn!("the configuration stays as it was: {e}"),
            }
        }
    }

    fn apply(&self, newer: &PlatformConfig, operator: OperatorConfig) {
        let mut ignored = platform::keys_requiring_restart(&self.document, &newer.document);
        ignored.extend(
            operator::keys_requiring_restart(&self.operator, &operator).into_iter().map(String::from),
        );
        let ignored = match ignored.as_slice() {
            [] => String::new(),
            keys => format!("; not taken up before a restart: {}", keys.join(", ")),
        };
        tracing::info!("configuration reloaded, discovery at {}{ignored}", newer.discovery);
        replace_if_changed(&self.discovery, newer.discovery);
        if let Some(regions) = &self.regions {
            regions.apply_settings(&operator.region);
        }
        replace_if_changed(&self.state, operator.state);
    }
}

fn replace_if_changed<T: PartialEq>(sender: &watch::Sender<T>, newer: T) {
    sender.send_if_modified(|current| {
        let has_changed = *current != newer;
        *current = newer;
        has_changed
    });
}
