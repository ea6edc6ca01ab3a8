//! The edge proxy: the decision module on real sockets. One thread, one epoll loop.
//!
//! `request_table` deals in requests, attempts and outcomes and drives the module; fronts and upstreams translate between
//! it and their wires; `net` owns sockets, buffers and timers; `daemon` ties them together.

pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod frontend;
pub mod limits;
pub mod net;
pub mod protocol;
pub mod request_table;
pub mod upstream;
