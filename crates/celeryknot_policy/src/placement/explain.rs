//! Explains to operators where and why a chat would be placed.

use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, EndpointName, MonotonicMs};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::{ContextAware, PlacementEndpoint, PlacementRequest, chat_rendezvous_score};

/// A reason not to choose an endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PlacementIssue {
    /// It or its zone is draining.
    #[strum(serialize = "takes-no-new-work")]
    #[serde(rename = "takes-no-new-work")]
    NotAccepting,
    /// It has already refused this request.
    Excluded,
    /// It is ejected as unhealthy.
    #[strum(serialize = "sick")]
    #[serde(rename = "sick")]
    Unhealthy,
    /// It is in cold start.
    Cold,
    /// It has no free capacity.
    Full,
    /// No summary from its owner has arrived.
    NoSummary,
}

/// The placement's evaluation of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EndpointExplanation {
    /// The endpoint.
    pub name: EndpointName,
    /// The endpoint's zero-based position in the chat's rendezvous order.
    pub order: usize,
    /// The expected wait.
    pub wait_ms: DurationMs,
    /// Tokens of the chat's context that the endpoint is expected to have cached.
    pub cached_tokens: u32,
    /// The expected time to the first token, without an import.
    pub cost_ms: f64,
    /// The reasons not to choose the endpoint.
    #[serde(rename = "objections")]
    pub issues: Vec<PlacementIssue>,
}

impl ContextAware {
    /// Explains all endpoints in ascending order of cost, with ineligible ones last.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{ChatKey, MonotonicMs};
    /// use celeryknot_policy::placement::{ContextAware, PlacementEndpoint, PlacementIssue, PlacementRequest};
    ///
    /// let endpoints: Vec<_> = ["engine-1", "engine-2"]
    ///     .map(|name| PlacementEndpoint::new(name.parse().unwrap()).with_accepts_requests(name == "engine-2"))
    ///     .into();
    /// let request = PlacementRequest { chat: Some(ChatKey(1)), ..Default::default() };
    /// let explained = ContextAware::new(100, 8_000.0).explain(MonotonicMs(0), &request, &endpoints);
    /// assert_eq!(explained[0].name.as_str(), "engine-2");
    /// assert!(explained[1].issues.contains(&PlacementIssue::NotAccepting));
    /// ```
    pub fn explain(
        &self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
    ) -> Vec<EndpointExplanation> {
        let hints = self.hints(now, request);
        let positions = rendezvous_positions(request.chat, endpoints);
        let mut explained: Vec<_> = endpoints
            .iter()
            .zip(positions)
            .map(|(endpoint, position)| {
                let cached = hints
                    .get(endpoint.name_hash)
                    .map_or(0.0, |hint| hint.tokens);
                let prompt = f64::from(request.prompt_tokens);
                let (prefill_ms, _) = self.prefill_ms(prompt, cached, 0.0);
                EndpointExplanation {
                    name: endpoint.name.clone(),
                    order: position,
                    wait_ms: endpoint.wait_ms(),
                    cached_tokens: cached as u32,
                    cost_ms: endpoint.base_cost_ms + prefill_ms,
                    issues: find_issues(request, endpoint),
                }
            })
            .collect();
        explained.sort_by(|a, b| {
            let key = |explanation: &EndpointExplanation| explanation.is_ineligible();
            key(a).cmp(&key(b)).then(a.cost_ms.total_cmp(&b.cost_ms))
        });
        explained
    }
}

impl EndpointExplanation {
    fn is_ineligible(&self) -> bool {
        self.issues.contains(&PlacementIssue::NotAccepting)
            || self.issues.contains(&PlacementIssue::Excluded)
    }
}

fn rendezvous_positions(chat: Option<ChatKey>, endpoints: &[PlacementEndpoint]) -> Vec<usize> {
    let chat = chat.unwrap_or_default();
    let mut by_score: Vec<usize> = (0..endpoints.len()).collect();
    by_score.sort_by_key(|index| {
        std::cmp::Reverse(chat_rendezvous_score(chat, endpoints[*index].name_hash))
    });
    let mut positions = vec![0; endpoints.len()];
    for (position, index) in by_score.into_iter().enumerate() {
        positions[index] = position;
    }
    positions
}

fn find_issues(request: &PlacementRequest, endpoint: &PlacementEndpoint) -> Vec<PlacementIssue> {
    let mut issues = Vec::new();
    if !endpoint.accepts_requests {
        issues.push(PlacementIssue::NotAccepting);
    }
    if request.excluded.contains(&endpoint.name) {
        issues.push(PlacementIssue::Excluded);
    }
    let Some(summary) = &endpoint.summary else {
        issues.push(PlacementIssue::NoSummary);
        return issues;
    };
    match summary.condition {
        EndpointCondition::Unhealthy => issues.push(PlacementIssue::Unhealthy),
        EndpointCondition::Cold => issues.push(PlacementIssue::Cold),
        EndpointCondition::Warm | EndpointCondition::Ramping => {}
    }
    if summary.in_flight >= summary.in_flight_max {
        issues.push(PlacementIssue::Full);
    }
    issues
}
