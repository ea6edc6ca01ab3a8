//! Executes trigger commands and keeps the trigger status resources (RFC 8007, sections 4 and 5.1).

use super::propagation::propagate;
use super::specification::{selectors, Specification, TriggerType};
use crate::frontend::interconnect::{Effect, Identity, Response};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// Payload type of a trigger status resource (RFC 8007, section 5.1.2).
const STATUS_PAYLOAD_TYPE: &str = "ci-trigger-status";
/// Payload type of a trigger collection (RFC 8007, section 5.1.3).
const COLLECTION_PAYLOAD_TYPE: &str = "ci-trigger-collection";
/// Error code for a command that this CDN is not willing to execute (RFC 8007, section 5.2.7).
const REJECTED_ERROR_CODE: &str = "ereject";
/// Time after which the status resource of a trigger that is complete or has failed may be removed
/// (RFC 8007, section 4.5).
const STALE_RESOURCE_TIME_S: u64 = 3600;

/// A trigger command, with the state that its execution depends on.
pub struct Command<'a> {
    /// Identity of this CDN and its peer CDNs.
    pub identity: &'a Identity,
    /// Unix time in seconds.
    pub now_s: u64,
    /// Number of further purges that can be stored.
    pub purge_capacity: usize,
    /// Payload of the command (RFC 8007, section 5.1.1).
    pub payload: &'a Value,
}

/// Result of executing a command.
pub struct CommandOutcome {
    pub response: Response,
    pub effects: Vec<Effect>,
}

impl CommandOutcome {
    fn without_effects(response: Response) -> Self {
        CommandOutcome {
            response,
            effects: Vec::new(),
        }
    }

    fn without_body(status: u16) -> Self {
        Self::without_effects(Response::without_body(status))
    }
}

/// Trigger status (RFC 8007, section 5.2.3). Only the two statuses that triggers of this CDN can
/// have are defined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum TriggerStatus {
    Complete,
    Failed,
}

impl TriggerStatus {
    const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
        }
    }

    /// Returns the status with this name. The same name denotes the collection of the triggers with
    /// this status.
    fn from_name(name: &str) -> Option<Self> {
        [Self::Complete, Self::Failed]
            .into_iter()
            .find(|status| status.name() == name)
    }
}

/// A trigger status resource.
struct StatusResource {
    specification: Value,
    created_s: u64,
    /// Error description (RFC 8007, section 5.2.6), or `None` if the trigger is complete.
    error: Option<Value>,
}

impl StatusResource {
    fn status(&self) -> TriggerStatus {
        match self.error {
            Some(_) => TriggerStatus::Failed,
            None => TriggerStatus::Complete,
        }
    }

    fn payload(&self) -> Value {
        let mut payload = json!({
            "trigger": self.specification,
            "ctime": self.created_s,
            "mtime": self.created_s,
            "status": self.status().name(),
        });
        if let Some(error) = &self.error {
            payload["errors"] = json!([error]);
        }
        payload
    }
}

/// Trigger status resources by their numbers.
pub struct TriggerResources {
    resources: BTreeMap<u64, StatusResource>,
    next_number: u64,
    max_resources: usize,
}

impl TriggerResources {
    pub fn new(max_resources: usize) -> Self {
        TriggerResources {
            resources: BTreeMap::new(),
            next_number: 1,
            max_resources,
        }
    }

    /// Executes a trigger command, which creates or cancels a trigger.
    pub fn execute(&mut self, command: Command) -> CommandOutcome {
        let payload = command.payload;
        let Some(cdn_path) = payload["cdn-path"].as_array() else {
            return CommandOutcome::without_body(400);
        };
        if command.identity.is_loop(cdn_path) {
            return CommandOutcome::without_body(403);
        }
        match (payload["trigger"].as_object(), payload["cancel"].as_array()) {
            (Some(properties), None) => self.create(&command, properties, cdn_path),
            // Every trigger is complete or has failed before a cancellation can arrive. A
            // cancellation therefore stops nothing, which is not an error.
            (None, Some(urls)) if urls.iter().all(Value::is_string) => {
                CommandOutcome::without_body(200)
            }
            _ => CommandOutcome::without_body(400),
        }
    }

