//! Control Interface / Triggers (RFC 8007): commands of a uCDN, and our own for peers.
//!
//! A command to purge takes effect before its response is written, so every trigger is complete or
//! has failed as soon as its status resource exists.
//!
//! - `resources`: executes commands and keeps the trigger status resources.
//! - `specification`: which purges a trigger specification stands for.
//! - `propagation`: purge commands for peers.

mod propagation;
mod resources;
mod specification;

pub(super) use propagation::purge_commands;
pub(super) use resources::{Command, TriggerResources};
