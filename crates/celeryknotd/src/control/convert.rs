//! Converts the platform's messages for the fleet's state machines.

use std::sync::Arc;

use celeryknot_fleet::settings_store::ValueRecord;
use celeryknot_fleet::{FencingMode, ListedDaemon, ListedEndpoint, ListedInstance, MemberInfo};
use celeryknot_platform::{Fencing, Instance, InstanceState, Value};

/// Converts a value; returns `None` if its path is invalid.
pub(super) fn value_record(value: Value) -> Option<ValueRecord> {
    let Ok(path) = value.path.parse() else {
        tracing::warn!(path = ?value.path, "ignoring a value with an invalid path");
        return None;
    };
    Some(ValueRecord {
        path,
        revision: value.revision,
        text: value.text.map(Arc::from),
    })
}

/// Converts an entry of the instance list.
pub(super) fn listed_instance(instance: Instance) -> ListedInstance {
    match instance {
        Instance::Daemon(daemon) => ListedInstance::Daemon(ListedDaemon {
            info: MemberInfo {
                name: daemon.name,
                zone: daemon.zone,
                peers_address: daemon.address,
                forwards_address: daemon.forwards_address,
            },
            is_draining: daemon.state == InstanceState::Leaving,
        }),
        Instance::Endpoint(endpoint) => ListedInstance::Endpoint(ListedEndpoint {
            name: endpoint.name,
            service: endpoint.service,
            zone: endpoint.zone,
            address: endpoint.address,
            is_draining: endpoint.state == InstanceState::Leaving,
            fencing: match endpoint.fencing {
                Fencing::Refuses => FencingMode::Refuses,
                Fencing::Ignores => FencingMode::Ignores,
            },
        }),
    }
}
