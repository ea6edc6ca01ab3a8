//! The one ordered structure that holds every deadline.

use std::collections::BTreeMap;

/// Names a deadline, to take it back.
pub type TimerKey = (u64, u64);

/// TimerQueue by time, those of one time in the order in which they were set.
pub struct TimerQueue<T> {
    due: BTreeMap<TimerKey, T>,
    next: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            due: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Sets a deadline.
    pub fn set(&mut self, at: u64, what: T) -> TimerKey {
        self.next += 1;
        self.due.insert((at, self.next), what);
        (at, self.next)
    }

    /// Takes a deadline back, unless it has come due.
    pub fn cancel(&mut self, due: TimerKey) {
        self.due.remove(&due);
    }

    /// The time of the earliest.
    pub fn next_due(&self) -> Option<u64> {
        self.due.keys().next().map(|due| due.0)
    }

    /// The earliest that has come due by now.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        let first = self.due.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_come_in_order_once_and_can_be_taken_back() {
        let mut d = TimerQueue::default();
        let (_, late) = (d.set(20, 'a'), d.set(30, 'b'));
        d.set(10, 'c');
        d.set(20, 'd');
        d.cancel(late);
        assert_eq!((d.next_due(), d.pop_due(9)), (Some(10), None));
        assert_eq!(
            [d.pop_due(20), d.pop_due(20), d.pop_due(20), d.pop_due(99)],
            [Some('c'), Some('a'), Some('d'), None]
        );
    }
}
