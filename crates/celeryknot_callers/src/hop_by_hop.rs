//! Removal of hop-by-hop header fields, which apply to one connection and must not be forwarded.

use http::header::{
    CONNECTION, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Fields that are hop-by-hop even if `Connection` does not list them.
const HOP_BY_HOP_FIELDS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop fields, including those that `Connection` lists.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::hop_by_hop::strip;
///
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "close, x-secret".parse().unwrap());
/// headers.insert("x-secret", "1".parse().unwrap());
/// headers.insert("accept", "*/*".parse().unwrap());
/// strip(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_FIELDS) {
        headers.remove(name);
    }
}
