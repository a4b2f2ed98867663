//! Why a chat would be placed where it would be, for operators.

use celeryknot_core::{ChatKey, DurationMs, EndpointCondition, EndpointName, MonotonicMs};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::{ContextAware, PlacementEndpoint, PlacementRequest, order_score};

/// What speaks against an endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Objection {
    /// It is leaving or its zone is out.
    TakesNoNewWork,
    /// It refused this request already.
    Excluded,
    /// It is passed over as sick.
    Sick,
    /// It is in cold start.
    Cold,
    /// It has no room now.
    Full,
    /// Its owner has sent no summary.
    NoSummary,
}

/// One endpoint as the placement sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EndpointExplanation {
    /// The endpoint.
    pub name: EndpointName,
    /// Its place in the chat's rendezvous order, from 0.
    pub order: usize,
    /// The expected wait.
    pub wait_ms: DurationMs,
    /// Tokens of the chat's context that are expected in its cache.
    pub cached_tokens: u32,
    /// The expected time to the first token, without an import.
    pub cost_ms: f64,
    /// What speaks against it.
    pub objections: Vec<Objection>,
}

impl ContextAware {
    /// Explains all endpoints, the one that costs least first; those that can't be chosen last.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{ChatKey, MonotonicMs};
    /// use celeryknot_policy::placement::{ContextAware, Objection, PlacementEndpoint, PlacementRequest};
    ///
    /// let endpoints: Vec<_> = ["engine-1", "engine-2"]
    ///     .map(|name| PlacementEndpoint::new(name.parse().unwrap()).with_takes_new_work(name == "engine-2"))
    ///     .into();
    /// let request = PlacementRequest { chat: Some(ChatKey(1)), ..Default::default() };
    /// let explained = ContextAware::new(100, 8_000.0).explain(MonotonicMs(0), &request, &endpoints);
    /// assert_eq!(explained[0].name.as_str(), "engine-2");
    /// assert!(explained[1].objections.contains(&Objection::TakesNoNewWork));
    /// ```
    pub fn explain(
        &self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
    ) -> Vec<EndpointExplanation> {
        let hints = self.hints(now, request);
        let orders = orders(request.chat, endpoints);
        let mut explained: Vec<_> = endpoints
            .iter()
            .zip(orders)
            .map(|(endpoint, order)| {
                let cached = hints.of(endpoint.name_hash).map_or(0.0, |hint| hint.tokens);
                let prompt = f64::from(request.prompt_tokens);
                let (prompt_ms, _) = self.prompt_ms(prompt, cached, 0.0);
                EndpointExplanation {
                    name: endpoint.name.clone(),
                    order,
                    wait_ms: endpoint.wait_ms(),
                    cached_tokens: cached as u32,
                    cost_ms: endpoint.base_ms + prompt_ms,
                    objections: objections(request, endpoint),
                }
            })
            .collect();
        explained.sort_by(|a, b| {
            let key = |held: &EndpointExplanation| held.is_out();
            key(a).cmp(&key(b)).then(a.cost_ms.total_cmp(&b.cost_ms))
        });
        explained
    }
}

impl EndpointExplanation {
    fn is_out(&self) -> bool {
        self.objections.contains(&Objection::TakesNoNewWork)
            || self.objections.contains(&Objection::Excluded)
    }
}

fn orders(chat: Option<ChatKey>, endpoints: &[PlacementEndpoint]) -> Vec<usize> {
    let chat = chat.unwrap_or_default();
    let mut by_score: Vec<usize> = (0..endpoints.len()).collect();
    by_score.sort_by_key(|at| std::cmp::Reverse(order_score(chat, endpoints[*at].name_hash)));
    let mut orders = vec![0; endpoints.len()];
    for (order, at) in by_score.into_iter().enumerate() {
        orders[at] = order;
    }
    orders
}

fn objections(request: &PlacementRequest, endpoint: &PlacementEndpoint) -> Vec<Objection> {
    let mut objections = Vec::new();
    if !endpoint.takes_new_work {
        objections.push(Objection::TakesNoNewWork);
    }
    if request.excluded.contains(&endpoint.name) {
        objections.push(Objection::Excluded);
    }
    let Some(summary) = &endpoint.summary else {
        objections.push(Objection::NoSummary);
        return objections;
    };
    match summary.condition {
        EndpointCondition::Sick => objections.push(Objection::Sick),
        EndpointCondition::Cold => objections.push(Objection::Cold),
        EndpointCondition::Warm | EndpointCondition::Ramping => {}
    }
    if summary.in_flight >= summary.in_flight_max {
        objections.push(Objection::Full);
    }
    objections
}
