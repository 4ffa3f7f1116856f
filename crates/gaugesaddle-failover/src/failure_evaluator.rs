//! Assessment of the zones from the reports of all proxies.
//!
//! A proxy's report counts for a zone while the report is recent and the proxy uses backends there. A zone is lost when more
//! than half of the counted reports find nearly all of its backends unhealthy. A proxy that finds this against the majority
//! fails to observe the zone, and its report does not make the zone lost.
//!
//! The capacity of a zone is the weighted median of what each report implies for the full fleet. A sum over the reports
//! would be exact without faults, but would follow every wrong report; the median moves only when the reports with half of
//! the weight are wrong.

use crate::numeric::finite_non_negative;
use gaugesaddle_balancer::{ConfigError, Micros};

/// Settings for assessing zones from reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvaluatorSettings {
    /// Maximum age of a report that counts.
    pub max_report_age: Micros,
    /// A report finds a zone lost where at least this fraction of the proxy's backends there is unhealthy; over 0.5.
    pub unhealthy_fraction: f64,
    /// Lower bound for the allocation of a proxy, as a fraction of the fleet's capacity: extrapolating from a smaller one
    /// would amplify noise.
    pub min_allocation: f64,
}

impl Default for EvaluatorSettings {
    fn default() -> EvaluatorSettings {
        EvaluatorSettings {
            // Reports are published twice a second and take some seconds to cross a large tier.
            max_report_age: Micros(4_000_000),
            // Of ten backends one or two may still look healthy while connections to them time out.
            unhealthy_fraction: 0.8,
            min_allocation: 0.001,
        }
    }
}

impl EvaluatorSettings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.max_report_age.0 == 0 {
            return Err(ConfigError { field: "max_report_age", expected: "more than 0" });
        }
        if !(self.unhealthy_fraction > 0.5 && self.unhealthy_fraction <= 1.0) {
            return Err(ConfigError { field: "unhealthy_fraction", expected: "over 0.5, up to 1" });
        }
        if !(self.min_allocation > 0.0 && self.min_allocation < 1.0) {
            return Err(ConfigError { field: "min_allocation", expected: "between 0 and 1" });
        }
        Ok(())
    }
}

/// A proxy's observation of one zone's backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Number of backends that the proxy uses there.
    pub backends: f64,
    /// Number of these that it finds unhealthy.
    pub unhealthy: f64,
    /// Requests per second that the healthy ones can serve for this proxy; 0 where unknown.
    pub capacity_per_s: f64,
}

/// One proxy's report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyReport {
    /// The reporting member of the tier.
    pub member: u16,
    /// Index of the zone that the proxy runs in.
    pub zone: usize,
    /// Fraction of the fleet's capacity that is allocated to this proxy, 0 to 1.
    pub allocation: f64,
    /// Requests per second that arrive at this proxy, by class.
    pub demand_per_s: Vec<f64>,
    /// The observations by zone.
    pub observations: Vec<ZoneObservation>,
    /// Age of the report.
    pub age: Micros,
}

impl ProxyReport {
    /// The observation of a zone where it counts: the report is recent and the proxy uses backends there.
    fn counted_observation(&self, settings: &EvaluatorSettings, zone: usize) -> Option<&ZoneObservation> {
        let observation = self.observations.get(zone)?;
        let counts = self.age <= settings.max_report_age && observation.backends >= 1.0;
        counts.then_some(observation)
    }
}

/// Whether a zone can serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneStatus {
    /// The zone serves, or there are no reports on it.
    #[default]
    Available,
    /// Most reports find nearly all of its backends unhealthy.
    Lost,
}

impl ZoneStatus {
    /// Whether the zone is lost.
    pub fn is_lost(self) -> bool {
        self == ZoneStatus::Lost
    }
}

/// The assessment of one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneAssessment {
    /// Requests per second that arrive at the zone's proxies, by class.
    pub demand_per_s: Vec<f64>,
    /// Requests per second that its backends can serve; `None` where no report contains an estimate.
    pub capacity_per_s: Option<f64>,
    /// Whether the zone can serve.
    pub status: ZoneStatus,
    /// Number of reports that count.
    pub reports: u32,
    /// Number of these that find the zone lost.
    pub lost_reports: u32,
}

