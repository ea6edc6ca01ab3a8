//! The one ordered structure that holds every timer.

use std::collections::BTreeMap;

/// Identifies a timer, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    due_at: u64,
    /// Keeps timers of one time in the order in which they were set.
    sequence: u64,
}

/// Timers by the time at which they come due, in microseconds. Timers of one time come due in the
/// order in which they were set.
pub struct TimerQueue<T> {
    timers: BTreeMap<TimerKey, T>,
    last_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            timers: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a timer. `event` is what [`pop_due`](Self::pop_due) gives once it has come due.
    pub fn set(&mut self, due_at: u64, event: T) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            due_at,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, event);
        key
    }

    /// Cancels a timer, unless it has come due.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// When the earliest timer comes due.
    pub fn next_due(&self) -> Option<u64> {
        self.timers.keys().next().map(|key| key.due_at)
    }

    /// Removes the earliest timer that has come due by `now`.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        let earliest = self.timers.first_entry()?;
        (earliest.key().due_at <= now).then(|| earliest.remove())
    }
}
