//! Reads the CGI parameters of a request into a [`ClientRequest`].
//!
//! Nothing in a request may be guessed or passed on unread: a cache server closes a connection on
//! fields that it can't read, with all other requests open on it, and the routing module learns
//! from the figures. So a request with an unusable parameter is rejected.

use crate::limits::Limits;
use crate::request_table::ClientRequest;
use edge_routing::Micros;
use std::fmt;
use thiserror::Error;

/// The path of a health check, in SCRIPT_NAME.
const HEALTH_PATH: &str = "/_health";
/// What the path of a request begins with, in SCRIPT_NAME; the name of its class follows.
const INVOKE_PREFIX: &str = "/invoke/";

/// Digits of a request id, of a resource key and of the tag of a copy.
const ID_DIGITS: usize = 16;
/// Digits of an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;
/// Objects are in one of 256 groups.
const MAXIMUM_GROUP: u64 = 255;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// A CGI parameter that this front reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parameter {
    /// The path: `/_health`, or `/invoke/` and the name of a class.
    ScriptName,
    /// Bytes of the body.
    ContentLength,
    /// The request's id, new with every request: 16 hexadecimal digits.
    RequestId,
    /// The object: 16 hexadecimal digits.
    ResourceKey,
    /// How long the client waits for the whole answer, in milliseconds.
    BudgetMs,
    /// The part of the object, from 0.
    Piece,
    /// The group of the object, 0 to 255.
    Lot,
    /// The size of the part in KB; may have a fraction.
    FootprintKb,
    /// The idempotency key: 32 hexadecimal digits.
    OnceKey,
    /// The tag of the copy that the client holds: 16 hexadecimal digits.
    Version,
}

impl Parameter {
    /// The name on the wire. CGI names the header `Request-Id` `HTTP_REQUEST_ID` (RFC 3875, section
    /// 4.1.18).
    pub const fn name(self) -> &'static str {
        match self {
            Self::ScriptName => "SCRIPT_NAME",
            Self::ContentLength => "CONTENT_LENGTH",
            Self::RequestId => "HTTP_REQUEST_ID",
            Self::ResourceKey => "HTTP_RESOURCE_KEY",
            Self::BudgetMs => "HTTP_BUDGET_MS",
            Self::Piece => "HTTP_X_PIECE",
            Self::Lot => "HTTP_X_LOT",
            Self::FootprintKb => "HTTP_FOOTPRINT_KB",
            Self::OnceKey => "HTTP_ONCE_KEY",
            Self::Version => "HTTP_X_VER",
        }
    }
}

impl fmt::Display for Parameter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a request can't be admitted: the parameter at fault, and what was expected of it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidParameter {
    /// A parameter that every request needs is absent or empty.
    #[error("{0} is missing")]
    Missing(Parameter),
    /// Not an identifier of the expected length.
    #[error("{parameter} must be {digits} hexadecimal digits")]
    NotHexadecimal {
        /// The parameter at fault.
        parameter: Parameter,
        /// How many digits were expected.
        digits: usize,
    },
    /// Not a whole number in decimal digits, or outside of its range.
    #[error("{parameter} must be a whole number from {minimum} to {maximum}")]
    NotInRange {
        /// The parameter at fault.
        parameter: Parameter,
        /// The least number allowed.
        minimum: u64,
        /// The greatest number allowed.
        maximum: u64,
    },
    /// Not a size, or outside of its range.
    #[error(
        "{} must be a number of KB from 0 to {maximum_kb}",
        Parameter::FootprintKb
    )]
    InvalidSize {
        /// The greatest size allowed, in KB.
        maximum_kb: f64,
    },
    /// The body is not as long as announced.
    #[error(
        "{} is {announced}, but the body has {received} bytes",
        Parameter::ContentLength
    )]
    BodyLengthMismatch {
        /// Bytes announced.
        announced: u64,
        /// Bytes received.
        received: usize,
    },
    /// The path names no class.
    #[error(
        "{} must be {} and the name of a class",
        Parameter::ScriptName,
        INVOKE_PREFIX
    )]
    InvalidPath,
}

/// What a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// The question whether the proxy is ready.
    HealthCheck,
    /// A request of a class.
    Invoke,
    /// Nothing that exists here.
    Unknown,
}

