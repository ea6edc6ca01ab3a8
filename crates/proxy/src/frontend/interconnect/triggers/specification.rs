//! Trigger specifications (RFC 8007, section 5.2.1): what a command is to be carried out on.

use crate::frontend::interconnect::ContentPath;
use serde_json::{Map, Value};

/// The property that holds the trigger type; all others select content.
const TYPE: &str = "type";
/// The selector of content by its URLs.
const CONTENT_URLS: &str = "content.urls";
/// The selector of content by its collections. A collection is a group here.
const CONTENT_COLLECTIONS: &str = "content.ccid";
/// Objects are in one of 256 groups.
const GROUPS: u64 = 256;

/// The trigger type (RFC 8007, section 5.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TriggerType {
    /// Content is to be fetched.
    Preposition,
    /// Content is to be deleted, or to be validated before it is used again. Copies are not
    /// validated here: they are purged, which is stricter.
    PurgeOrInvalidate,
    /// Not of the standard.
    Unknown,
}

/// What is purged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PurgeTarget {
    /// The object; none: a whole group.
    pub object: Option<String>,
    /// The group, if there is no object.
    pub group: u64,
}

/// The specification has not the form of the standard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MalformedSpecification;

/// What a trigger selects.
pub(super) struct Specification {
    pub trigger_type: TriggerType,
    /// The purges that the selectors stand for.
    pub purges: Vec<PurgeTarget>,
    /// What can't be selected here, by selector.
    pub unsupported: Map<String, Value>,
}

impl Specification {
    pub(super) fn read(properties: &Map<String, Value>) -> Result<Self, MalformedSpecification> {
        let mut specification = Specification {
            trigger_type: read_type(properties)?,
            purges: Vec::new(),
            unsupported: Map::new(),
        };
        for (selector, values) in properties {
            if selector != TYPE {
                let values = values.as_array().ok_or(MalformedSpecification)?;
                specification.add_selector(selector, values)?;
            }
        }
        Ok(specification)
    }

    /// Whether nothing at all is selected.
    pub(super) fn is_empty(&self) -> bool {
        self.purges.is_empty() && self.unsupported.is_empty()
    }

    fn add_selector(
        &mut self,
        selector: &str,
        values: &[Value],
    ) -> Result<(), MalformedSpecification> {
        let mut unsupported = Vec::new();
        for value in values {
            match purge_target(selector, value)? {
                Some(target) => self.purges.push(target),
                None => unsupported.push(value.clone()),
            }
        }
        if !unsupported.is_empty() {
            self.unsupported
                .insert(selector.to_owned(), unsupported.into());
        }
        Ok(())
    }
}

/// All selectors of a specification, as an error description lists them.
pub(super) fn selectors(properties: &Map<String, Value>) -> Map<String, Value> {
    let mut selectors = properties.clone();
    selectors.remove(TYPE);
    selectors
}

fn read_type(properties: &Map<String, Value>) -> Result<TriggerType, MalformedSpecification> {
    let name = properties.get(TYPE).and_then(Value::as_str);
    Ok(match name.ok_or(MalformedSpecification)? {
        "preposition" => TriggerType::Preposition,
        "purge" | "invalidate" => TriggerType::PurgeOrInvalidate,
        _ => TriggerType::Unknown,
    })
}

/// The purge that one value of a selector stands for; none if it can't be selected here.
fn purge_target(
    selector: &str,
    value: &Value,
) -> Result<Option<PurgeTarget>, MalformedSpecification> {
    let text = || value.as_str().ok_or(MalformedSpecification);
    Ok(match selector {
        CONTENT_URLS => object_target(text()?),
        CONTENT_COLLECTIONS => group_target(text()?),
        // Metadata is not held here, and objects are known by their keys alone, so that no pattern
        // can be matched against them.
        _ => None,
    })
}

fn object_target(url: &str) -> Option<PurgeTarget> {
    let content = ContentPath::read(url)?;
    Some(PurgeTarget {
        object: Some(content.object.to_owned()),
        group: 0,
    })
}

fn group_target(collection: &str) -> Option<PurgeTarget> {
    let group = collection.parse().ok().filter(|group| *group < GROUPS)?;
    Some(PurgeTarget {
        object: None,
        group,
    })
}
