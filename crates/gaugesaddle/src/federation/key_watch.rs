//! Replaces the certificate, key and trust anchors while the proxy serves.

use super::regions::Regions;
use super::remote_gateways::ClientKeys;
use super::tls::{self, FileStamp, Identity};
use gaugesaddle_federation::credentials::Expiry;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks of the key files.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MICROS_PER_DAY: u64 = 86_400_000_000;

impl Regions {
    /// Watches the key files until the program ends. A set of files that cannot be used is logged once, and the present set
    /// stays in use.
    pub async fn watch_keys(self: Rc<Regions>) {
        let mut last_error = String::new();
        loop {
            self.warn_of_expiry();
            tokio::select! {
                () = tokio::time::sleep(KEY_CHECK_INTERVAL) => {}
                () = self.check_keys_now.notified() => {}
            }
            let stamp = tls::stamp(&self.settings);
            if stamp == self.stamp.get() {
                last_error.clear();
                continue;
            }
            match tls::load(&self.settings, self.clock.now()) {
                // The files were replaced again during the read, which may have mixed two sets.
                Ok(_) if tls::stamp(&self.settings) != stamp => self.check_keys_now.notify_one(),
                Ok(identity) => {
                    self.replace_keys(identity, stamp);
                    last_error.clear();
                }
                Err(e) => {
                    let error = e.to_string();
                    if error != last_error {
                        self.rejected_keys.set(self.rejected_keys.get() + 1);
                        tracing::warn!(
                            "region: new key files rejected, the present keys stay in use: {error}"
                        );
                        last_error = error;
                    }
                }
            }
        }
    }

    fn replace_keys(&self, identity: Identity, stamp: FileStamp) {
        let generation = self.keys.borrow().generation + 1;
        *self.keys.borrow_mut() = ClientKeys { config: identity.client.clone(), generation };
        *self.identity.borrow_mut() = identity;
        self.stamp.set(stamp);
        self.keys_changed.send_replace(generation);
        self.warned_of.set(Expiry::Distant);
        tracing::info!("region: keys read again and in use, change {generation} since the start");
    }

    fn warn_of_expiry(&self) {
        let now = self.clock.now();
        let valid_until = self.identity.borrow().valid_until;
        let expiry = Expiry::of(now, valid_until);
        if expiry <= self.warned_of.replace(expiry.max(self.warned_of.get())) {
            return;
        }
        match expiry {
            Expiry::Expired => {
                tracing::error!(
                    "region: the certificate has expired: other regions reject connections of this one"
                );
            }
            _ => tracing::warn!(
                "region: the certificate expires in {} days",
                (valid_until - now).0 / MICROS_PER_DAY
            ),
        }
    }
}
