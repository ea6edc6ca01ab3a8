//! The memory of the process: what holds it, and what is refused when it runs out.
//!
//! - `byte_queue`: the blocks in which everything large is stored.
//! - `budget`: the bytes that are held, by kind.
//! - `policy`: every threshold and estimate, and the order in which the proxy refuses.

mod budget;
mod byte_queue;
mod policy;

pub use budget::{MemoryBudget, MemoryKind, MemoryShare, TableSizes};
pub use byte_queue::ByteQueue;
pub use policy::{budget_for_machine, ENDED_STREAM_BYTES, STALLED_READER_US};
