//! The memory budget and the queue of bytes in blocks.

use edge_proxy::memory::{budget_for_machine, ByteQueue, MemoryBudget, MemoryKind, MemoryShare};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MIB: usize = 1 << 20;

/// Returns a configuration with a fixed seed, so that every run tries the same cases.
fn seeded_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x11ae),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A step of a sequence of operations on a queue.
#[derive(Clone, Debug)]
enum Step {
    Push(usize),
    PushPart(usize, usize),
    Consume(usize),
    Read(usize, usize),
    Append(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let size = 0..40_000usize;
    prop_oneof![
        size.clone().prop_map(Step::Push),
        (size.clone(), size.clone()).prop_map(|(now, later)| Step::PushPart(now, now + later)),
        size.clone().prop_map(Step::Consume),
        (1..20_000usize, size.clone()).prop_map(|(room, count)| Step::Read(room, count)),
        (size.clone(), size).prop_map(|(pushed, consumed)| Step::Append(pushed, consumed)),
    ]
}

proptest! {
    #![proptest_config(seeded_config())]

    /// A queue must return its bytes in order, however they were added, and must not hold more than
    /// its blocks: the budget relies on both.
    #[test]
    fn a_queue_returns_its_bytes_in_order_and_frees_what_is_consumed(steps in vec(step(), 1..20)) {
        let mut next_byte = (0..251u8).cycle();
        let mut bytes = |count: usize| next_byte.by_ref().take(count).collect::<Vec<u8>>();
        let mut queue = ByteQueue::new();
        let mut expected: Vec<u8> = Vec::new();
        for step in steps {
            match step {
                Step::Push(count) => {
                    let pushed = bytes(count);
                    queue.push(&pushed);
                    expected.extend(pushed);
                }
                Step::PushPart(count, remaining) => {
                    let pushed = bytes(count);
                    queue.push_part(&pushed, remaining);
                    expected.extend(pushed);
                }
                Step::Consume(count) => {
                    queue.consume(count);
                    expected.drain(..count.min(expected.len()));
                }
                Step::Read(room, count) => {
                    let mut read = Vec::new();
                    let count = queue.append_with(room, |buffer| {
                        read = bytes(count.min(buffer.len()));
                        buffer[..read.len()].copy_from_slice(&read);
                        Ok::<usize, ()>(read.len())
                    });
                    prop_assert!(count.unwrap() <= room);
                    expected.extend(read);
                }
                Step::Append(count, consumed) => {
                    let pushed = bytes(count);
                    let mut other = ByteQueue::from(pushed.as_slice());
                    other.consume(consumed);
                    queue.append(other);
                    expected.extend(&pushed[consumed.min(count)..]);
                }
            }
            prop_assert_eq!(queue.len(), expected.len());
            prop_assert!(queue == *expected.as_slice());
            prop_assert!(queue.front().is_empty() == queue.is_empty());
            prop_assert!(queue.allocated_bytes() >= queue.len());
        }
        prop_assert_eq!(queue.to_vec(), expected);
        queue.consume(queue.len());
        prop_assert_eq!(queue.allocated_bytes(), 0);
    }

    /// The memory of an answer is reserved when its length is announced. It must not need more,
    /// whatever the pieces in which it arrives.
    #[test]
    fn a_message_that_arrives_in_pieces_needs_no_more_than_its_allocation(
        length in 1..300_000usize,
        piece in 1..40_000usize,
    ) {
        let message = vec![7; length];
        let mut queue = ByteQueue::new();
        let mut remaining = length;
        for part in message.chunks(piece) {
            queue.push_part(part, remaining);
            remaining -= part.len();
            prop_assert!(queue.allocated_bytes() <= ByteQueue::allocation_for(length));
        }
        prop_assert_eq!(queue.allocated_bytes(), ByteQueue::allocation_for(length));
        prop_assert!(ByteQueue::allocation_for(length) <= (2 * length).max(2 * ByteQueue::MIN_BLOCK_BYTES));
    }
}

/// The program and its tables need memory beside the budget, and the rest must serve requests.
#[test]
fn the_budget_is_most_of_the_memory_of_the_machine_but_not_all() {
    for memory_mb in [16, 32, 48, 192, 2_048] {
        let budget = budget_for_machine(memory_mb * MIB);
        assert!(budget >= memory_mb * MIB / 2, "{memory_mb} MB");
        assert!(budget <= (memory_mb - 2) * MIB, "{memory_mb} MB");
    }
    assert!(budget_for_machine(MIB) > 0);
}

/// Whatever is free serves any kind: no share of the budget is kept for one of them. As it fills up,
/// bodies are refused first, then answers wait, and requests without a body are refused last.
#[test]
fn one_budget_serves_all_kinds_and_refuses_in_the_order_of_the_policy() {
    const BUDGET_BYTES: usize = 10 * MIB;
    const BODY_BYTES: usize = 48 << 10;
    let kinds = [
        MemoryKind::PartialRequests,
        MemoryKind::Requests,
        MemoryKind::ServerBuffers,
        MemoryKind::PartialAnswers,
        MemoryKind::UnsentAnswers,
        MemoryKind::Tables,
    ];
    for kind in kinds {
        let mut memory = MemoryBudget::new(BUDGET_BYTES);
        let mut share = MemoryShare::default();
        let mut refused_at = [0; 3];
        for held_bytes in (0..=BUDGET_BYTES).step_by(BUDGET_BYTES / 100) {
            memory.set(&mut share, kind, held_bytes);
            let refused = [
                !memory.admits_request(BODY_BYTES),
                !memory.has_room_for_transfer(BODY_BYTES),
                !memory.admits_request(0),
            ];
            for (refused, at) in refused.into_iter().zip(&mut refused_at) {
                if refused && *at == 0 {
                    *at = held_bytes;
                }
            }
        }
        let [body, transfer, request] = refused_at;
        assert!(
            BUDGET_BYTES / 2 < body && body < transfer,
            "{kind:?}: {refused_at:?}"
        );
        assert!(
            transfer < request && request <= BUDGET_BYTES,
            "{kind:?}: {refused_at:?}"
        );

        memory.release(&mut share);
        assert_eq!(memory.held_bytes(), 0);
        assert!(memory.admits_request(BODY_BYTES));
    }
}

/// The log is the only place where an operator sees what holds the memory.
#[test]
fn the_figures_name_every_kind_with_its_peak() {
    let mut memory = MemoryBudget::new(10 * MIB);
    let mut share = MemoryShare::default();
    memory.set(&mut share, MemoryKind::UnsentAnswers, 5_000);
    memory.set(&mut share, MemoryKind::UnsentAnswers, 300);
    memory.set(&mut share, MemoryKind::PartialAnswers, 70);
    assert!(!memory.admits_request(20 * MIB));
    assert_eq!(
        memory.to_string(),
        "memory: 370 bytes (peak 5000) held of 10485760, \
         partially received requests 0 bytes (peak 0), requests 0 bytes (peak 0), \
         server buffers 0 bytes (peak 0), partially received answers 70 bytes (peak 70), \
         unsent answers 300 bytes (peak 5000), tables 0 bytes (peak 0); \
         for lack of memory: 1 requests rejected, partially received requests rejected 0 times, \
         transfers delayed 0 times, 0 unread answers dropped"
    );
}
