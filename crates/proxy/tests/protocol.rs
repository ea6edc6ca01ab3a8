//! Codecs with valid input that is split at random offsets, with random garbage, and with input
//! beyond their limits.

mod support;

use edge_proxy::memory::ByteQueue;
use edge_proxy::protocol::fastcgi::{RecordHeader, RecordPart};
use edge_proxy::protocol::http::{self, Piece};
use edge_proxy::protocol::{fastcgi, resp, sse, ProtocolError};
use proptest::collection::vec;
use proptest::prelude::*;
use support::parsing::{assert_robust, parse_all, seeded_config};

/// Generates numbers from which the offsets of splits are derived.
fn splits() -> impl Strategy<Value = Vec<usize>> {
    vec(any::<usize>(), 0..8)
}

/// Generates random bytes, fewer than `length_limit`.
fn bytes(length_limit: usize) -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..length_limit)
}

fn garbage() -> impl Strategy<Value = Vec<u8>> {
    bytes(99)
}

/// Joins the pieces of each body. Bodies are split where the input is, so only their concatenation
/// can be compared.
fn join_bodies(pieces: Vec<Piece>) -> Vec<Piece> {
    let mut joined: Vec<Piece> = Vec::new();
    for piece in pieces {
        match (joined.last_mut(), piece) {
            (Some(Piece::Body(body)), Piece::Body(more)) => body.extend(more),
            (_, piece) => joined.push(piece),
        }
    }
    joined
}

/// Returns the concatenated body of all pieces.
fn body_of(pieces: &[Piece]) -> Vec<u8> {
    let mut body = Vec::new();
    for piece in pieces {
        if let Piece::Body(bytes) = piece {
            body.extend_from_slice(bytes);
        }
    }
    body
}

fn http_request(body: &[u8]) -> Vec<u8> {
    let mut request = Vec::new();
    http::write_message(&mut request, "POST /a HTTP/1.1", &[("Host", "a")], body);
    request
}

