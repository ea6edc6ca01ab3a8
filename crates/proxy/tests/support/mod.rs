//! What the tests of the proxy share.

pub mod parsing;
