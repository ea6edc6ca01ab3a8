//! Networking without an async runtime: epoll, buffered sockets, a table with generational keys,
//! timers and a monotonic clock.

mod clock;
mod connection;
mod poll;
mod ring_buffer;
mod slab;
mod timer_queue;

pub use clock::Clock;
pub use connection::{connect, BufferedSocket, IoProgress};
pub use poll::{Interest, Poller, Readiness};
pub use ring_buffer::RingBuffer;
pub use slab::{Slab, SlabKey};
pub use timer_queue::{TimerKey, TimerQueue};
