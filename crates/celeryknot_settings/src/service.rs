//! Settings of one service, under `teams/<team>/services/<service>`.

use std::fmt;
use std::str::FromStr;

use celeryknot_core::{DurationMs, ModelName, SizeBytes, TokenCount};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::builder::setters;
use crate::diagnostic::{Diagnostic, DiagnosticCode};
use crate::fields::Fields;
use crate::key_table::SERVICE_KEYS;

/// The kind of a service's endpoints.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with a chat-completions API.
    #[default]
    Model,
    /// Plain services, routed by path.
    Plain,
}

/// A rule that matches calls of a plain service by method and path prefix.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::RouteRule;
///
/// let rule: RouteRule = "POST /search".parse()?;
/// assert_eq!(rule.method, "POST");
/// assert_eq!(rule.to_string(), "POST /search");
/// # Ok::<(), celeryknot_settings::RouteRuleError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path prefix.
    pub path_prefix: String,
}

/// The error for a text that is not a route rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRuleError;

impl fmt::Display for RouteRuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rule is a method in capitals and a path that begins with `/`")
    }
}

impl std::error::Error for RouteRuleError {}

impl fmt::Display for RouteRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path_prefix)
    }
}

impl FromStr for RouteRule {
    type Err = RouteRuleError;

    fn from_str(text: &str) -> Result<Self, RouteRuleError> {
        let (method, path_prefix) = text.split_once(' ').ok_or(RouteRuleError)?;
        let path_prefix = path_prefix.trim_start();
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        let is_path =
            path_prefix.starts_with('/') && path_prefix.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_method || !is_path {
            return Err(RouteRuleError);
        }
        Ok(Self {
            method: method.to_owned(),
            path_prefix: path_prefix.to_owned(),
        })
    }
}

/// Settings for the requests of one service.
///
/// Calls of a plain service are idempotent if the method is GET, HEAD or OPTIONS or a rule in
/// `idempotent_routes` matches; all others run at most once. Calls of a model service are
/// idempotent.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// The kind of the service's endpoints.
    pub kind: ServiceKind,
    /// The models that the service offers; empty for plain services.
    pub models: Vec<ModelName>,
    /// Maximum load of one endpoint, as a multiple of the mean.
    pub load_multiple: f64,
    /// Concurrency limit of one warm endpoint.
    pub in_flight_max: u32,
    /// Concurrency limit of one endpoint during its cold start.
    pub cold_in_flight_max: u32,
    /// Duration of the slow start that raises a warmed-up endpoint to its full load.
    pub ramp_ms: DurationMs,
    /// Maximum number of requests that are queued for one endpoint.
    pub queue_len_max: u32,
    /// Maximum wait in the queue.
    pub queue_wait_max_ms: DurationMs,
    /// Timeout from the request to the first byte of the response.
    pub first_byte_timeout_ms: DurationMs,
    /// Idle timeout within a response.
    pub idle_timeout_ms: DurationMs,
    /// Maximum size of a request body.
    pub request_size_max_bytes: SizeBytes,
    /// Maximum size of a response body.
    pub answer_size_max_bytes: SizeBytes,
    /// Prefill speed of an engine, for cost estimates.
    pub prefill_tokens_per_s: f64,
    /// Expected number of response tokens if the caller sets no limit.
    pub answer_tokens_default: TokenCount,
    /// Maximum number of retries and hedged requests per hundred first attempts.
    pub retry_percent_max: u32,
    /// Maximum percentage of endpoints that may be ejected as unhealthy.
    pub sick_percent_max: u32,
    /// Whether endpoints echo the request ID, which reveals a response to another request.
    pub echoes_request_id: bool,
    /// Calls that are idempotent despite their method.
    pub idempotent_routes: Vec<RouteRule>,
    /// Whether every non-idempotent call needs a ticket, even without an idempotency key.
    pub requires_ticket: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            models: Vec::new(),
            load_multiple: 1.25,
            in_flight_max: 64,
            cold_in_flight_max: 2,
            ramp_ms: DurationMs(5_000),
            queue_len_max: 256,
            queue_wait_max_ms: DurationMs(10_000),
            first_byte_timeout_ms: DurationMs(10_000),
            idle_timeout_ms: DurationMs(10_000),
            request_size_max_bytes: SizeBytes(1 << 20),
            answer_size_max_bytes: SizeBytes(16 << 20),
            prefill_tokens_per_s: 8_000.0,
            answer_tokens_default: TokenCount(200),
            retry_percent_max: 20,
            sick_percent_max: 30,
            echoes_request_id: true,
            idempotent_routes: Vec::new(),
            requires_ticket: false,
        }
    }
}

