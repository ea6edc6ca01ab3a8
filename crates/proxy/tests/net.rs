//! Buffered sockets and their buffers, the poller, timers and the slab.

use edge_proxy::net::{
    BufferedSocket, IoProgress, Poller, Slab, SlabKey, SocketBuffer, TimerQueue,
};
use rustix::net::sockopt;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Slots are reused. A late timer or event with the key of a removed connection must not affect the
/// connection that has taken its slot.
#[test]
fn the_key_of_a_removed_entry_does_not_find_the_next_one_in_its_slot() {
    let mut slab = Slab::new(1);
    let old = slab.insert("old").unwrap();
    assert_eq!(slab.insert("no room"), Err("no room"));
    assert_eq!(slab.remove(old), Some("old"));
    let new = slab.insert("new").unwrap();
    assert_eq!((slab.get(old), slab.get(new)), (None, Some(&"new")));
    assert_eq!(slab.remove(old), None);
    assert_eq!(SlabKey::from_u64(new.to_u64()), new);
}

/// Bytes that are stored while others are taken out must come out in order, and a full buffer must
/// accept no more bytes than it has room for.
#[test]
fn a_socket_buffer_returns_bytes_in_order_and_is_bounded() {
    let mut buffer = SocketBuffer::new(5);
    let mut sent = 0u8;
    let mut received = Vec::new();
    for step in [3, 1, 4, 2, 5, 1, 3, 5] {
        let bytes: Vec<u8> = (sent..sent + step).collect();
        sent += buffer.push(&bytes) as u8;
        assert_eq!(buffer.push(&[]), 0);
        buffer.write_to(&mut received).unwrap();
    }
    while !buffer.is_empty() {
        buffer.write_to(&mut received).unwrap();
    }
    assert_eq!(received, (0..sent).collect::<Vec<_>>());
    assert_eq!((buffer.push(&[7; 9]), buffer.free_space()), (5, 0));
}

/// With buffers of full size from the start, many idle connections would exhaust the memory.
/// Contents must survive the growth of a buffer.
#[test]
fn a_socket_buffer_allocates_as_needed_and_frees_when_empty() {
    let mut buffer = SocketBuffer::new(64 << 10);
    let mut sent = Vec::new();
    let mut received = Vec::new();
    assert_eq!(buffer.allocated_bytes(), 0);
    for step in [100, 900, 3_000, 20_000, 60_000, 1] {
        let bytes: Vec<u8> = (0..step).map(|n| (n * 7 + step) as u8).collect();
        let stored = buffer.push(&bytes);
        sent.extend_from_slice(&bytes[..stored]);
        assert!(
            buffer.allocated_bytes() <= (2 * buffer.len()).max(SocketBuffer::MIN_ALLOCATION_BYTES),
            "{} bytes are allocated for {} bytes of contents",
            buffer.allocated_bytes(),
            buffer.len()
        );
        let half = buffer.readable().len() / 2;
        received.extend_from_slice(&buffer.readable()[..half]);
        buffer.consume(half);
    }
    while !buffer.is_empty() {
        buffer.write_to(&mut received).unwrap();
    }
    assert!(received == sent, "bytes were lost, changed or reordered");
    assert_eq!(buffer.allocated_bytes(), 0);
}

/// Guards against an event loop that spins: while an answer waits for memory, its server may close its
/// half of the connection. The poller must report that only once the rest can be read.
#[test]
fn the_half_close_of_a_server_is_not_reported_while_the_input_buffer_is_full() {
    const TOKEN: u64 = 7;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let outgoing = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut server = listener.accept().unwrap().0;
    let mut socket = BufferedSocket::new(outgoing, false, 4, 4).unwrap();
    socket.finish_connect().unwrap();
    server.write_all(b"more than fits").unwrap();
    while socket.read(false) != IoProgress::WouldBlock || socket.input.free_space() > 0 {}
    let mut poller = Poller::new(4).unwrap();
    socket.watch(&poller, TOKEN).unwrap();
    server.shutdown(Shutdown::Write).unwrap();

    let mut ready = Vec::new();
    poller.wait(50_000, &mut ready).unwrap();
    assert!(ready.is_empty(), "{ready:?}");
    socket.input.clear();
    socket.watch(&poller, TOKEN).unwrap();
    while ready.is_empty() {
        poller.wait(50_000, &mut ready).unwrap();
    }
    assert!(ready[0].is_readable && !ready[0].is_broken, "{ready:?}");
}

/// A socket with a full input buffer is not watched for reading. A reset must still be noticed, or
/// the dead connection would go on taking its slot.
#[test]
fn a_full_input_buffer_stops_reading_but_still_reports_a_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut socket = BufferedSocket::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    peer.write_all(b"123456").unwrap();
    while socket.read(false) != IoProgress::WouldBlock || socket.input.free_space() > 0 {}
    let mut poller = Poller::new(4).unwrap();
    // The input buffer is full and there is nothing to write, so the poller watches the socket
    // neither for reading nor for writing.
    socket.watch(&poller, 7).unwrap();
    sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).unwrap();
    drop(peer);
    let mut ready = Vec::new();
    while ready.is_empty() {
        poller.wait(1_000_000, &mut ready).unwrap();
    }
    assert!(
        ready[0].is_broken && ready[0].is_readable,
        "the reset of a socket without any interest was not reported"
    );
    assert_eq!(socket.read(false), IoProgress::WouldBlock);
    assert_eq!(socket.read(ready[0].is_broken), IoProgress::Broken);
}

/// A socket with a full input buffer is not watched for reading. A client that closes its half must
/// still be noticed, and waiting input must not make the poller spin.
#[test]
fn a_full_input_buffer_still_reports_that_the_peer_has_ended_its_half() {
    /// Much longer than the end of the peer's half takes to arrive on loopback.
    const WAIT_US: u64 = 5_000_000;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut socket = BufferedSocket::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    peer.write_all(b"123456").unwrap();
    while socket.read(false) != IoProgress::WouldBlock || socket.input.free_space() > 0 {}
    let mut poller = Poller::new(4).unwrap();
    socket.watch(&poller, 7).unwrap();
    peer.shutdown(Shutdown::Write).unwrap();

    let mut ready = Vec::new();
    poller.wait(WAIT_US, &mut ready).unwrap();

    assert_eq!(
        ready.len(),
        1,
        "the end of the peer's half was not reported, or more than that"
    );
    assert!(ready[0].peer_closed && !ready[0].is_broken);
}

/// Timers with equal times must fire in the order in which they were set, each once, and a
/// cancelled timer must never fire.
#[test]
fn timers_come_due_in_order_once_and_can_be_cancelled() {
    let mut timers = TimerQueue::default();
    timers.schedule(20, 'a');
    let cancelled = timers.schedule(30, 'b');
    timers.schedule(10, 'c');
    timers.schedule(20, 'd');
    timers.cancel(cancelled);
    assert_eq!((timers.next_due(), timers.pop_due(9)), (Some(10), None));
    assert_eq!(timers.pop_due(20), Some('c'));
    assert_eq!(timers.pop_due(20), Some('a'));
    assert_eq!(timers.pop_due(20), Some('d'));
    assert_eq!(timers.pop_due(99), None);
}