/// The CGI parameters of one request.
pub(super) struct Parameters(Vec<(String, String)>);

impl Parameters {
    pub(super) fn new(pairs: Vec<(String, String)>) -> Self {
        Parameters(pairs)
    }

    /// What the request's path names.
    pub(super) fn endpoint(&self) -> Endpoint {
        match self.get(Parameter::ScriptName).unwrap_or("") {
            HEALTH_PATH => Endpoint::HealthCheck,
            path if path.starts_with(INVOKE_PREFIX) => Endpoint::Invoke,
            _ => Endpoint::Unknown,
        }
    }

    /// The request that the parameters and the body make up, or the first fault in them.
    pub(super) fn client_request(
        &self,
        body: Vec<u8>,
        limits: &Limits,
    ) -> Result<ClientRequest, InvalidParameter> {
        self.check_content_length(body.len())?;
        Ok(ClientRequest {
            id: self.required_hexadecimal(Parameter::RequestId)?,
            class: self.class()?.to_owned(),
            object: self.required_hexadecimal(Parameter::ResourceKey)?,
            part: self
                .number(Parameter::Piece, 0, limits.max_part_number)?
                .unwrap_or(0),
            purge_group: self.number(Parameter::Lot, 0, MAXIMUM_GROUP)?.unwrap_or(0),
            size_kb: self.size_kb(limits.max_part_size_kb)?,
            remaining_us: self.remaining_us(limits)?,
            idempotency_key: self.hexadecimal(Parameter::OnceKey, IDEMPOTENCY_KEY_DIGITS)?,
            client_copy_tag: self.hexadecimal(Parameter::Version, ID_DIGITS)?,
            body,
        })
    }

    /// The value of a parameter, by the first pair of its name. An empty value counts as none.
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

    fn required_hexadecimal(&self, parameter: Parameter) -> Result<String, InvalidParameter> {
        self.hexadecimal(parameter, ID_DIGITS)?
            .ok_or(InvalidParameter::Missing(parameter))
    }

    /// A whole number in decimal digits alone: no sign, as `str::parse` would allow.
    fn number(
        &self,
        parameter: Parameter,
        minimum: u64,
        maximum: u64,
    ) -> Result<Option<u64>, InvalidParameter> {
        let Some(value) = self.get(parameter) else {
            return Ok(None);
        };
        let digits_only = value.bytes().all(|byte| byte.is_ascii_digit());
        match value.parse() {
            Ok(number) if digits_only && (minimum..=maximum).contains(&number) => Ok(Some(number)),
            _ => Err(InvalidParameter::NotInRange {
                parameter,
                minimum,
                maximum,
            }),
        }
    }

    fn class(&self) -> Result<&str, InvalidParameter> {
        let path = self.get(Parameter::ScriptName);
        path.and_then(|path| path.strip_prefix(INVOKE_PREFIX))
            .filter(|class| is_class_name(class))
            .ok_or(InvalidParameter::InvalidPath)
    }

    fn size_kb(&self, maximum_kb: f64) -> Result<f64, InvalidParameter> {
        let Some(value) = self.get(Parameter::FootprintKb) else {
            return Ok(0.0);
        };
        match value.parse::<f64>() {
            Ok(size_kb) if size_kb >= 0.0 && size_kb <= maximum_kb => Ok(size_kb),
            _ => Err(InvalidParameter::InvalidSize { maximum_kb }),
        }
    }

    fn remaining_us(&self, limits: &Limits) -> Result<Micros, InvalidParameter> {
        let maximum_ms = limits.max_client_timeout_us / MICROS_PER_MILLISECOND;
        let budget_ms = self
            .number(Parameter::BudgetMs, 1, maximum_ms)?
            .ok_or(InvalidParameter::Missing(Parameter::BudgetMs))?;
        Ok(budget_ms * MICROS_PER_MILLISECOND)
    }

    fn check_content_length(&self, received: usize) -> Result<(), InvalidParameter> {
        match self.number(Parameter::ContentLength, 0, u64::MAX)? {
            Some(announced) if announced != received as u64 => {
                Err(InvalidParameter::BodyLengthMismatch {
                    announced,
                    received,
                })
            }
            _ => Ok(()),
        }
    }
}

/// Whether a text is `digits` hexadecimal digits, as ids, keys and tags are.
fn is_hexadecimal(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn is_class_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}
