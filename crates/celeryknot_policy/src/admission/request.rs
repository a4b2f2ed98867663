//! Admission requests, decisions on them, and the outcome of requests.

use celeryknot_core::{CustomerName, DurationMs, MonotonicMs, Refusal, RequestId};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The default urgency of a request (RFC 9218).
pub const URGENCY_DEFAULT: u8 = 3;
/// The least urgent class (RFC 9218).
pub const URGENCY_MAX: u8 = 7;
/// The lowest weight of a customer; above 0, as costs are divided by it.
pub const WEIGHT_MIN: f64 = 1e-3;

/// A request to be admitted to an endpoint.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RequestId};
/// use celeryknot_policy::admission::AdmissionRequest;
///
/// let request = AdmissionRequest::builder(RequestId(1), "otaru".parse()?)
///     .cost_tokens(1_200)
///     .deadline_at(MonotonicMs(4_000))
///     .build();
/// assert_eq!(request.urgency, 3);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The customer that is charged for it.
    pub customer: CustomerName,
    /// The customer's weight.
    pub weight: f64,
    /// The urgency from 0 to 7; 0 is the most urgent.
    pub urgency: u8,
    /// The estimated cost: uncached prompt tokens and response tokens.
    pub cost_tokens: u32,
    /// When the caller's timeout expires.
    pub deadline_at: Option<MonotonicMs>,
    /// Whether the deadline is for the complete response, not for its first token.
    pub needs_complete_answer: bool,
    /// The expected wait at the entry daemon's best other endpoint.
    pub alternative_wait_ms: Option<DurationMs>,
}

impl AdmissionRequest {
    /// Returns a builder with the weight 1, the default urgency and no deadline.
    pub fn builder(id: RequestId, customer: CustomerName) -> AdmissionRequestBuilder {
        AdmissionRequestBuilder {
            request: Self {
                id,
                customer,
                weight: 1.0,
                urgency: URGENCY_DEFAULT,
                cost_tokens: 1,
                deadline_at: None,
                needs_complete_answer: false,
                alternative_wait_ms: None,
            },
        }
    }
}

/// Builds an [`AdmissionRequest`].
#[derive(Debug, Clone)]
pub struct AdmissionRequestBuilder {
    request: AdmissionRequest,
}

impl AdmissionRequestBuilder {
    /// Sets the customer's weight.
    #[must_use]
    pub fn weight(mut self, weight: f64) -> Self {
        self.request.weight = if weight.is_finite() {
            weight.max(WEIGHT_MIN)
        } else {
            1.0
        };
        self
    }

    /// Sets the urgency; values above 7 count as 7.
    #[must_use]
    pub fn urgency(mut self, urgency: u8) -> Self {
        self.request.urgency = urgency.min(URGENCY_MAX);
        self
    }

    /// Sets the estimated cost; 0 counts as 1.
    #[must_use]
    pub fn cost_tokens(mut self, cost_tokens: u32) -> Self {
        self.request.cost_tokens = cost_tokens.max(1);
        self
    }

    /// Sets when the caller's timeout expires.
    #[must_use]
    pub fn deadline_at(mut self, deadline_at: impl Into<Option<MonotonicMs>>) -> Self {
        self.request.deadline_at = deadline_at.into();
        self
    }

    /// Sets whether the deadline is for the complete response.
    #[must_use]
    pub fn needs_complete_answer(mut self, needs_complete_answer: bool) -> Self {
        self.request.needs_complete_answer = needs_complete_answer;
        self
    }

    /// Sets the expected wait at the entry daemon's best other endpoint.
    #[must_use]
    pub fn alternative_wait_ms(mut self, wait_ms: impl Into<Option<DurationMs>>) -> Self {
        self.request.alternative_wait_ms = wait_ms.into();
        self
    }

    /// Returns the request.
    #[must_use]
    pub fn build(self) -> AdmissionRequest {
        self.request
    }
}

/// The owner's decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// The request is in flight now; its end must be recorded by `finish`.
    Start,
    /// The request is queued; `poll` returns it exactly once unless it is cancelled.
    Queued,
    /// The request is refused.
    Refuse(Refusal),
}

/// A decision of `poll` on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum AdmissionAction {
    /// The request is in flight now.
    Start(RequestId),
    /// The request is refused.
    Refuse(RequestId, Refusal),
}

/// How a request that was in flight ended, as it affects the endpoint's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FinishStatus {
    /// The response was complete.
    Succeeded,
    /// The endpoint responded with an error, or its response was truncated.
    Failed,
    /// The endpoint refused the request without running it.
    Refused,
    /// No connection could be opened.
    ConnectFailed,
    /// No response arrived before the timeout.
    TimedOut,
    /// The caller disconnected, or another hedged copy responded first.
    Aborted,
}

/// How a request that was in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishOutcome {
    /// How it ended.
    pub status: FinishStatus,
    /// Time from its start to its first token or byte, if one arrived.
    pub first_token_ms: Option<DurationMs>,
    /// Tokens of its response.
    pub answer_tokens: u32,
}

impl FinishOutcome {
    /// Creates an outcome with a status only.
    pub const fn new(status: FinishStatus) -> Self {
        Self {
            status,
            first_token_ms: None,
            answer_tokens: 0,
        }
    }

    /// Adds the time to the first token and the tokens of the response.
    #[must_use]
    pub const fn with_answer(mut self, first_token_ms: DurationMs, answer_tokens: u32) -> Self {
        self.first_token_ms = Some(first_token_ms);
        self.answer_tokens = answer_tokens;
        self
    }
}

/// The load that an endpoint reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in flight at the endpoint, from all daemons.
    pub in_flight: u32,
    /// Requests queued within the endpoint.
    pub queued: u32,
    /// Whether the endpoint is in cold start.
    pub is_cold: bool,
    /// Maximum number of requests in flight that the endpoint can handle now.
    pub bound: Option<u32>,
    /// Whether the report may show an earlier state: `true` for a polled report, `false` for one
    /// that came with a response.
    pub may_be_stale: bool,
}
