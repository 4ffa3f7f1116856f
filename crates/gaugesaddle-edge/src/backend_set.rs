//! The set of backends and the number of proxies, derived from the catalog of registrations.

use crate::backend::Backend;
use gaugesaddle_catalog::Catalog;
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Backends by ID and by service. A backend is removed when its registration is leaving or is no longer in the catalog.
pub struct BackendSet {
    by_id: RefCell<BTreeMap<String, Rc<Backend>>>,
    by_service: RefCell<HashMap<String, Vec<Rc<Backend>>>>,
    proxies: Cell<usize>,
}

impl BackendSet {
    /// Creates a set without backends, with this proxy as the only one.
    pub fn new() -> BackendSet {
        BackendSet { by_id: RefCell::default(), by_service: RefCell::default(), proxies: Cell::new(1) }
    }

    /// Number of live proxies, including this one.
    pub fn proxies(&self) -> usize {
        self.proxies.get()
    }

    /// Updates the set from the catalog. Returns whether the number of proxies changed.
    pub fn update(&self, catalog: &Catalog) -> bool {
        let mut by_id = self.by_id.borrow_mut();
        let mut by_service: HashMap<String, Vec<Rc<Backend>>> = HashMap::new();
        let mut proxies = 0;
        for registration in catalog.iter() {
            if registration.subject == Subject::Proxy {
                proxies += usize::from(registration.lifecycle == Lifecycle::Ready);
                continue;
            }
            if let Some(backend) = update_backend(&mut by_id, registration) {
                by_service.entry(backend.service.clone()).or_default().push(backend);
            }
        }
        by_id.retain(|id, _| catalog.get(id).is_some_and(|entry| !entry.registration.lifecycle.is_leaving()));
        *self.by_service.borrow_mut() = by_service;
        let proxies = proxies.max(1);
        self.proxies.replace(proxies) != proxies
    }

    /// Backends of a service that accept new requests, regardless of their health.
    pub fn of_service(&self, service: &str) -> Vec<Rc<Backend>> {
        let by_service = self.by_service.borrow();
        let backends = by_service.get(service).into_iter().flatten();
        backends.filter(|backend| backend.accepts_requests.get()).cloned().collect()
    }

    /// Whether a service has any backend.
    pub fn has_service(&self, service: &str) -> bool {
        self.by_service.borrow().get(service).is_some_and(|backends| !backends.is_empty())
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_stale_connections(&self, now: u64) {
        self.by_id.borrow().values().for_each(|backend| backend.close_stale_connections(now));
    }
}

/// Creates or updates the backend of a registration; `None` if it is leaving or its address is invalid.
fn update_backend(
    by_id: &mut BTreeMap<String, Rc<Backend>>, registration: &Registration,
) -> Option<Rc<Backend>> {
    let Subject::Backend { service, address, slots } = &registration.subject else { return None };
    if registration.lifecycle.is_leaving() {
        if let Some(backend) = by_id.get(&registration.id) {
            backend.close();
        }
        return None;
    }
    let address = address.parse().ok()?;
    let known = by_id.get(&registration.id).filter(|b| b.address == address && b.service == *service);
    let backend = match known {
        Some(backend) => backend.clone(),
        None => {
            let backend = Rc::new(Backend::new(&registration.id, service, address, *slots));
            by_id.insert(registration.id.clone(), backend.clone());
            backend
        }
    };
    backend.lease_expired.set(registration.lifecycle == Lifecycle::Expired);
    Some(backend)
}
