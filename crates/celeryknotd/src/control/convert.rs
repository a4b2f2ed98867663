//! From the platform's messages to those of the fleet's state machines.

use std::sync::Arc;

use celeryknot_fleet::settings_store::ValueRecord;
use celeryknot_fleet::{FencingMode, ListedDaemon, ListedEndpoint, ListedInstance, MemberInfo};
use celeryknot_platform::{Fencing, Instance, InstanceState, Value};

/// Returns the value unless its path can't be read.
pub(super) fn value_record(value: Value) -> Option<ValueRecord> {
    let Ok(path) = value.path.parse() else {
        tracing::warn!(path = ?value.path, "a value's path can't be read");
        return None;
    };
    Some(ValueRecord {
        path,
        revision: value.revision,
        text: value.text.map(Arc::from),
    })
}

/// Returns the entry of the instance list.
pub(super) fn listed_instance(instance: Instance) -> ListedInstance {
    match instance {
        Instance::Daemon(daemon) => ListedInstance::Daemon(ListedDaemon {
            info: MemberInfo {
                name: daemon.name,
                zone: daemon.zone,
                peers_address: daemon.address,
                forwards_address: daemon.forwards_address,
            },
            is_leaving: daemon.state == InstanceState::Leaving,
        }),
        Instance::Endpoint(endpoint) => ListedInstance::Endpoint(ListedEndpoint {
            name: endpoint.name,
            service: endpoint.service,
            zone: endpoint.zone,
            address: endpoint.address,
            is_leaving: endpoint.state == InstanceState::Leaving,
            fencing: match endpoint.fencing {
                Fencing::Refuses => FencingMode::Refuses,
                Fencing::Ignores => FencingMode::Ignores,
            },
        }),
    }
}