    /// Executes a trigger as far as possible and creates its status resource.
    fn create(
        &mut self,
        command: &Command,
        properties: &Map<String, Value>,
        cdn_path: &[Value],
    ) -> CommandOutcome {
        let specification = match Specification::parse(properties) {
            Ok(specification) if !specification.is_empty() => specification,
            _ => return CommandOutcome::without_body(400),
        };
        self.remove_stale(command.now_s);
        if self.resources.len() >= self.max_resources {
            return CommandOutcome::without_body(503);
        }
        if specification.trigger_type == TriggerType::Unknown {
            return CommandOutcome::without_body(501);
        }
        let resource = StatusResource {
            specification: Value::Object(properties.clone()),
            created_s: command.now_s,
            error: error_description(&specification, properties, command.purge_capacity),
        };
        let effects = effects(command, specification, &resource.specification, cdn_path);
        let response = Response::payload(201, STATUS_PAYLOAD_TYPE, &resource.payload());
        let number = self.add(resource);
        CommandOutcome {
            response: response.with_header("Location", resource_url(command.identity, number)),
            effects,
        }
    }

    /// Returns the collection of all trigger status resources, or only of those with `status`.
    pub fn collection(&self, identity: &Identity, status: Option<TriggerStatus>) -> Response {
        let is_listed =
            |resource: &StatusResource| status.is_none_or(|status| status == resource.status());
        let urls: Vec<String> = self
            .resources
            .iter()
            .filter(|(_, resource)| is_listed(resource))
            .map(|(number, _)| resource_url(identity, *number))
            .collect();
        let base_url = collection_url(identity);
        let payload = json!({
            "triggers": urls,
            "staleresourcetime": STALE_RESOURCE_TIME_S,
            "cdn-id": identity.provider,
            "coll-all": base_url,
            "coll-complete": format!("{base_url}/{}", TriggerStatus::Complete.name()),
            "coll-failed": format!("{base_url}/{}", TriggerStatus::Failed.name()),
        });
        Response::payload(200, COLLECTION_PAYLOAD_TYPE, &payload)
    }

    /// Returns the trigger status resource with this number, or the collection of those with the
    /// status of this name.
    pub fn status(&self, identity: &Identity, name: &str) -> Response {
        if let Some(status) = TriggerStatus::from_name(name) {
            return self.collection(identity, Some(status));
        }
        let resource = name
            .parse::<u64>()
            .ok()
            .and_then(|number| self.resources.get(&number));
        match resource {
            Some(resource) => Response::payload(200, STATUS_PAYLOAD_TYPE, &resource.payload()),
            None => Response::without_body(404),
        }
    }

    /// Deletes the trigger status resource with this number.
    pub fn delete(&mut self, name: &str) -> Response {
        let removed = name
            .parse::<u64>()
            .ok()
            .and_then(|number| self.resources.remove(&number));
        match removed {
            Some(_) => Response::without_body(204),
            None => Response::without_body(404),
        }
    }

    fn remove_stale(&mut self, now_s: u64) {
        self.resources
            .retain(|_, resource| resource.created_s + STALE_RESOURCE_TIME_S >= now_s);
    }

    fn add(&mut self, resource: StatusResource) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.resources.insert(number, resource);
        number
    }
}

fn collection_url(identity: &Identity) -> String {
    format!("{}/cdni/triggers", identity.base_url)
}

fn resource_url(identity: &Identity, number: u64) -> String {
    format!("{}/{number}", collection_url(identity))
}

/// Returns an error description for the part of a trigger that cannot be executed, or `None` if all
/// of it can be executed.
fn error_description(
    specification: &Specification,
    properties: &Map<String, Value>,
    purge_capacity: usize,
) -> Option<Value> {
    if specification.trigger_type == TriggerType::Preposition {
        let reason = "content is fetched when it is asked for";
        return Some(rejection_description(selectors(properties), reason));
    }
    if specification.purges.len() > purge_capacity {
        return Some(rejection_description(
            selectors(properties),
            "too many purges are held",
        ));
    }
    if !specification.unsupported.is_empty() {
        let reason = "only content named by its URL or its collection can be purged";
        return Some(rejection_description(
            specification.unsupported.clone(),
            reason,
        ));
    }
    None
}

/// Returns an error description for these selectors (RFC 8007, section 5.2.6).
fn rejection_description(mut selectors: Map<String, Value>, reason: &str) -> Value {
    selectors.insert("error".to_owned(), REJECTED_ERROR_CODE.into());
    selectors.insert("description".to_owned(), reason.into());
    Value::Object(selectors)
}

/// Returns the effects of a trigger: the purges that can be executed, even if others of the trigger
/// cannot, and the commands that forward the trigger to peer CDNs.
fn effects(
    command: &Command,
    specification: Specification,
    properties: &Value,
    cdn_path: &[Value],
) -> Vec<Effect> {
    let is_preposition = specification.trigger_type == TriggerType::Preposition;
    if is_preposition || specification.purges.len() > command.purge_capacity {
        return Vec::new();
    }
    let purges = specification.purges.into_iter().map(Effect::Purge);
    let notifications = propagate(command.identity, properties, cdn_path)
        .into_iter()
        .map(Effect::Notify);
    purges.chain(notifications).collect()
}
