//! Server-sent events (HTML Standard, section 9.2).
//!
//! A stream is made of lines `name: value`. The `data` lines up to an empty line make up an event;
//! an `id` line names the id of all events from there on. Comments and other fields are skipped.

use super::line::LineBuffer;
use super::{Parser, ProtocolError};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last id that the stream has named; empty if none.
    pub id: String,
    /// The values of its `data` lines, joined by line feeds.
    pub data: String,
}

/// Reads events out of a stream's bytes.
pub struct EventParser {
    event_limit: usize,
    line: LineBuffer,
    last_id: String,
    /// The data of the event that is being received; none while it has no `data` line.
    data: Option<String>,
}

impl EventParser {
    /// A reader of events. The limit, in bytes, holds for each line and for the data of an event.
    pub fn new(event_limit: usize) -> Self {
        EventParser {
            event_limit,
            line: LineBuffer::new(event_limit),
            last_id: String::new(),
            data: None,
        }
    }

    /// Handles a whole line; an event if the line ends one.
    fn handle_line(&mut self, line: Vec<u8>) -> Result<Option<Event>, ProtocolError> {
        let line = String::from_utf8(line)
            .map_err(|_| ProtocolError::Malformed("an event's text (expected UTF-8)"))?;
        if line.is_empty() {
            return Ok(self.finish_event());
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.last_id = value.to_owned(),
            "data" => self.append_data(value)?,
            // Comments, whose name is empty, and fields that are not used.
            _ => {}
        }
        Ok(None)
    }

    fn append_data(&mut self, value: &str) -> Result<(), ProtocolError> {
        let data = self.data.get_or_insert_default();
        if data.len() + value.len() > self.event_limit {
            return Err(ProtocolError::TooLong("an event"));
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
            id: self.last_id.clone(),
            data,
        })
    }
}

impl Parser for EventParser {
    type Item = Event;

    fn parse(&mut self, input: &[u8]) -> Result<(usize, Option<Event>), ProtocolError> {
        let mut position = 0;
        while position < input.len() {
            let progress = self.line.take(&input[position..])?;
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
