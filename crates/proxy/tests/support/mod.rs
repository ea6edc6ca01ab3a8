//! What the tests of the proxy share.
#![allow(dead_code, unused_imports)]

pub mod fixture;
pub mod parsing;
