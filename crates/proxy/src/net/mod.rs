//! Networking without an async runtime: epoll, buffered sockets, a table with generational keys,
//! timers and a monotonic clock.

mod clock;
mod connection;
mod poll;
mod slab;
mod socket_buffer;
mod timer_queue;
mod write_stall;

pub use clock::Clock;
pub use connection::{connect, BufferedSocket, IoProgress};
pub use poll::{Interest, Poller, Readiness};
pub use slab::{Slab, SlabKey};
pub use socket_buffer::SocketBuffer;
pub use timer_queue::{TimerKey, TimerQueue};
pub use write_stall::WriteStall;
