//! JSON messages of the platform, as `docs/INTERFACES.md` describes them.

use std::net::SocketAddr;

use celeryknot_core::{EndpointName, MemberName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Deserializer, Serialize};

/// One value of the configuration service.
///
/// The path stays plain text here, so that one odd path does not spoil a whole list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The path of the value.
    pub path: String,
    /// The service's revision at the value's last change.
    pub revision: Revision,
    /// The text; `None` where the value was removed.
    pub text: Option<String>,
}

/// The answer to `GET /v1/values`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueList {
    /// The service's revision.
    pub revision: Revision,
    /// The values asked for.
    pub values: Vec<Value>,
}

/// Whether the platform keeps an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is kept.
    #[default]
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// Whether an endpoint refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The endpoint refuses old numbers.
    Refuses,
    /// The endpoint ignores the number.
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
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// Whether the platform keeps the endpoint.
    #[serde(default)]
    pub state: InstanceState,
    /// Whether the endpoint refuses orders with an old fencing number.
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
    /// Where the daemon's peers reach it.
    pub address: SocketAddr,
    /// Where the daemon's peers hand over requests.
    pub forwards_address: SocketAddr,
    /// Whether the platform keeps the daemon.
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

/// The answer to `GET /v1/instances`: always the whole list.
///
/// # Examples
///
/// ```
/// use celeryknot_platform::InstanceList;
///
/// let text = r#"{"revision": 3, "instances": [{"kind": "engine-of-tomorrow"}]}"#;
/// let list: InstanceList = serde_json::from_str(text)?;
/// assert_eq!(list.instances.len(), 0, "an entry that can't be read is left out");
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The revision of the list.
    pub revision: Revision,
    /// The entries; one that can't be read is left out.
    #[serde(deserialize_with = "readable_instances")]
    pub instances: Vec<Instance>,
}

fn readable_instances<'de, D>(deserializer: D) -> Result<Vec<Instance>, D::Error>
where
    D: Deserializer<'de>,
{
    let entries = Vec::<serde_json::Value>::deserialize(deserializer)?;
    Ok(entries
        .into_iter()
        .filter_map(|entry| serde_json::from_value(entry).ok())
        .collect())
}
