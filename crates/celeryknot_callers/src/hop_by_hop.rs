//! Header fields that concern one connection only and must not be passed on.

use http::header::{
    CONNECTION, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Fields that are hop-by-hop whether or not `Connection` names them.
const FIELDS: [HeaderName; 9] = [
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

/// Removes the hop-by-hop fields, and those that `Connection` names.
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
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&FIELDS) {
        headers.remove(name);
    }
}
