//! Growth of a buffer whose final length a peer has announced.

/// Appends received bytes to a buffer that will hold `final_bytes` bytes in the end.
///
/// The allocation at most doubles with each call and does not exceed `final_bytes`. A peer that
/// announces a length and sends less therefore makes the buffer allocate at most twice what it has
/// sent, and a buffer that is complete has no spare capacity.
pub(crate) fn append_received(buffer: &mut Vec<u8>, bytes: &[u8], final_bytes: usize) {
    let length = buffer.len() + bytes.len();
    if length > buffer.capacity() {
        let doubled = buffer.capacity().saturating_mul(2);
        let capacity = doubled.min(final_bytes).max(length);
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}
