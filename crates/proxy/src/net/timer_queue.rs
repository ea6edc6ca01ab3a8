//! A queue of timers, ordered by the time at which they are due. The event loop keeps all of its
//! timers in one queue.

use std::collections::BTreeMap;

/// Identifies a timer, for [`TimerQueue::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    due_at_us: u64,
    /// Orders timers that are due at the same time by when they were scheduled.
    sequence: u64,
}

/// Timers, each with an event that is returned once the timer is due. All times are microseconds on
/// the same clock. Timers that are due at the same time fire in the order in which they were
/// scheduled.
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
    /// Schedules a timer. [`pop_due`](Self::pop_due) returns `event` once the timer is due.
    pub fn schedule(&mut self, due_at_us: u64, event: T) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            due_at_us,
            sequence: self.last_sequence,
        };
        self.timers.insert(key, event);
        key
    }

    /// Returns the number of scheduled timers.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Returns whether no timer is scheduled.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Cancels a timer. Does nothing if the timer has fired.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// Returns when the earliest timer is due, or None if no timer is scheduled.
    pub fn next_due(&self) -> Option<u64> {
        self.timers.keys().next().map(|key| key.due_at_us)
    }

    /// Removes the earliest timer and returns its event, or None if no timer is due at `now_us`.
    pub fn pop_due(&mut self, now_us: u64) -> Option<T> {
        let earliest = self.timers.first_entry()?;
        (earliest.key().due_at_us <= now_us).then(|| earliest.remove())
    }
}
