//! Server-sent events (HTML Standard, section 9.2).
//!
//! A stream consists of lines `name: value`. The space may be missing. A line without a colon is a
//! name with an empty value. An event consists of the `data` lines up to the next empty line. An
//! empty line without preceding `data` lines ends no event. An `id` line sets the id of the current
//! event and of all later ones. Comments and other fields are ignored.

use super::line::LineBuffer;
use super::{Parser, ProtocolError};

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The most recent id in the stream, or an empty string if there was none.
    pub id: String,
    /// Values of the `data` lines, joined by line feeds. No line feed is added before the first
    /// value that is not empty.
    pub data: String,
}

/// Incremental parser for a stream of events.
pub struct EventParser {
    event_limit_bytes: usize,
    line_buffer: LineBuffer,
    last_event_id: String,
    /// Data of the event that is being received, or `None` before its first `data` line.
    data: Option<String>,
}

impl EventParser {
    /// Creates a parser. The limit applies to each line and to the data of each event.
    pub fn new(event_limit_bytes: usize) -> Self {
        EventParser {
            event_limit_bytes,
            line_buffer: LineBuffer::new(event_limit_bytes),
            last_event_id: String::new(),
            data: None,
        }
    }

    /// Handles a complete line. Returns an event if the line is the empty line that ends it.
    fn handle_line(&mut self, line: Vec<u8>) -> Result<Option<Event>, ProtocolError> {
        let line = String::from_utf8(line).map_err(|_| {
            ProtocolError::Malformed("a line of a server-sent event (expected UTF-8)")
        })?;
        if line.is_empty() {
            return Ok(self.finish_event());
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.last_event_id = value.to_owned(),
            "data" => self.append_data(value)?,
            // Comments, which have an empty name, and fields that this parser does not support.
            _ => {}
        }
        Ok(None)
    }

    fn append_data(&mut self, value: &str) -> Result<(), ProtocolError> {
        let data = self.data.get_or_insert_default();
        if data.len() + value.len() > self.event_limit_bytes {
            return Err(ProtocolError::TooLong("the data of a server-sent event"));
        }
        if !data.is_empty() {
            data.push('\n');
        }
        data.push_str(value);
        Ok(())
    }

    fn finish_event(&mut self) -> Option<Event> {
        let data = self.data.take()?;
        Some(Event {
            id: self.last_event_id.clone(),
            data,
        })
    }
}

impl Parser for EventParser {
    type Item = Event;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Event>), ProtocolError> {
        let mut position = 0;
        while position < input.len() {
            let progress = self.line_buffer.take(&input[position..])?;
            position += progress.consumed;
            let Some(line) = progress.line else {
                break;
            };
            if let Some(event) = self.handle_line(line)? {
                return Ok((position, Some(event)));
            }
        }
        Ok((position, None))
    }
}
