//! `status` shows the status of a daemon.

use std::io::Write;

use celeryknot_core::DurationMs;
use celeryknot_operators::{ControlStatus, EndpointStatus, Status, fetch_status};

use super::{or_dash, write_json};
use crate::arguments::{Format, StatusArguments};
use crate::exit_status::{ExitStatus, Failure};
use crate::table::Table;

/// Fetches and writes a daemon's status.
///
/// # Errors
///
/// Fails when the daemon is unreachable or refuses the query.
pub fn run(arguments: &StatusArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let status = smol::block_on(fetch_status(arguments.address))
        .map_err(|error| Failure::unavailable(format!("{}: {error}", arguments.address)))?;
    match arguments.format {
        Format::Json => write_json(out, &status)?,
        Format::Text => out.write_all(render(&status).as_bytes())?,
    }
    Ok(ExitStatus::Done)
}

/// Renders a status as text.
pub fn render(status: &Status) -> String {
    let control = &status.control;
    let sections = [
        summary(status),
        format!("Members\n{}", members(control)),
        format!("Zones\n{}", zones(control)),
        format!("Endpoints\n{}", endpoints(control)),
        format!("Rollouts\n{}", rollouts(control)),
        format!("Settings\n{}", settings(control)),
    ];
    sections.join("\n")
}

fn summary(status: &Status) -> String {
    let readiness = match (status.is_shutting_down, status.is_ready) {
        (true, _) => "shutting down",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let settings_source = if status.control.is_reader {
        "watches the platform"
    } else {
        "hears settings from peers"
    };
    let traffic = &status.traffic;
    format!(
        "{} in {} ({readiness}), version {}, incarnation {}\n\
         snapshot {}, settings revision {} confirmed {} ago; {settings_source}\n\
         {} connections, {} requests in flight, {} endpoints owned, {} tickets held\n",
        status.name,
        status.zone,
        status.version,
        status.incarnation,
        status.control.snapshot_version,
        status.control.settings_revision,
        or_dash(status.control.settings_age_ms),
        traffic.connections,
        traffic.requests_in_flight,
        traffic.endpoints_owned,
        traffic.tickets_held,
    )
}

fn members(control: &ControlStatus) -> Table {
    let mut table = Table::new(&["name", "zone", "state", "incarnation", "address"]);
    for member in &control.members {
        table.add([
            member.name.to_string(),
            member.zone.to_string(),
            member.state.to_string(),
            or_dash(member.incarnation),
            member.peers_address.to_string(),
        ]);
    }
    table
}

fn zones(control: &ControlStatus) -> Table {
    let mut table = Table::new(&["zone", "state", "out for teams", "members", "endpoints"]);
    for zone in &control.zones {
        let teams = (!zone.out_for_teams.is_empty()).then(|| zone.out_for_teams.join(", "));
        table.add([
            zone.name.to_string(),
            if zone.is_out { "out" } else { "in" }.to_owned(),
            or_dash(teams),
            zone.members_alive.to_string(),
            zone.endpoints.to_string(),
        ]);
    }
    table
}

fn endpoints(control: &ControlStatus) -> Table {
    let mut table = Table::new(&[
        "name",
        "service",
        "zone",
        "owner",
        "new work",
        "condition",
        "in flight",
        "queued",
        "wait",
    ]);
    for endpoint in &control.endpoints {
        let summary = endpoint.summary;
        let load = summary.map(|s| format!("{}/{}", s.in_flight, s.in_flight_max));
        table.add([
            endpoint.name.to_string(),
            endpoint.service.to_string(),
            endpoint.zone.to_string(),
            or_dash(endpoint.owner.clone()),
            accepts_requests(endpoint).to_owned(),
            or_dash(summary.map(|s| s.condition)),
            or_dash(load),
            or_dash(summary.map(|s| s.queued)),
            or_dash(
                summary
                    .map(|s| s.wait_ms)
                    .filter(|wait| *wait > DurationMs(0)),
            ),
        ]);
    }
    table
}

fn accepts_requests(endpoint: &EndpointStatus) -> &'static str {
    match (endpoint.takes_new_work, endpoint.is_leaving) {
        (true, _) => "yes",
        (false, true) => "no, leaving",
        (false, false) => "no",
    }
}

fn rollouts(control: &ControlStatus) -> Table {
    let mut table = Table::new(&["service", "version", "revision", "state here"]);
    for rollout in &control.rollouts {
        table.add([
            rollout.service.to_string(),
            rollout.version.clone(),
            rollout.revision.to_string(),
            rollout.state.to_string(),
        ]);
    }
    table
}

fn settings(control: &ControlStatus) -> String {
    let mut table = Table::new(&["path", "revision in force", "refused"]);
    let mut findings = String::new();
    for setting in &control.settings {
        let refused = setting.refused.as_ref();
        table.add([
            setting.path.to_string(),
            or_dash(setting.revision_in_force),
            or_dash(refused.map(|refused| format!("revision {}", refused.revision))),
        ]);
        for finding in refused.iter().flat_map(|refused| &refused.findings) {
            findings.push_str(finding);
            findings.push('\n');
        }
    }
    format!("{table}{findings}")
}
