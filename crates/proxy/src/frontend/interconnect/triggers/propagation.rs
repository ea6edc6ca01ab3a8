//! Purge commands for peers.

use crate::frontend::interconnect::identity::has_passed;
use crate::frontend::interconnect::{Identity, Notification};
use serde_json::{json, Value};

/// The type of a trigger command payload (RFC 8007, section 5.1.1).
const COMMAND_PTYPE: &str = "ci-trigger-command";

/// Commands to purge an object, or with none a whole group, for every peer.
pub fn purge_commands(identity: &Identity, object: Option<&str>, group: u64) -> Vec<Notification> {
    let specification = match object {
        Some(object) => json!({"type": "purge", "content.urls": content_urls(identity, object)}),
        None => json!({"type": "purge", "content.ccid": [group.to_string()]}),
    };
    propagate(identity, &specification, &[])
}

/// The URL of an object. One class will do: objects are known by their keys, whatever the class in
/// the URL.
fn content_urls(identity: &Identity, object: &str) -> Vec<String> {
    let first_class = identity.classes.iter().take(1);
    first_class
        .map(|class| format!("{}/content/{}/{object}", identity.base_url, class.name))
        .collect()
}

/// A trigger command for every peer that has not seen it: our CDN Provider ID is added to the path
/// of those that have (RFC 8007, section 4.6).
pub(super) fn propagate(
    identity: &Identity,
    specification: &Value,
    cdn_path: &[Value],
) -> Vec<Notification> {
    let mut extended_path = cdn_path.to_vec();
    extended_path.push(json!(identity.provider));
    let body = json!({"trigger": specification, "cdn-path": extended_path}).to_string();
    identity
        .peers
        .iter()
        .filter(|peer| !has_passed(cdn_path, &peer.provider))
        .map(|peer| Notification {
            address: peer.address,
            path: peer.trigger_path.clone(),
            ptype: COMMAND_PTYPE,
            body: body.clone(),
        })
        .collect()
}
