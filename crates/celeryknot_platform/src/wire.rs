//! JSON messages of the platform, as `docs/INTERFACES.md` describes them.

use std::net::SocketAddr;

use celeryknot_core::{EndpointName, MemberName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Deserializer, Serialize};

/// One value of the configuration service.
///
/// The path is unparsed text, so that one invalid path does not invalidate the whole list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The path of the value.
    pub path: String,
    /// The configuration service's revision at the last change of the value.
    pub revision: Revision,
    /// The text; `None` if the value was removed.
    pub text: Option<String>,
}

/// The response to `GET /v1/values`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueList {
    /// The configuration service's revision.
    pub revision: Revision,
    /// The requested values.
    pub values: Vec<Value>,
}

/// The state of an instance at the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is in service.
    #[default]
    Live,
    /// The instance is draining: the platform is about to remove it.
    Leaving,
}

/// Whether an endpoint refuses orders with an outdated fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The endpoint refuses outdated tokens.
    Refuses,
    /// The endpoint ignores the token.
    #[default]
    Ignores,
}

/// An endpoint in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInstance {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// The state of the endpoint at the platform.
    #[serde(default)]
    pub state: InstanceState,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: Fencing,
}

/// A daemon in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonInstance {
    /// The daemon's name.
    pub name: MemberName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The address for messages of the daemon's peers.
    pub address: SocketAddr,
    /// The address for requests that the daemon's peers forward.
    pub forwards_address: SocketAddr,
    /// The state of the daemon at the platform.
    #[serde(default)]
    pub state: InstanceState,
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Instance {
    /// An engine or a plain service.
    Endpoint(EndpointInstance),
    /// A daemon of the fleet.
    Daemon(DaemonInstance),
}

/// The response to `GET /v1/instances`, which is always the complete list.
///
/// # Examples
///
/// ```
/// use celeryknot_platform::InstanceList;
///
/// let text = r#"{"revision": 3, "instances": [{"kind": "engine-of-tomorrow"}]}"#;
/// let list: InstanceList = serde_json::from_str(text)?;
/// assert_eq!(list.instances.len(), 0, "an unreadable entry is skipped");
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision of the list.
    pub revision: Revision,
    /// The entries; deserialization skips unreadable ones.
    #[serde(deserialize_with = "deserialize_readable_instances")]
    pub instances: Vec<Instance>,
}

fn deserialize_readable_instances<'de, D>(deserializer: D) -> Result<Vec<Instance>, D::Error>
where
    D: Deserializer<'de>,
{
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    Ok(entries
        .into_iter()
        .filter_map(|entry| serde_json::from_value(entry).ok())
        .collect())
}
