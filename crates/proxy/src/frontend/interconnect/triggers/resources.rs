//! Executes trigger commands and keeps the trigger status resources (RFC 8007, sections 4 and 5.1).

use super::propagation::propagate;
use super::specification::{selectors, Specification, TriggerType};
use crate::frontend::interconnect::{Effect, Identity, Response};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The type of a trigger status resource payload (RFC 8007, section 5.1.2).
const STATUS_PTYPE: &str = "ci-trigger-status";
/// The type of a trigger collection payload (RFC 8007, section 5.1.3).
const COLLECTION_PTYPE: &str = "ci-trigger-collection";
/// The error code of a command that this network is not willing to carry out (RFC 8007, section
/// 5.2.7).
const REJECTED: &str = "ereject";
/// Seconds after which the status resource of a trigger that is over may be removed (RFC 8007,
/// section 4.5).
const STALE_RESOURCE_TIME_S: u64 = 3600;

/// A trigger command, and what its execution depends on.
pub struct Command<'a> {
    /// This network and its peers.
    pub identity: &'a Identity,
    /// Unix time in seconds.
    pub now_s: u64,
    /// How many more purges can be remembered.
    pub purge_capacity: usize,
    /// The payload (RFC 8007, section 5.1.1).
    pub payload: &'a Value,
}

/// What a command leads to.
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

    fn bare(status: u16) -> Self {
        Self::without_effects(Response::bare(status))
    }
}

/// The trigger status (RFC 8007, section 5.2.3), as far as triggers have it here.
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

    /// The status by its name, which is also that of the collection of its triggers.
    fn from_name(name: &str) -> Option<Self> {
        [Self::Complete, Self::Failed]
            .into_iter()
            .find(|status| status.name() == name)
    }
}

/// A trigger status resource.
struct Resource {
    specification: Value,
    created_s: u64,
    /// The error description (RFC 8007, section 5.2.6); none: the trigger is complete.
    error: Option<Value>,
}

impl Resource {
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

/// The trigger status resources, by their numbers.
pub struct TriggerResources {
    resources: BTreeMap<u64, Resource>,
    next_number: u64,
    limit: usize,
}

impl TriggerResources {
    pub fn new(limit: usize) -> Self {
        TriggerResources {
            resources: BTreeMap::new(),
            next_number: 1,
            limit,
        }
    }

    /// Executes a command.
    pub fn execute(&mut self, command: Command) -> CommandOutcome {
        let payload = command.payload;
        let Some(cdn_path) = payload["cdn-path"].as_array() else {
            return CommandOutcome::bare(400);
        };
        if command.identity.is_loop(cdn_path) {
            return CommandOutcome::bare(403);
        }
        match (payload["trigger"].as_object(), payload["cancel"].as_array()) {
            (Some(properties), None) => self.create(&command, properties, cdn_path),
            // All triggers are over before a cancellation can come: there is nothing to stop, which
            // is no error.
            (None, Some(urls)) if urls.iter().all(Value::is_string) => CommandOutcome::bare(200),
            _ => CommandOutcome::bare(400),
        }
    }

    /// Carries a trigger out as far as possible and creates its status resource.
    fn create(
        &mut self,
        command: &Command,
        properties: &Map<String, Value>,
        cdn_path: &[Value],
    ) -> CommandOutcome {
        let specification = match Specification::read(properties) {
            Ok(specification) if !specification.is_empty() => specification,
            _ => return CommandOutcome::bare(400),
        };
        self.remove_stale(command.now_s);
        if self.resources.len() >= self.limit {
            return CommandOutcome::bare(503);
        }
        if specification.trigger_type == TriggerType::Unknown {
            return CommandOutcome::bare(501);
        }
        let resource = Resource {
            specification: Value::Object(properties.clone()),
            created_s: command.now_s,
            error: error_description(&specification, properties, command.purge_capacity),
        };
        let effects = effects(command, specification, &resource.specification, cdn_path);
        let response = Response::payload(201, STATUS_PTYPE, &resource.payload());
        let number = self.add(resource);
        CommandOutcome {
            response: response.with_header("Location", resource_url(command.identity, number)),
            effects,
        }
    }

    /// The collection of all trigger status resources, or of those of a status.
    pub fn collection(&self, identity: &Identity, status: Option<TriggerStatus>) -> Response {
        let is_listed =
            |resource: &Resource| status.is_none_or(|status| status == resource.status());
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
        Response::payload(200, COLLECTION_PTYPE, &payload)
    }

    /// A trigger status resource by its number, or the collection of those of a status by its name.
    pub fn status(&self, identity: &Identity, name: &str) -> Response {
        if let Some(status) = TriggerStatus::from_name(name) {
            return self.collection(identity, Some(status));
        }
        let resource = name
            .parse::<u64>()
            .ok()
            .and_then(|number| self.resources.get(&number));
        match resource {
            Some(resource) => Response::payload(200, STATUS_PTYPE, &resource.payload()),
            None => Response::bare(404),
        }
    }

    /// Deletes a trigger status resource by its number.
    pub fn delete(&mut self, name: &str) -> Response {
        let removed = name
            .parse::<u64>()
            .ok()
            .and_then(|number| self.resources.remove(&number));
        match removed {
            Some(_) => Response::bare(204),
            None => Response::bare(404),
        }
    }

    fn remove_stale(&mut self, now_s: u64) {
        self.resources
            .retain(|_, resource| resource.created_s + STALE_RESOURCE_TIME_S >= now_s);
    }

    fn add(&mut self, resource: Resource) -> u64 {
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

/// What of a trigger can't be carried out, and why; none if all of it can.
fn error_description(
    specification: &Specification,
    properties: &Map<String, Value>,
    purge_capacity: usize,
) -> Option<Value> {
    if specification.trigger_type == TriggerType::Preposition {
        let reason = "content is fetched when it is asked for";
        return Some(rejection(selectors(properties), reason));
    }
    if specification.purges.len() > purge_capacity {
        return Some(rejection(selectors(properties), "too many purges are held"));
    }
    if !specification.unsupported.is_empty() {
        let reason = "only content named by its URL or its collection can be purged";
        return Some(rejection(specification.unsupported.clone(), reason));
    }
    None
}

/// An error description for some selectors (RFC 8007, section 5.2.6).
fn rejection(mut selectors: Map<String, Value>, reason: &str) -> Value {
    selectors.insert("error".to_owned(), REJECTED.into());
    selectors.insert("description".to_owned(), reason.into());
    Value::Object(selectors)
}

/// The purges that can be carried out, also if others can't, and the commands that pass the trigger
/// on to peers.
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
    let purges = specification
        .purges
        .into_iter()
        .map(|target| Effect::Purge(target.object, target.group));
    let notifications = propagate(command.identity, properties, cdn_path)
        .into_iter()
        .map(Effect::Notify);
    purges.chain(notifications).collect()
}
