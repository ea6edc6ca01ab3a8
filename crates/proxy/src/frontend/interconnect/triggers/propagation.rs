//! Purge commands for peer CDNs.

use crate::frontend::interconnect::identity::cdn_path_contains;
use crate::frontend::interconnect::{Identity, Notification};
use crate::request_table::PurgeTarget;
use serde_json::{json, Value};

/// Payload type of a trigger command (RFC 8007, section 5.1.1).
const COMMAND_PAYLOAD_TYPE: &str = "ci-trigger-command";

/// Returns commands for every peer CDN to purge a target.
pub fn purge_commands(identity: &Identity, target: &PurgeTarget) -> Vec<Notification> {
    let specification = match target {
        PurgeTarget::Object(object) => {
            json!({"type": "purge", "content.urls": content_urls(identity, object)})
        }
        PurgeTarget::Group(purge_group) => {
            json!({"type": "purge", "content.ccid": [purge_group.to_string()]})
        }
    };
    propagate(identity, &specification, &[])
}

/// Returns the URL of an object, or no URL if no class is configured. The first class is enough,
/// because the key alone identifies an object, whatever class the URL names.
fn content_urls(identity: &Identity, object: &str) -> Vec<String> {
    let first_class = identity.classes.iter().take(1);
    first_class
        .map(|class| format!("{}/content/{}/{object}", identity.base_url, class.name))
        .collect()
}

/// Returns a trigger command for every peer CDN that is not in `cdn_path`, the list of the CDNs
/// through which the command has passed. The new commands add this CDN to the list (RFC 8007,
/// section 4.6).
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
        .filter(|peer| !cdn_path_contains(cdn_path, &peer.provider))
        .map(|peer| Notification {
            address: peer.address,
            path: peer.trigger_path.clone(),
            payload_type: COMMAND_PAYLOAD_TYPE,
            body: body.clone(),
        })
        .collect()
}
