//! Control Interface / Triggers (RFC 8007): commands from uCDNs, and commands to peer CDNs.
//!
//! A purge command takes effect before its response is written. Therefore every trigger is complete
//! or has failed as soon as its status resource exists.
//!
//! - `resources`: executes commands and keeps the trigger status resources.
//! - `specification`: the purges that a trigger specification requests.
//! - `propagation`: purge commands for peer CDNs.

mod propagation;
mod resources;
mod specification;

pub(super) use propagation::purge_commands;
pub(super) use resources::{Command, TriggerResources};
