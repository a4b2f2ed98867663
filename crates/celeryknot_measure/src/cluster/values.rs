//! Initial values of a cluster's configuration service.

use crate::deployment::DeploymentSpec;

pub(super) fn initial_values(spec: &DeploymentSpec, load_multiple: f64) -> Vec<(String, String)> {
    let team = spec.team;
    let model = spec.model;
    let mut values: Vec<(String, String)> = spec
        .zones
        .iter()
        .map(|zone| zone_value(zone, true))
        .collect();
    values.push((
        format!("teams/{team}/services/{}", spec.model_service),
        format!(
            "[service]\nkind = model\nmodels = {model}\nload_multiple = {load_multiple}\n\
             cold_in_flight_max = 2\nramp_ms = 2s\nprefill_tokens_per_s = 20000\n\
             answer_tokens_default = 28\n"
        ),
    ));
    values.push((
        format!("teams/{team}/services/{}", spec.plain_service),
        "[service]\nkind = plain\nrequires_ticket = true\n".to_owned(),
    ));
    values.extend(spec.customers.iter().map(|(name, weight)| {
        let path = format!("teams/{team}/customers/{name}");
        (path, format!("[customer]\nshare_weight = {weight}\n"))
    }));
    values
}

pub(super) fn zone_value(zone: &str, is_in_service: bool) -> (String, String) {
    let state = if is_in_service { "in" } else { "out" };
    (
        format!("fleet/zones/{zone}"),
        format!("[zone]\nstate = {state}\n"),
    )
}
