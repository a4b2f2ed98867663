//! Admission permits that requests hold at endpoints.

use std::sync::Arc;

use async_channel::Sender;
use celeryknot_core::{EndpointName, ErrorKind, Refusal, RequestId};
use celeryknot_policy::admission::{AdmissionRequest, FinishOutcome, FinishStatus, ReportedLoad};
use celeryknot_policy::rate_limit::RateStatement;

use super::shared::Shared;
use crate::snapshot::ServiceSnapshot;

/// Message to the thread that admits requests to an endpoint.
#[derive(Debug)]
pub(crate) enum AdmissionMessage {
    /// A request waits for admission.
    Offer {
        endpoint: EndpointName,
        service: Arc<ServiceSnapshot>,
        request: AdmissionRequest,
        reply: Sender<Result<Admission, Refusal>>,
    },
    /// A request is cancelled, whether it is queued or in flight.
    Cancel {
        endpoint: EndpointName,
        id: RequestId,
    },
    /// A request in flight has ended.
    Finish {
        endpoint: EndpointName,
        id: RequestId,
        outcome: FinishOutcome,
        /// The load that the endpoint reported with its response.
        load: Option<ReportedLoad>,
    },
    /// The endpoint reported its load.
    Load {
        endpoint: EndpointName,
        load: ReportedLoad,
    },
    /// The endpoint stated its rate limit, or that it has none.
    Rate {
        endpoint: EndpointName,
        statement: RateStatement,
    },
}

/// The admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Admission {
    /// Whether the endpoint limits its rate, so that the request may reach it once only.
    pub(crate) is_rate_limited: bool,
}

/// Permit for one request at an endpoint; dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    shared: Arc<Shared>,
    endpoint: EndpointName,
    id: RequestId,
    outcome: Option<FinishOutcome>,
    load: Option<ReportedLoad>,
    is_rate_limited: bool,
}

impl Permit {
    /// Requests admission and waits for the decision.
    ///
    /// # Errors
    ///
    /// The owner's refusal; the request was not run.
    pub(crate) async fn acquire(
        shared: &Arc<Shared>,
        endpoint: &EndpointName,
        service: &Arc<ServiceSnapshot>,
        request: AdmissionRequest,
    ) -> Result<Self, Refusal> {
        let (reply, replies) = async_channel::bounded(1);
        let mut permit = Self {
            shared: Arc::clone(shared),
            endpoint: endpoint.clone(),
            id: request.id,
            outcome: None,
            load: None,
            is_rate_limited: false,
        };
        permit.send(AdmissionMessage::Offer {
            endpoint: endpoint.clone(),
            service: Arc::clone(service),
            request,
            reply,
        });
        let decision = replies.recv().await;
        let refusal = match decision {
            Ok(Ok(admission)) => {
                permit.is_rate_limited = admission.is_rate_limited;
                permit.outcome = Some(FinishOutcome::new(FinishStatus::Aborted));
                return Ok(permit);
            }
            Ok(Err(refusal)) => refusal,
            Err(_) => Refusal::new(ErrorKind::Draining),
        };
        Err(refusal)
    }

    /// Returns whether the endpoint limits its rate, so that the request may reach it once only.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.is_rate_limited
    }

    /// Reports what the response states about the endpoint's rate limit.
    pub(crate) fn report_rate(&self, statement: RateStatement) {
        self.send(AdmissionMessage::Rate {
            endpoint: self.endpoint.clone(),
            statement,
        });
    }

    /// Sets the outcome of the request; a later call overrides it.
    pub(crate) fn set_outcome(&mut self, outcome: FinishOutcome) {
        self.outcome = Some(outcome);
    }

    /// Sets the load that the endpoint reported; it is sent with the end of the request.
    pub(crate) fn set_load(&mut self, load: ReportedLoad) {
        self.load = Some(load);
    }

    fn send(&self, message: AdmissionMessage) {
        // The channel is closed only when the daemon shuts down.
        let _ = self
            .shared
            .admission_channel(&self.endpoint)
            .try_send(message);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let endpoint = self.endpoint.clone();
        let id = self.id;
        self.send(match self.outcome {
            Some(outcome) => AdmissionMessage::Finish {
                endpoint,
                id,
                outcome,
                load: self.load,
            },
            None => AdmissionMessage::Cancel { endpoint, id },
        });
    }
}
