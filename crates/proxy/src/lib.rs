//! The edge proxy. It carries out the routing decisions of `edge-routing` on real sockets, in a
//! single thread with one epoll loop.
//!
//! - `event_loop` owns the sockets and timers and connects all other modules.
//! - `request_table` holds the pending requests and their attempts, and calls the routing module.
//! - `frontend` and `upstream` translate between the request table and the protocols of clients and
//!   cache servers.
//! - `discovery` reads the endpoint list and purges.
//! - `protocol` contains the codecs.
//! - `net` contains buffered sockets and timers, and `sys` wraps the system calls.
//! - `config` reads the configuration.
//! - `memory` accounts for the bytes that are held, and holds what is large.
//! - `limits` defines the sizes, counts and times that bound the proxy.
//! - `invariants` counts the invariant checks and their violations.

pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod invariants;
pub mod limits;
pub mod memory;
pub mod net;
pub mod program;
pub mod protocol;
pub mod request_table;
pub mod sys;
pub mod upstream;
