//! The load bound: the most requests that one endpoint may carry, from the mean of its service.

use celeryknot_core::{EndpointCondition, EndpointSummary};

/// The load of a service over its endpoints, as old as the summaries it was made from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Endpoints that can carry a full share.
    pub endpoint_count: u32,
    /// Mean requests in flight at such an endpoint.
    pub mean_in_flight: f64,
}

impl ServiceLoad {
    /// Averages over the endpoints that take new work.
    ///
    /// Endpoints that are held down by their own condition can't carry a share and are left
    /// out, unless no other endpoint is there.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{EndpointCondition, EndpointSummary};
    /// use celeryknot_policy::bound::ServiceLoad;
    ///
    /// let warm = EndpointSummary { in_flight: 4, condition: EndpointCondition::Warm, ..Default::default() };
    /// let cold = EndpointSummary { in_flight: 1, ..Default::default() };
    /// assert_eq!(ServiceLoad::from_summaries(&[warm, warm, cold]).mean_in_flight, 4.0);
    /// ```
    pub fn from_summaries<'a>(summaries: impl IntoIterator<Item = &'a EndpointSummary>) -> Self {
        let (mut warm, mut all) = (Sum::default(), Sum::default());
        for summary in summaries {
            all.add(summary.in_flight);
            if summary.condition == EndpointCondition::Warm {
                warm.add(summary.in_flight);
            }
        }
        if warm.count > 0 { warm } else { all }.mean()
    }
}

#[derive(Default)]
struct Sum {
    count: u32,
    in_flight: u64,
}

impl Sum {
    fn add(&mut self, in_flight: u32) {
        self.count += 1;
        self.in_flight += u64::from(in_flight);
    }

    fn mean(self) -> ServiceLoad {
        ServiceLoad {
            endpoint_count: self.count,
            mean_in_flight: self.in_flight as f64 / f64::from(self.count.max(1)),
        }
    }
}

/// The rule from the mean of a service to the most load of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    multiple: f64,
}

impl LoadBound {
    /// Builds the rule for a multiple of the mean; multiples below 1 count as 1.
    pub fn new(multiple: f64) -> Self {
        let multiple = if multiple.is_finite() {
            multiple.max(1.0)
        } else {
            1.0
        };
        Self { multiple }
    }

    /// Returns the most requests in flight at one endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::bound::{LoadBound, ServiceLoad};
    ///
    /// let load = ServiceLoad { endpoint_count: 10, mean_in_flight: 8.0 };
    /// assert_eq!(LoadBound::new(1.25).in_flight_max(&load), 10);
    /// ```
    pub fn in_flight_max(&self, load: &ServiceLoad) -> u32 {
        if load.endpoint_count < 2 {
            return u32::MAX;
        }
        let mean = load.mean_in_flight;
        (self.multiple * mean).max(mean + 1.0).floor() as u32
    }
}