/// Returns a request whose body is sent in chunks, with chunk extensions and a trailer.
fn chunked_http_request(body: &[u8], chunk_length: usize) -> Vec<u8> {
    let mut request = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(chunk_length) {
        request.extend_from_slice(format!("{:x};x=y\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    request
}

/// Returns a whole FastCGI record as one part.
fn whole_record(record_type: u8, request_id: u16, content: Vec<u8>) -> RecordPart {
    let header = RecordHeader {
        record_type,
        request_id,
        content_bytes: content.len(),
    };
    RecordPart {
        header,
        is_first: true,
        content,
        remaining_bytes: 0,
    }
}

/// Joins the parts of each record. Records are split where the input is, so only whole records can
/// be compared. Panics if the parts of a record do not follow each other.
fn join_record_parts(parts: Vec<RecordPart>) -> Vec<RecordPart> {
    let mut joined: Vec<RecordPart> = Vec::new();
    for part in parts {
        if part.is_first {
            joined.push(part);
            continue;
        }
        let record = joined
            .last_mut()
            .expect("a record begins with its first part");
        assert_eq!(record.header, part.header);
        assert_eq!(
            record.remaining_bytes,
            part.content.len() + part.remaining_bytes
        );
        record.content.extend(part.content);
        record.remaining_bytes = part.remaining_bytes;
    }
    joined
}

/// Writes a FastCGI record with padding, which the proxy's own writer never adds.
fn write_padded_record(out: &mut Vec<u8>, record: &RecordPart, padding: u8) {
    const PADDING_LENGTH_OFFSET: usize = 6;
    let start = out.len();
    let header = record.header;
    fastcgi::write_record(out, header.record_type, header.request_id, &record.content);
    out[start + PADDING_LENGTH_OFFSET] = padding;
    out.extend(vec![0; usize::from(padding)]);
}

/// Generates the type, id, content and padding length of a FastCGI record.
fn padded_record() -> impl Strategy<Value = (u8, u16, Vec<u8>, u8)> {
    (any::<u8>(), any::<u16>(), bytes(300), any::<u8>())
}

proptest! {
    #![proptest_config(seeded_config(128))]

    /// Input may be split anywhere by the network, and clients may pad records. Neither may change
    /// the records that are read, and garbage must not cause a panic.
    #[test]
    fn fastcgi_records_are_read_as_written(
        padded_records in vec(padded_record(), 1..5),
        splits in splits(),
        garbage in garbage(),
    ) {
        let mut input = Vec::new();
        let mut written = Vec::new();
        for (record_type, request_id, content, padding) in padded_records {
            let record = whole_record(record_type, request_id, content);
            write_padded_record(&mut input, &record, padding);
            written.push(record);
        }
        let new_parser = fastcgi::RecordParser::default;
        assert_robust(new_parser, &input, &splits, &garbage, join_record_parts);
        let read = join_record_parts(parse_all(new_parser(), &input, &splits).unwrap());
        prop_assert_eq!(read, written);
    }

    /// Names and values longer than 127 bytes have a length of four bytes instead of one. Both
    /// forms must be read correctly, and garbage must not cause a panic.
    #[test]
    fn fastcgi_parameters_are_read_as_written(
        pairs in vec(("[A-Z_]{0,200}", "[ -~]{0,200}"), 0..5),
        garbage in garbage(),
    ) {
        let mut input = Vec::new();
        for (name, value) in &pairs {
            fastcgi::write_pair(&mut input, name, value);
        }
        prop_assert_eq!(fastcgi::read_pairs(&input), Ok(pairs));
        let _ = fastcgi::read_pairs(&garbage);
        let _ = fastcgi::read_begin_request(&garbage);
    }

    /// Input from cache servers may be split anywhere by the network. This must not change the
    /// arrays that are read, and garbage must not cause a panic.
    #[test]
    fn resp_arrays_are_read_as_written(
        arrays in vec(vec(bytes(200), 1..5), 1..4),
        splits in splits(),
        garbage in garbage(),
    ) {
        let new_parser = || resp::ArrayParser::new(1..=4, 200);
        let mut input = Vec::new();
        for array in &arrays {
            let strings: Vec<&[u8]> = array.iter().map(Vec::as_slice).collect();
            resp::write_array(&mut input, &strings);
        }
        assert_robust(new_parser, &input, &splits, &garbage, |arrays| arrays);
        let read = parse_all(new_parser(), &input, &splits).unwrap();
        prop_assert!(read.iter().all(|array| !array.has_discarded_string));
        let strings = |array: resp::Array| array.strings.iter().map(ByteQueue::to_vec).collect();
        let read: Vec<Vec<Vec<u8>>> = read.into_iter().map(strings).collect();
        prop_assert_eq!(read, arrays);
        let _ = resp::field_value(&garbage, "a");
    }

    /// A body may have a stated length or come in chunks, and input may be split anywhere. This
    /// must not change the message that is read, and garbage must not cause a panic.
    #[test]
    fn http_messages_are_read_as_written(
        body in bytes(300),
        chunk_length in 1..90usize,
        is_chunked: bool,
        splits in splits(),
        garbage in garbage(),
    ) {
        let new_parser = || http::MessageParser::requests(512, 512);
        let input = if is_chunked {
            chunked_http_request(&body, chunk_length)
        } else {
            http_request(&body)
        };
        assert_robust(new_parser, &input, &splits, &garbage, join_bodies);
        let read = join_bodies(parse_all(new_parser(), &input, &splits).unwrap());
        prop_assert_eq!(body_of(&read), body);
        prop_assert_eq!(read.last(), Some(&Piece::End));
    }

    /// Lines of an event stream may end with LF or CRLF, and input may be split anywhere, even
    /// within a line end. This must not change the events that are read.
    #[test]
    fn server_sent_events_are_read_as_written(
        id_and_data in vec((any::<u16>(), "[ -~]{1,80}"), 1..5),
        splits in splits(),
        garbage in garbage(),
    ) {
        let new_parser = || sse::EventParser::new(128);
        let mut input = String::new();
        let mut written = Vec::new();
        for (id, data) in id_and_data {
            input.push_str(&format!(": comment\nid: {id}\r\ndata: {data}\n\n"));
            written.push(sse::Event { id: id.to_string(), data });
        }
        assert_robust(new_parser, input.as_bytes(), &splits, &garbage, |events| events);
        let read = parse_all(new_parser(), input.as_bytes(), &splits).unwrap();
        prop_assert_eq!(read, written);
    }
}

/// A peer may announce a length that it never sends. The codec must reject it when it is announced,
/// before memory is reserved or the proxy waits for the bytes.
#[test]
fn announced_lengths_are_checked_against_the_limits_at_once() {
    assert_eq!(
        parse_all(resp::ArrayParser::new(1..=4, 9), b"*1\r\n$10\r\n", &[]),
        Err(ProtocolError::TooLong("a RESP string"))
    );
    assert_eq!(
        parse_all(
            resp::ArrayParser::new(1..=4, 9),
            b"*99999999999999\r\n",
            &[]
        ),
        Err(ProtocolError::TooLong("a RESP array"))
    );
    assert_eq!(
        parse_all(resp::ArrayParser::new(4..=4, 9), b"*5\r\n", &[]),
        Err(ProtocolError::TooLong("a RESP array"))
    );
    assert_eq!(
        parse_all(resp::ArrayParser::new(4..=4, 9), b"*3\r\n", &[]),
        Err(ProtocolError::Malformed(
            "a RESP array (it announces too few strings)"
        ))
    );
    let head = b"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n";
    assert_eq!(
        parse_all(http::MessageParser::requests(99, 99), head, &[]),
        Err(ProtocolError::TooLong("an HTTP body"))
    );
    assert_eq!(
        parse_all(sse::EventParser::new(9), b"data: 0123456789\n\n", &[]),
        Err(ProtocolError::TooLong("a line"))
    );
}

/// With two length indications, the proxy and another server could disagree on where a request
/// ends, which allows request smuggling.
#[test]
fn an_http_body_with_two_length_indications_is_rejected() {
    for second in ["Content-Length: 1", "Transfer-Encoding: chunked"] {
        let request = format!("POST / HTTP/1.1\r\nContent-Length: 2\r\n{second}\r\n\r\n");
        let result = parse_all(
            http::MessageParser::requests(99, 99),
            request.as_bytes(),
            &[],
        );
        assert_eq!(
            result,
            Err(ProtocolError::Malformed(
                "an HTTP body's length (expected one Content-Length or chunked coding)"
            ))
        );
    }
}

/// Guards against memory that grows with the number of headers: each line is short, but the head as
/// a whole must not exceed the limit either.
#[test]
fn the_head_of_an_http_message_is_limited_as_a_whole() {
    let request_with_headers = |count: usize| {
        format!(
            "GET / HTTP/1.1\r\n{}\r\n",
            "A: 0123456789\r\n".repeat(count)
        )
    };
    let parse = |count: usize| {
        let parser = http::MessageParser::requests(99, 99);
        parse_all(parser, request_with_headers(count).as_bytes(), &[])
    };
    assert!(parse(6).is_ok());
    assert_eq!(
        parse(7),
        Err(ProtocolError::TooLong("the head of an HTTP message"))
    );
}

/// A client may announce the longest record and send only its header. The receiver must learn of it
/// before any content arrives, and the parser must keep none of the content.
#[test]
fn the_first_part_of_a_fastcgi_record_is_returned_with_its_header() {
    let content = vec![b'a'; fastcgi::MAX_CONTENT_BYTES];
    let mut record = Vec::new();
    fastcgi::write_record(&mut record, fastcgi::record_type::PARAMS, 1, &content);
    let (header, received) = record.split_at(fastcgi::HEADER_BYTES);
    let splits = [header.len(), header.len() + 10];
    let parts = parse_all(
        fastcgi::RecordParser::default(),
        &record[..header.len() + received.len() - 1],
        &splits,
    );
    let lengths: Vec<_> = parts
        .unwrap()
        .iter()
        .map(|part| (part.is_first, part.content.len(), part.remaining_bytes))
        .collect();
    let longest = fastcgi::MAX_CONTENT_BYTES;
    assert_eq!(
        lengths,
        [
            (true, 0, longest),
            (false, 10, longest - 10),
            (false, longest - 11, 1)
        ]
    );
}
