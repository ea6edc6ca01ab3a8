//! Converts the CGI parameters of a request to a [`ClientRequest`].
//!
//! A request with an invalid parameter is rejected. The value is neither replaced by a default nor
//! passed on unchecked. If a cache server received a field that it cannot parse, it would close the
//! connection, which would fail all other requests on it. The routing module learns from the
//! numbers in requests, which therefore have to be correct.

use crate::limits::Limits;
use crate::memory::ByteQueue;
use crate::request_table::ClientRequest;
use edge_routing::Micros;
use std::fmt;
use thiserror::Error;

/// SCRIPT_NAME of a health check.
const HEALTH_PATH: &str = "/_health";
/// Prefix of SCRIPT_NAME in a request for an object. The class name follows it.
const INVOKE_PREFIX: &str = "/invoke/";

/// Number of hexadecimal digits in a request id, an object key or the tag of a copy.
const IDENTIFIER_DIGITS: usize = 16;
/// Number of hexadecimal digits in an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;
/// Highest purge group. There are 256 purge groups, numbered from 0.
const MAX_PURGE_GROUP: u64 = 255;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// A CGI parameter that this frontend reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parameter {
    /// Path: `/_health`, or `/invoke/` followed by a class name.
    ScriptName,
    /// Length of the body in bytes.
    ContentLength,
    /// Unique id of the request, 16 hexadecimal digits.
    RequestId,
    /// Key of the requested object, 16 hexadecimal digits.
    ObjectKey,
    /// Time that the client waits for the complete answer, in milliseconds.
    TimeBudgetMs,
    /// Part of the object, counted from 0.
    Part,
    /// Purge group of the object, 0 to 255.
    Group,
    /// Size of the part in KB, possibly with a fraction.
    SizeKb,
    /// Idempotency key, 32 hexadecimal digits.
    IdempotencyKey,
    /// Tag of the copy that the client holds, 16 hexadecimal digits.
    ClientCopyTag,
}

impl Parameter {
    /// Returns the name on the wire. CGI represents a header such as `Request-Id` by the parameter
    /// `HTTP_REQUEST_ID` (RFC 3875, section 4.1.18).
    pub const fn name(self) -> &'static str {
        match self {
            Self::ScriptName => "SCRIPT_NAME",
            Self::ContentLength => "CONTENT_LENGTH",
            Self::RequestId => "HTTP_REQUEST_ID",
            Self::ObjectKey => "HTTP_RESOURCE_KEY",
            Self::TimeBudgetMs => "HTTP_BUDGET_MS",
            Self::Part => "HTTP_X_PIECE",
            Self::Group => "HTTP_X_LOT",
            Self::SizeKb => "HTTP_FOOTPRINT_KB",
            Self::IdempotencyKey => "HTTP_ONCE_KEY",
            Self::ClientCopyTag => "HTTP_X_VER",
        }
    }
}

impl fmt::Display for Parameter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Error for a request that is rejected because of a parameter. The text names the parameter and
/// what was expected of it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidParameter {
    /// A required parameter is absent or empty.
    #[error("{0} is missing or empty")]
    Missing(Parameter),
    /// The value is not a hexadecimal identifier of the expected length.
    #[error("{parameter} must be {digits} hexadecimal digits")]
    NotHexadecimal {
        /// The invalid parameter.
        parameter: Parameter,
        /// Expected number of digits.
        digits: usize,
    },
    /// The value is not a whole number in decimal digits, or is outside of its range.
    #[error("{parameter} must be a whole number from {min} to {max}")]
    OutOfRange {
        /// The invalid parameter.
        parameter: Parameter,
        /// Smallest allowed number.
        min: u64,
        /// Largest allowed number.
        max: u64,
    },
    /// The value is not a size, or is outside of its range.
    #[error("{} must be a number of KB from 0 to {max_kb}", Parameter::SizeKb)]
    InvalidSize {
        /// Largest allowed size in KB.
        max_kb: f64,
    },
    /// The length of the body differs from the announced length.
    #[error(
        "{} is {announced_bytes}, but the body has {received_bytes} bytes",
        Parameter::ContentLength
    )]
    BodyLengthMismatch {
        /// Announced length of the body.
        announced_bytes: u64,
        /// Received length of the body.
        received_bytes: usize,
    },
    /// The path does not contain a valid class name.
    #[error(
        "{} must be {} followed by a class name (letters, digits, '-' and '_')",
        Parameter::ScriptName,
        INVOKE_PREFIX
    )]
    InvalidPath,
}

/// The endpoint that a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// Health check, which asks whether the proxy is ready.
    HealthCheck,
    /// Request for an object of the class that the path names.
    Invoke,
    /// No endpoint of this proxy.
    Unknown,
}

/// The CGI parameters of a request, as pairs of a name and a value.
pub(super) struct Parameters(Vec<(String, String)>);

impl Parameters {
    pub(super) fn new(pairs: Vec<(String, String)>) -> Self {
        Parameters(pairs)
    }

