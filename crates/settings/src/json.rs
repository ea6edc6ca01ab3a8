//! Helpers for reading JSON documents: integers that may be written as floating-point numbers,
//! structs that are read from JSON objects only, and errors that name the invalid key.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, IgnoredAny, MapAccess, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::fmt;
use std::marker::PhantomData;

/// The error for a JSON value that does not have the expected form.
#[derive(Debug, thiserror::Error)]
#[error("{}{source}", field_prefix(path))]
pub struct ReadError {
    /// Path of the invalid value, such as `categories[0].aim-us`, or `.` for the whole document. If
    /// a key is missing, this is the path of the object that lacks it, and `source` names the key.
    pub path: String,
    /// Why the value is invalid.
    pub source: serde_json::Error,
}

fn field_prefix(path: &str) -> String {
    match path {
        "." => String::new(),
        path => format!("field '{path}': "),
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for ReadError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        ReadError {
            path: error.path().to_string(),
            source: error.into_inner(),
        }
    }
}

/// Reads a JSON value. An error names the path of the invalid value.
pub fn read<'de, T: Deserialize<'de>>(value: &'de Value) -> Result<T, ReadError> {
    // Tracking the path costs time, so only a value that failed to parse is read again with it.
    T::deserialize(value).or_else(|_| Ok(serde_path_to_error::deserialize(value)?))
}

/// A non-negative integer, which may be written as a floating-point number such as `300000.0`.
/// Reading drops the fraction, and reads any number over [`u64::MAX`] as [`u64::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WholeNumber(pub u64);

impl WholeNumber {
    /// Converts a floating-point number. Returns None if it is negative or not finite.
    pub fn from_f64(value: f64) -> Option<Self> {
        (value >= 0.0 && value.is_finite()).then_some(WholeNumber(value as u64))
    }

    /// Returns the number in a field, or the default if the field is absent or null.
    pub fn value_or(field: Option<Self>, default: u64) -> u64 {
        field.map_or(default, |number| number.0)
    }
}

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WholeNumberVisitor)
    }
}

struct WholeNumberVisitor;

impl Visitor<'_> for WholeNumberVisitor {
    type Value = WholeNumber;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a non-negative whole number")
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<WholeNumber, E> {
        Ok(WholeNumber(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<WholeNumber, E> {
        u64::try_from(value)
            .map(WholeNumber)
            .map_err(|_| E::invalid_value(Unexpected::Signed(value), &self))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<WholeNumber, E> {
        WholeNumber::from_f64(value)
            .ok_or_else(|| E::invalid_value(Unexpected::Float(value), &self))
    }
}

/// A struct that is read from a JSON object only. Without this wrapper, `serde` also reads a struct
/// from an array of its field values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}

/// A value that is read without an error even if it has the wrong type, because it may never be
/// used.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Tolerant<T> {
    /// A value of the expected type.
    Valid(T),
    /// A value of any other type, whose content is discarded.
    Invalid(IgnoredAny),
}

impl<T> Tolerant<T> {
    /// Returns the value, or None if it has the wrong type.
    pub fn into_valid(self) -> Option<T> {
        match self {
            Tolerant::Valid(value) => Some(value),
            Tolerant::Invalid(_) => None,
        }
    }

    /// Returns a reference to the value, or None if it has the wrong type.
    pub fn as_valid(&self) -> Option<&T> {
        match self {
            Tolerant::Valid(value) => Some(value),
            Tolerant::Invalid(_) => None,
        }
    }
}

/// Reads a JSON text. An error names the path of the invalid value.
pub fn read_str<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, ReadError> {
    // As in `read`, only a text that failed to parse is read again with its path tracked.
    serde_json::from_str(text).or_else(|_| {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let value = serde_path_to_error::deserialize(&mut deserializer)?;
        deserializer.end().map_err(|source| ReadError {
            path: ".".to_owned(),
            source,
        })?;
        Ok(value)
    })
}
