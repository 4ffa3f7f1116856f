//! Statistics of each service, from the requests that this proxy handles.

use gaugesaddle_config::boot::Bounds;
use gaugesaddle_config::Route;
use gaugesaddle_inference::{Chooser, ChooserSettings, Prompt, PromptSizes};
use gaugesaddle_quota::{RetryBudget, RetrySettings};
use std::cell::RefCell;
use std::collections::HashMap;

/// A route and one of its services, by name.
type RouteService = (String, String);

/// Latencies, prompt sizes and retry budgets. The size of the tables is bounded by the routes and services of all
/// configurations applied so far.
pub struct ServiceStatistics {
    chooser_settings: ChooserSettings,
    retry_settings: RetrySettings,
    choosers: RefCell<HashMap<RouteService, Chooser>>,
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    prompt_sizes: RefCell<HashMap<String, PromptSizes>>,
}

impl ServiceStatistics {
    /// Creates empty statistics; `bounds` contains the parameters of the retry budget.
    pub fn new(chooser_settings: ChooserSettings, bounds: &Bounds) -> ServiceStatistics {
        ServiceStatistics {
            chooser_settings,
            retry_settings: RetrySettings {
                ratio: bounds.retry_budget_ratio,
                window_ms: (bounds.budget_window_s * 1000.0) as u64,
                slack: bounds.budget_slack,
            },
            choosers: RefCell::default(),
            retry_budgets: RefCell::default(),
            prompt_sizes: RefCell::default(),
        }
    }

    /// Calls `action` with the chooser of a route and a service.
    pub fn with_chooser<T>(&self, route: &Route, service: &str, action: impl FnOnce(&mut Chooser) -> T) -> T {
        let mut choosers = self.choosers.borrow_mut();
        let key = (route.name.clone(), service.to_owned());
        action(choosers.entry(key).or_insert_with(|| Chooser::new(self.chooser_settings)))
    }

    /// Records a prompt in the prompt sizes of a service.
    pub fn record_prompt(&self, now: u64, service: &str, prompt: Prompt) {
        self.prompt_sizes.borrow_mut().entry(service.to_owned()).or_default().record(now, prompt);
    }

    /// The prompt sizes of a service.
    pub fn prompt_sizes(&self, service: &str) -> PromptSizes {
        self.prompt_sizes.borrow().get(service).copied().unwrap_or_default()
    }

    /// Counts a client's request for a service, which adds a fraction of a retry to the budget.
    pub fn record_request(&self, now: u64, service: &str) {
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget shared by `proxies` proxies; false if the budget is exhausted.
    pub fn take_retry(&self, now: u64, service: &str, proxies: usize) -> bool {
        self.with_retry_budget(service, |budget| budget.take(now, proxies))
    }

    fn with_retry_budget<T>(&self, service: &str, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        action(budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(self.retry_settings)))
    }
}
