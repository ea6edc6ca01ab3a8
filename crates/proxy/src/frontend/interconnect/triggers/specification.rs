//! Trigger specifications (RFC 8007, section 5.2.1): the content that a command applies to.

use crate::frontend::interconnect::ContentPath;
use crate::request_table::PurgeTarget;
use serde_json::{Map, Value};

/// Name of the property with the trigger type. All other properties select content.
const TYPE_PROPERTY: &str = "type";
/// Selector whose values are URLs of content.
const URL_SELECTOR: &str = "content.urls";
/// Selector whose values are ids of collections. In this CDN, the id of a collection is the number
/// of a purge group.
const COLLECTION_SELECTOR: &str = "content.ccid";
/// Number of purge groups. Every object is in one of them.
const PURGE_GROUP_COUNT: u64 = 256;

/// The trigger type (RFC 8007, section 5.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TriggerType {
    /// Fetch the content in advance.
    Preposition,
    /// Purge: delete the content. Invalidate: validate the content before it is used again. This
    /// CDN does not validate copies. It purges them instead, which is stricter.
    PurgeOrInvalidate,
    /// A type that RFC 8007 does not define.
    Unknown,
}

/// Error for a trigger specification that does not have the form that RFC 8007 requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MalformedSpecification;

/// The type of a trigger and the content that it selects.
pub(super) struct Specification {
    pub trigger_type: TriggerType,
    /// Targets that the selectors select.
    pub purges: Vec<PurgeTarget>,
    /// Selector values that this CDN does not support, keyed by selector.
    pub unsupported: Map<String, Value>,
}

impl Specification {
    /// Parses the properties of a trigger specification. All properties other than the type are
    /// selectors with a list of values.
    pub(super) fn parse(properties: &Map<String, Value>) -> Result<Self, MalformedSpecification> {
        let mut specification = Specification {
            trigger_type: parse_type(properties)?,
            purges: Vec::new(),
            unsupported: Map::new(),
        };
        for (selector, values) in properties {
            if selector != TYPE_PROPERTY {
                let values = values.as_array().ok_or(MalformedSpecification)?;
                specification.add_selector(selector, values)?;
            }
        }
        Ok(specification)
    }

    /// Returns whether the trigger selects nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.purges.is_empty() && self.unsupported.is_empty()
    }

    /// Adds the purge targets that the values of a selector select, and the values that this CDN
    /// does not support.
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

/// Returns all properties of a specification except the type, which are its selectors. An error
/// description lists the selectors in this form.
pub(super) fn selectors(properties: &Map<String, Value>) -> Map<String, Value> {
    let mut selectors = properties.clone();
    selectors.remove(TYPE_PROPERTY);
    selectors
}

fn parse_type(properties: &Map<String, Value>) -> Result<TriggerType, MalformedSpecification> {
    let name = properties.get(TYPE_PROPERTY).and_then(Value::as_str);
    Ok(match name.ok_or(MalformedSpecification)? {
        "preposition" => TriggerType::Preposition,
        "purge" | "invalidate" => TriggerType::PurgeOrInvalidate,
        _ => TriggerType::Unknown,
    })
}

/// Returns the purge target that a value of a selector selects, or `None` if this CDN does not
/// support the selector or the value.
fn purge_target(
    selector: &str,
    value: &Value,
) -> Result<Option<PurgeTarget>, MalformedSpecification> {
    let text = || value.as_str().ok_or(MalformedSpecification);
    Ok(match selector {
        URL_SELECTOR => object_purge_target(text()?),
        COLLECTION_SELECTOR => group_purge_target(text()?),
        // The other selectors select metadata or content whose URL matches a pattern. This CDN does
        // not store metadata, and cannot match patterns because it knows objects only by their
        // keys.
        _ => None,
    })
}

fn object_purge_target(url: &str) -> Option<PurgeTarget> {
    let content = ContentPath::parse(url)?;
    Some(PurgeTarget::Object(content.object.to_owned()))
}

fn group_purge_target(collection: &str) -> Option<PurgeTarget> {
    let purge_group = collection
        .parse()
        .ok()
        .filter(|purge_group| *purge_group < PURGE_GROUP_COUNT)?;
    Some(PurgeTarget::Group(purge_group))
}
