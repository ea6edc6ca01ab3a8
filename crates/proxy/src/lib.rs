//! The edge proxy: the routing decisions of `edge-routing` on real sockets, in one thread with one
//! epoll loop.
//!
//! - `event_loop` owns the sockets and timers and connects all other modules.
//! - `request_table` holds the open requests and their attempts, and drives the routing decisions.
//! - `frontend` and `upstream` translate between the request table and the protocols of clients
//!   and cache servers.
//! - `discovery` reads the endpoint list and the purges.
//! - `protocol` holds the codecs, `net` sockets, buffers and timers, `sys` the system calls.
//! - `config` reads the configuration, `limits` derives every bound from it.
//! - `invariants` counts what must hold at every step, and the violations.

pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod invariants;
pub mod limits;
pub mod net;
pub mod program;
pub mod protocol;
pub mod request_table;
pub mod sys;
pub mod upstream;