    /// Returns the endpoint that the path of the request names.
    pub(super) fn endpoint(&self) -> Endpoint {
        match self.get(Parameter::ScriptName).unwrap_or("") {
            HEALTH_PATH => Endpoint::HealthCheck,
            path if path.starts_with(INVOKE_PREFIX) => Endpoint::Invoke,
            _ => Endpoint::Unknown,
        }
    }

    /// Returns the request that the parameters and the body describe.
    ///
    /// # Errors
    ///
    /// Returns an error for the first parameter that is invalid or missing.
    pub(super) fn build_client_request(
        &self,
        body: ByteQueue,
        limits: &Limits,
    ) -> Result<ClientRequest, InvalidParameter> {
        self.check_content_length(body.len())?;
        Ok(ClientRequest {
            id: self.required_identifier(Parameter::RequestId)?,
            class: self.class()?.to_owned(),
            object: self.required_identifier(Parameter::ObjectKey)?,
            part: self
                .number(Parameter::Part, 0, limits.max_part_number)?
                .unwrap_or(0),
            purge_group: self
                .number(Parameter::Group, 0, MAX_PURGE_GROUP)?
                .unwrap_or(0),
            size_kb: self.size_kb(limits.max_part_size_kb)?,
            remaining_us: self.remaining_us(limits)?,
            idempotency_key: self.hexadecimal(Parameter::IdempotencyKey, IDEMPOTENCY_KEY_DIGITS)?,
            client_copy_tag: self.hexadecimal(Parameter::ClientCopyTag, IDENTIFIER_DIGITS)?,
            body,
        })
    }

    /// Returns the value of the first parameter with this name, or `None` if it is absent or empty.
    fn get(&self, parameter: Parameter) -> Option<&str> {
        let (_, value) = self.0.iter().find(|(name, _)| name == parameter.name())?;
        Some(value.as_str()).filter(|value| !value.is_empty())
    }

    fn hexadecimal(
        &self,
        parameter: Parameter,
        digits: usize,
    ) -> Result<Option<String>, InvalidParameter> {
        match self.get(parameter) {
            Some(value) if !is_hexadecimal(value, digits) => {
                Err(InvalidParameter::NotHexadecimal { parameter, digits })
            }
            value => Ok(value.map(str::to_owned)),
        }
    }

    fn required_identifier(&self, parameter: Parameter) -> Result<String, InvalidParameter> {
        self.hexadecimal(parameter, IDENTIFIER_DIGITS)?
            .ok_or(InvalidParameter::Missing(parameter))
    }

    /// Returns the value of a numeric parameter, or `None` if it is absent or empty. The number may
    /// consist only of decimal digits, although `str::parse` also accepts a sign.
    fn number(
        &self,
        parameter: Parameter,
        min: u64,
        max: u64,
    ) -> Result<Option<u64>, InvalidParameter> {
        let Some(value) = self.get(parameter) else {
            return Ok(None);
        };
        let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
        match value.parse() {
            Ok(number) if is_decimal && (min..=max).contains(&number) => Ok(Some(number)),
            _ => Err(InvalidParameter::OutOfRange {
                parameter,
                min,
                max,
            }),
        }
    }

    fn class(&self) -> Result<&str, InvalidParameter> {
        let path = self.get(Parameter::ScriptName);
        path.and_then(|path| path.strip_prefix(INVOKE_PREFIX))
            .filter(|class| is_class_name(class))
            .ok_or(InvalidParameter::InvalidPath)
    }

    fn size_kb(&self, max_kb: f64) -> Result<f64, InvalidParameter> {
        let Some(value) = self.get(Parameter::SizeKb) else {
            return Ok(0.0);
        };
        match value.parse::<f64>() {
            Ok(size_kb) if size_kb >= 0.0 && size_kb <= max_kb => Ok(size_kb),
            _ => Err(InvalidParameter::InvalidSize { max_kb }),
        }
    }

    fn remaining_us(&self, limits: &Limits) -> Result<Micros, InvalidParameter> {
        let max_ms = limits.max_client_timeout_us / MICROS_PER_MILLISECOND;
        let budget_ms = self
            .number(Parameter::TimeBudgetMs, 1, max_ms)?
            .ok_or(InvalidParameter::Missing(Parameter::TimeBudgetMs))?;
        Ok(budget_ms * MICROS_PER_MILLISECOND)
    }

    fn check_content_length(&self, received_bytes: usize) -> Result<(), InvalidParameter> {
        match self.number(Parameter::ContentLength, 0, u64::MAX)? {
            Some(announced_bytes) if announced_bytes != received_bytes as u64 => {
                Err(InvalidParameter::BodyLengthMismatch {
                    announced_bytes,
                    received_bytes,
                })
            }
            _ => Ok(()),
        }
    }
}

/// Returns whether a text consists of exactly `digits` hexadecimal digits.
fn is_hexadecimal(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn is_class_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}
