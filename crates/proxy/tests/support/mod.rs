//! Helpers shared by the integration tests of the proxy.

pub mod parsing;
