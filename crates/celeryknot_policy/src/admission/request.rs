//! What an owner is asked, what it decides, and how a request ended.

use celeryknot_core::{CustomerName, DurationMs, MonotonicMs, Refusal, RequestId};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The urgency of a request that names none (RFC 9218).
pub const URGENCY_DEFAULT: u8 = 3;
/// The least urgent class (RFC 9218).
pub const URGENCY_MAX: u8 = 7;
/// The least weight of a customer, so that no division by zero can occur.
pub const WEIGHT_MIN: f64 = 1e-3;

/// A request that asks for a place at an endpoint.
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
    /// The request.
    pub id: RequestId,
    /// The customer on whose behalf it was made.
    pub customer: CustomerName,
    /// The customer's weight.
    pub weight: f64,
    /// The urgency, 0 is the most urgent of 0 to 7.
    pub urgency: u8,
    /// The estimated work: uncached prompt tokens and answer tokens.
    pub cost_tokens: u32,
    /// When the caller stops waiting.
    pub deadline_at: Option<MonotonicMs>,
    /// Whether the deadline is for the whole answer, not for its first token.
    pub needs_whole_answer: bool,
    /// The wait that the entry daemon could get at another endpoint.
    pub alternative_wait_ms: Option<DurationMs>,
}

impl AdmissionRequest {
    /// Starts a request with the weight 1, the default urgency and no deadline.
    pub fn builder(id: RequestId, customer: CustomerName) -> AdmissionRequestBuilder {
        AdmissionRequestBuilder {
            request: Self {
                id,
                customer,
                weight: 1.0,
                urgency: URGENCY_DEFAULT,
                cost_tokens: 1,
                deadline_at: None,
                needs_whole_answer: false,
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

    /// Sets the estimated work; 0 counts as 1.
    #[must_use]
    pub fn cost_tokens(mut self, cost_tokens: u32) -> Self {
        self.request.cost_tokens = cost_tokens.max(1);
        self
    }

    /// Sets when the caller stops waiting.
    #[must_use]
    pub fn deadline_at(mut self, deadline_at: impl Into<Option<MonotonicMs>>) -> Self {
        self.request.deadline_at = deadline_at.into();
        self
    }

    /// Makes the deadline count for the whole answer.
    #[must_use]
    pub fn needs_whole_answer(mut self, needs_whole_answer: bool) -> Self {
        self.request.needs_whole_answer = needs_whole_answer;
        self
    }

    /// Sets the wait that the entry daemon could get at another endpoint.
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

/// The owner's first answer to an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// The request is in flight now; the owner must hear of its end by `finish`.
    Start,
    /// The request waits; `poll` will name it exactly once unless it is cancelled.
    Queued,
    /// The request is refused for good.
    Refuse(Refusal),
}

/// What `poll` decided about a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum AdmissionAction {
    /// The request is in flight now.
    Start(RequestId),
    /// The request is refused for good.
    Refuse(RequestId, Refusal),
}

/// How a request that was in flight ended, as far as the endpoint's state goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FinishStatus {
    /// The answer was whole.
    Succeeded,
    /// The endpoint answered with an error of its own, or the answer broke.
    Failed,
    /// The endpoint refused the request without running it.
    Refused,
    /// No connection could be opened.
    ConnectFailed,
    /// No answer came in time.
    TimedOut,
    /// The caller went away or a faster copy won.
    Aborted,
}

/// How a request that was in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishOutcome {
    /// How it ended.
    pub status: FinishStatus,
    /// Time from its start to its first token or byte, if that came.
    pub first_token_ms: Option<DurationMs>,
    /// Tokens of its answer.
    pub answer_tokens: u32,
}

impl FinishOutcome {
    /// Builds an outcome with a status only.
    pub const fn new(status: FinishStatus) -> Self {
        Self {
            status,
            first_token_ms: None,
            answer_tokens: 0,
        }
    }

    /// Adds the time to the first token and the length of the answer.
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
    /// Requests that wait within the endpoint.
    pub queued: u32,
    /// Whether the endpoint is in cold start.
    pub is_cold: bool,
    /// The most work that the endpoint can bear now.
    pub bound: Option<u32>,
    /// Whether the report may show an earlier state, as one that was polled may, but not one that
    /// came with an answer.
    pub may_be_late: bool,
}