/// A zone that one proxy finds lost and the majority does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnobservedZone {
    /// The proxy that fails to observe the zone.
    pub member: u16,
    /// Index of the zone.
    pub zone: usize,
}

/// The common assessment of all reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assessment {
    /// The assessments by zone.
    pub zones: Vec<ZoneAssessment>,
    /// Zones that a single proxy fails to observe, sorted by member, then zone.
    pub unobserved: Vec<UnobservedZone>,
    /// Proxies that fail to observe their own zone, or more than half of the available zones: the proxy's own network is
    /// at fault.
    pub partitioned: Vec<u16>,
}

/// The capacity of a zone as extrapolated from one report.
struct CapacityEstimate {
    capacity_per_s: f64,
    weight: f64,
}

/// The lowest estimate that half of the weight is at or below.
fn weighted_median(mut estimates: Vec<CapacityEstimate>) -> Option<f64> {
    estimates.sort_by(|a, b| a.capacity_per_s.total_cmp(&b.capacity_per_s));
    let half = estimates.iter().map(|estimate| estimate.weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for estimate in &estimates {
        sum += estimate.weight;
        if sum >= half {
            return Some(estimate.capacity_per_s);
        }
    }
    None
}

/// Assesses `zones` zones and `classes` classes from the reports of the live proxies.
pub fn evaluate(
    settings: &EvaluatorSettings, zones: usize, classes: usize, reports: &[ProxyReport],
) -> Assessment {
    let mut assessment = Assessment::default();
    for zone in 0..zones {
        let assessed = evaluate_zone(settings, zone, classes, reports, &mut assessment.unobserved);
        assessment.zones.push(assessed);
    }
    assessment.unobserved.sort();
    assessment.partitioned = partitioned_members(&assessment, reports);
    assessment
}

/// Assesses one zone and appends the proxies that fail to observe it.
fn evaluate_zone(
    settings: &EvaluatorSettings, zone: usize, classes: usize, reports: &[ProxyReport],
    unobserved: &mut Vec<UnobservedZone>,
) -> ZoneAssessment {
    let mut assessed = ZoneAssessment { demand_per_s: vec![0.0; classes], ..ZoneAssessment::default() };
    let mut finding_lost = Vec::new();
    let mut estimates = Vec::new();
    for report in reports {
        if report.zone == zone {
            for (sum, demand) in assessed.demand_per_s.iter_mut().zip(&report.demand_per_s) {
                *sum += finite_non_negative(*demand);
            }
        }
        let Some(observation) = report.counted_observation(settings, zone) else { continue };
        assessed.reports += 1;
        if observation.unhealthy >= settings.unhealthy_fraction * observation.backends {
            finding_lost.push(UnobservedZone { member: report.member, zone });
        } else if observation.capacity_per_s > 0.0 {
            let capacity_per_s = finite_non_negative(observation.capacity_per_s)
                / report.allocation.max(settings.min_allocation);
            estimates.push(CapacityEstimate { capacity_per_s, weight: report.allocation.max(0.0) });
        }
    }
    assessed.lost_reports = finding_lost.len() as u32;
    if assessed.lost_reports * 2 > assessed.reports {
        assessed.status = ZoneStatus::Lost;
        assessed.capacity_per_s = Some(0.0);
    } else {
        assessed.capacity_per_s = weighted_median(estimates);
        unobserved.append(&mut finding_lost);
    }
    assessed
}

fn partitioned_members(assessment: &Assessment, reports: &[ProxyReport]) -> Vec<u16> {
    let is_available = |zone: &&ZoneAssessment| !zone.status.is_lost() && zone.reports > 0;
    let available = assessment.zones.iter().filter(is_available).count();
    let mut partitioned = Vec::new();
    for report in reports {
        let own = assessment.unobserved.iter().filter(|unobserved| unobserved.member == report.member);
        let misses_own_zone = own.clone().any(|unobserved| unobserved.zone == report.zone);
        if misses_own_zone || own.count() * 2 > available {
            partitioned.push(report.member);
        }
    }
    partitioned
}

#[cfg(test)]
mod tests;
