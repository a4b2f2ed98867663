//! Chat completions: parses requests and adds the affinity value to responses.

use std::rc::Rc;

use bytes::Bytes;
use celeryknot_callers::{CallerRequest, ChatCompletion};
use celeryknot_core::{ChatKey, EndpointName, ErrorKind, ModelName, SizeBytes, header};
use celeryknot_endpoints::sse::Usage;
use celeryknot_policy::affinity::AffinityValue;
use http::HeaderMap;
use serde::Deserialize;

use super::context::ThreadContext;
use super::requests::{ChatDetails, ValidatedRequest, header_value};
use crate::snapshot::ServiceSnapshot;

/// Parses a chat completion request.
///
/// # Errors
///
/// `MissingChat`, `UnknownModel` or `MalformedRequest`.
pub(crate) fn read_chat(
    context: &Rc<ThreadContext>,
    request: &CallerRequest,
    service: &ServiceSnapshot,
    body: &Bytes,
) -> Result<ChatDetails, ErrorKind> {
    let name = request.chat.as_deref().ok_or(ErrorKind::MissingChat)?;
    let completion = ChatCompletion::parse(body)?;
    let model = choose_model(&completion, service)?;
    let key = ChatKey::new(&service.name, &model, &request.customer, name);
    let size = SizeBytes(body.len() as u64);
    let cost = context
        .service_states
        .borrow_mut()
        .get_or_create(&context.shared, service)
        .estimator
        .estimate(
            size,
            completion.answer_tokens_max,
            service.settings.answer_tokens_default,
        );
    let keys = &context.shared.settings.caller_keys;
    let affinity = request
        .affinity
        .as_deref()
        .and_then(|text| AffinityValue::parse(text, keys))
        // An affinity value of another chat does not show where this one is cached.
        .filter(|affinity| affinity.chat == key);
    Ok(ChatDetails {
        key,
        cost,
        affinity,
        is_stream: completion.stream,
        parts: completion
            .message_tags
            .into_iter()
            .map(Into::into)
            .collect(),
    })
}

fn choose_model(
    completion: &ChatCompletion,
    service: &ServiceSnapshot,
) -> Result<ModelName, ErrorKind> {
    let offered = &service.settings.models;
    match &completion.model {
        Some(model) if offered.contains(model) => Ok(model.clone()),
        Some(_) => Err(ErrorKind::UnknownModel),
        None => offered.first().cloned().ok_or(ErrorKind::UnknownModel),
    }
}

/// Adds the affinity value that leads the chat's next request to its cached context.
pub(crate) fn write_affinity(
    context: &ThreadContext,
    request: &ValidatedRequest,
    endpoint: &EndpointName,
    headers: &mut HeaderMap,
) {
    let Some(chat) = &request.chat else {
        return;
    };
    let value = AffinityValue {
        endpoint: endpoint.clone(),
        chat: chat.key,
        tokens: chat.cost.prompt_tokens,
    };
    let text = value.to_text(&context.shared.settings.caller_keys);
    headers.insert(header::AFFINITY, header_value(&text));
}

#[derive(Deserialize)]
struct CompletionBody {
    usage: Option<Usage>,
}

/// Reads the token usage of a complete chat completion.
pub(crate) fn read_usage(body: &Bytes) -> Option<Usage> {
    let completion: CompletionBody = serde_json::from_slice(body).ok()?;
    completion.usage
}
