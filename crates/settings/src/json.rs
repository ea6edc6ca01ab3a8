//! What the JSON documents of this workspace have in common: numbers that may be written with a
//! point, objects that must be objects, and errors that name the key at fault.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, IgnoredAny, MapAccess, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::fmt;
use std::marker::PhantomData;

/// A JSON value that cannot be read as what the program expects.
#[derive(Debug, thiserror::Error)]
#[error("{}{source}", field_prefix(path))]
pub struct ReadError {
    /// Path of the key at fault, such as `categories[0].aim-us`; `.` is the document itself. Where
    /// a key is missing, this is the object that lacks it, and `source` names the key.
    pub path: String,
    /// What is wrong with it.
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

/// Reads a JSON value.
pub fn read<'de, T: Deserialize<'de>>(value: &'de Value) -> Result<T, ReadError> {
    // Keeping track of the path costs time, so it is done for values with an error only.
    T::deserialize(value).or_else(|_| Ok(serde_path_to_error::deserialize(value)?))
}

/// A number from 0 that counts whole units. `300000.0` is read as 300000, a fraction is dropped,
/// and what exceeds 64 bits becomes the largest number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WholeNumber(pub u64);

impl WholeNumber {
    /// The number that a value with a fraction stands for; none where it is negative or not finite.
    pub fn from_f64(value: f64) -> Option<Self> {
        (value >= 0.0 && value.is_finite()).then_some(WholeNumber(value as u64))
    }

    /// The number that a field holds, or the default of a field that is absent or null.
    pub fn or(field: Option<Self>, default: u64) -> u64 {
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
        formatter.write_str("a whole number from 0")
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

/// A struct that is read from a JSON object only. By itself, `serde` also reads a struct from a
/// list of its fields.
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

/// A value that need not be of the expected type, because it may never be used.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Tolerant<T> {
    /// It is of the expected type.
    Valid(T),
    /// It is of another type.
    Invalid(IgnoredAny),
}

impl<T> Tolerant<T> {
    /// The value, where it is of the expected type.
    pub fn valid(self) -> Option<T> {
        match self {
            Tolerant::Valid(value) => Some(value),
            Tolerant::Invalid(_) => None,
        }
    }

    /// The value, where it is of the expected type.
    pub fn as_valid(&self) -> Option<&T> {
        match self {
            Tolerant::Valid(value) => Some(value),
            Tolerant::Invalid(_) => None,
        }
    }
}

/// Reads a JSON text.
pub fn read_str<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, ReadError> {
    // As in `read`, the path is kept track of for texts with an error only.
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