impl ServiceSettings {
    /// Creates a builder with the defaults.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::{ServiceKind, ServiceSettings};
    ///
    /// let settings = ServiceSettings::builder().kind(ServiceKind::Plain).in_flight_max(16).build();
    /// assert_eq!(settings.in_flight_max, 16);
    /// ```
    pub fn builder() -> ServiceSettingsBuilder {
        ServiceSettingsBuilder {
            settings: Self::default(),
        }
    }

    /// Parses and validates the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::ServiceSettings;
    ///
    /// let settings = ServiceSettings::parse("[service]\nmodels = wakai-8b\nramp_ms = 20s\n")?;
    /// assert_eq!(settings.ramp_ms.to_string(), "20000ms");
    /// # Ok::<(), Vec<celeryknot_settings::Diagnostic>>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let fields = Fields::parse(SERVICE_KEYS, text)?;
        let settings = Self::from_fields(&fields);
        let conflicts = settings.find_conflicts(&fields);
        if conflicts.is_empty() {
            return Ok(settings);
        }
        Err(conflicts)
    }

    fn from_fields(fields: &Fields<'_>) -> Self {
        const SECTION: &str = "service";
        Self {
            kind: fields.get(SECTION, "kind"),
            models: fields.list(SECTION, "models"),
            load_multiple: fields.get(SECTION, "load_multiple"),
            in_flight_max: fields.get(SECTION, "in_flight_max"),
            cold_in_flight_max: fields.get(SECTION, "cold_in_flight_max"),
            ramp_ms: fields.get(SECTION, "ramp_ms"),
            queue_len_max: fields.get(SECTION, "queue_len_max"),
            queue_wait_max_ms: fields.get(SECTION, "queue_wait_max_ms"),
            first_byte_timeout_ms: fields.get(SECTION, "first_byte_timeout_ms"),
            idle_timeout_ms: fields.get(SECTION, "idle_timeout_ms"),
            request_size_max_bytes: fields.get(SECTION, "request_size_max_bytes"),
            answer_size_max_bytes: fields.get(SECTION, "answer_size_max_bytes"),
            prefill_tokens_per_s: fields.get(SECTION, "prefill_tokens_per_s"),
            answer_tokens_default: fields.get(SECTION, "answer_tokens_default"),
            retry_percent_max: fields.get(SECTION, "retry_percent_max"),
            sick_percent_max: fields.get(SECTION, "sick_percent_max"),
            echoes_request_id: fields.get(SECTION, "echoes_request_id"),
            idempotent_routes: fields.list(SECTION, "idempotent_routes"),
            requires_ticket: fields.get(SECTION, "requires_ticket"),
        }
    }

    fn find_conflicts(&self, fields: &Fields<'_>) -> Vec<Diagnostic> {
        let conflict = |name: &str, reason: &str| {
            let line = fields.line("service", name);
            Diagnostic::new(DiagnosticCode::Conflict, line, reason)
        };
        let mut findings = Vec::new();
        if self.cold_in_flight_max > self.in_flight_max {
            findings.push(conflict(
                "cold_in_flight_max",
                "`cold_in_flight_max` is above `in_flight_max`",
            ));
        }
        match self.kind {
            ServiceKind::Model => {
                if self.models.is_empty() {
                    let reason = "a model service needs `models`";
                    findings.push(Diagnostic::new(
                        DiagnosticCode::MissingKey,
                        fields.line("service", "kind"),
                        reason,
                    ));
                }
                if !self.idempotent_routes.is_empty() {
                    let reason = "all calls of a model service are idempotent";
                    findings.push(conflict("idempotent_routes", reason));
                }
                if self.requires_ticket {
                    let reason = "calls of a model service take no tickets";
                    findings.push(conflict("requires_ticket", reason));
                }
            }
            ServiceKind::Plain => {
                if !self.models.is_empty() {
                    findings.push(conflict("models", "a plain service offers no models"));
                }
            }
        }
        findings
    }
}

/// Builds [`ServiceSettings`].
#[derive(Debug, Clone)]
pub struct ServiceSettingsBuilder {
    settings: ServiceSettings,
}

impl ServiceSettingsBuilder {
    setters!(ServiceSettings {
        kind: ServiceKind,
        models: Vec<ModelName>,
        load_multiple: f64,
        in_flight_max: u32,
        cold_in_flight_max: u32,
        ramp_ms: DurationMs,
        queue_len_max: u32,
        queue_wait_max_ms: DurationMs,
        first_byte_timeout_ms: DurationMs,
        idle_timeout_ms: DurationMs,
        request_size_max_bytes: SizeBytes,
        answer_size_max_bytes: SizeBytes,
        prefill_tokens_per_s: f64,
        answer_tokens_default: TokenCount,
        retry_percent_max: u32,
        sick_percent_max: u32,
        echoes_request_id: bool,
        idempotent_routes: Vec<RouteRule>,
        requires_ticket: bool,
    });

    /// Returns the settings.
    pub fn build(self) -> ServiceSettings {
        self.settings
    }
}
