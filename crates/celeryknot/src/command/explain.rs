//! `explain` shows how a daemon ranks the endpoints for a chat.

use std::io::Write;

use celeryknot_operators::{ExplainQuery, Explanation, fetch_explanation};

use super::{or_dash, write_json};
use crate::arguments::{ExplainArguments, Format};
use crate::exit_status::{ExitStatus, Failure};
use crate::table::Table;

/// Fetches and writes the ranking of the endpoints for a chat.
///
/// # Errors
///
/// Fails when the daemon is unreachable or refuses the query.
pub fn run(arguments: &ExplainArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let query = ExplainQuery {
        service: arguments.service.clone(),
        customer: arguments.customer.clone(),
        chat: arguments.chat.clone(),
        model: arguments.model.clone(),
    };
    let explanation = smol::block_on(fetch_explanation(arguments.address, &query))
        .map_err(|error| Failure::unavailable(format!("{}: {error}", arguments.address)))?;
    match arguments.format {
        Format::Json => write_json(out, &explanation)?,
        Format::Text => out.write_all(render(&explanation).as_bytes())?,
    }
    Ok(ExitStatus::Done)
}

/// Renders an explanation as text.
pub fn render(explanation: &Explanation) -> String {
    let query = &explanation.query;
    let mut table = Table::new(&[
        "rank",
        "endpoint",
        "zone",
        "owner",
        "cost",
        "wait",
        "cached",
        "condition",
        "objections",
    ]);
    for endpoint in &explanation.endpoints {
        let objections = (!endpoint.objections.is_empty()).then(|| endpoint.objections.join("; "));
        table.add([
            or_dash(endpoint.rank),
            endpoint.name.to_string(),
            endpoint.zone.to_string(),
            or_dash(endpoint.owner.clone()),
            or_dash(endpoint.cost_ms),
            or_dash(endpoint.wait_ms),
            endpoint.cached_tokens.to_string(),
            or_dash(endpoint.condition),
            or_dash(objections),
        ]);
    }
    format!(
        "Chat `{}` of {} at {} (key {}, snapshot {})\n{table}",
        query.chat.escape_debug(),
        query.customer,
        query.service,
        explanation.chat_key,
        explanation.snapshot_version,
    )
}
