//! Sockets without a runtime: epoll, connections, buffers, numbered slots, deadlines and the clock.

mod clock;
mod connection;
mod poll;
mod ring_buffer;
mod slots;
mod timer_queue;

pub use clock::Clock;
pub use connection::{connect, Conn, Progress};
pub use poll::{Poll, Ready};
pub use ring_buffer::Ring;
pub use slots::{Key, Slots};
pub use timer_queue::{Deadlines, Due};
