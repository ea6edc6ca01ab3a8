//! Sockets without a runtime: epoll, connections, buffers, numbered slots, timers and the clock.

mod clock;
mod connection;
mod poll;
mod ring_buffer;
mod slots;
mod timer_queue;

pub use clock::Clock;
pub use connection::{connect, BufferedSocket, IoProgress};
pub use poll::{Poller, Readiness};
pub use ring_buffer::RingBuffer;
pub use slots::{Slab, SlabKey};
pub use timer_queue::{TimerKey, TimerQueue};
