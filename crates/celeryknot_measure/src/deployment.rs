//! The two existing deployments, at the size at which measurements run them.

use celeryknot_standins::load::CustomerShare;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// A deployment whose zones, services and customers a measurement uses.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Kinrin Wakai Systems: three zones.
    #[default]
    KinrinWakai,
    /// Mombasa Quayline Services: four zones.
    Quayline,
}

/// Zones, services and customers of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSpec {
    /// The team.
    pub team: &'static str,
    /// The zones.
    pub zones: &'static [&'static str],
    /// The model service.
    pub model_service: &'static str,
    /// The model.
    pub model: &'static str,
    /// Number of engines of the model service.
    pub engines: usize,
    /// The plain service.
    pub plain_service: &'static str,
    /// Number of endpoints of the plain service.
    pub plain_endpoints: usize,
    /// The customers with their weights in the load.
    pub customers: &'static [(&'static str, f64)],
    /// The name that the output of the demo shows.
    pub title: &'static str,
}

const KINRIN_WAKAI: DeploymentSpec = DeploymentSpec {
    team: "kinrin",
    zones: &["hkd-a", "hkd-b", "hkd-c"],
    model_service: "wakai-llm",
    model: "wakai-8b",
    engines: 10,
    plain_service: "case-svc",
    plain_endpoints: 3,
    customers: &[
        ("sapporo", 6.0),
        ("asahikawa", 3.0),
        ("hakodate", 3.0),
        ("otaru", 1.0),
        ("kushiro", 1.0),
        ("tomakomai", 1.0),
        ("wakkanai", 1.0),
        ("kitami", 1.0),
        ("muroran", 1.0),
        ("obihiro", 1.0),
    ],
    title: "Kinrin Wakai",
};

const QUAYLINE: DeploymentSpec = DeploymentSpec {
    team: "quayline",
    zones: &["kilindini", "changamwe", "likoni", "shimanzi"],
    model_service: "draft-engine",
    model: "quay-draft",
    engines: 10,
    plain_service: "roster-desk",
    plain_endpoints: 4,
    customers: &[
        ("berth-planning", 5.0),
        ("gang-desk", 4.0),
        ("bandari-lines", 3.0),
        ("likoni-marine", 1.0),
        ("changamwe-depot", 1.0),
        ("pwani-freight", 1.0),
        ("makupa-cargo", 1.0),
        ("tudor-logistics", 1.0),
        ("nyali-agency", 1.0),
        ("mvita-shipping", 1.0),
    ],
    title: "Quayline",
};

impl Deployment {
    /// Returns the zones, services and customers of the deployment.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_measure::Deployment;
    ///
    /// assert_eq!(Deployment::Quayline.spec().zones.len(), 4);
    /// ```
    pub const fn spec(self) -> &'static DeploymentSpec {
        match self {
            Self::KinrinWakai => &KINRIN_WAKAI,
            Self::Quayline => &QUAYLINE,
        }
    }
}

impl DeploymentSpec {
    /// Returns the customers with their weights in the load.
    pub fn customer_shares(&self) -> Vec<CustomerShare> {
        self.customers
            .iter()
            .map(|(name, weight)| CustomerShare {
                name: (*name).to_owned(),
                weight: *weight,
            })
            .collect()
    }

    /// Returns the zone of the endpoint or daemon at `index`.
    pub fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }
}
