//! The instances of one process. They share nothing but the clock of the batch.

use crate::action_message::ActionMessage;
use crate::error::LineError;
use crate::event_message::{self, Born, Clock};
use edge_routing::{Action, Router};
use std::collections::BTreeMap;

/// The instances, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    routers: BTreeMap<u64, Router>,
    /// Time of the batch, in microseconds.
    now: u64,
    /// Number of the batch; none between batches.
    round: Option<u64>,
    /// Lines of the reply so far.
    reply: Vec<u8>,
    /// Actions of the event at hand; kept for its allocation only.
    actions: Vec<Action>,
}

impl Host {
    /// Handles a line. Gives the reply to the batch where the line ends it.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<Vec<u8>>, LineError> {
        let envelope = event_message::read_envelope(line)?;
        let event_type = envelope.event_type.as_ref();
        if event_type == "Clock" {
            let clock: Clock = event_message::read(event_type, line)?;
            self.now = clock.now.0;
            self.round = Some(clock.round.0);
            return Ok(None);
        }
        let round = self.round.ok_or(LineError::NoClock)?;
        if event_type == "End" {
            self.round = None;
            push_line(&mut self.reply, &ActionMessage::end_of_reply(round));
            return Ok(Some(std::mem::take(&mut self.reply)));
        }
        let Some(instance) = envelope.instance else {
            return Err(LineError::NoInstance {
                event_type: event_type.to_owned(),
            });
        };
        self.handle_event(instance.0, event_type, line)?;
        Ok(None)
    }

    fn handle_event(
        &mut self,
        instance: u64,
        event_type: &str,
        line: &str,
    ) -> Result<(), LineError> {
        match event_type {
            "Born" => {
                let born: Born = event_message::read(event_type, line)?;
                let settings = edge_settings::from_json(&born.setup)?;
                self.routers
                    .insert(instance, Router::new(settings, born.seed.0)?);
            }
            "Stop" => {
                self.routers.remove(&instance);
            }
            _ => self.run_router(instance, event_type, line)?,
        }
        Ok(())
    }

    /// Has a router handle an event. An unknown event type and an instance that does not run are no
    /// errors.
    fn run_router(&mut self, instance: u64, event_type: &str, line: &str) -> Result<(), LineError> {
        let event = event_message::read_event(event_type, line)?;
        let (Some(router), Some(event)) = (self.routers.get_mut(&instance), event) else {
            return Ok(());
        };
        router.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            push_line(&mut self.reply, &ActionMessage::new(instance, &action));
        }
        Ok(())
    }
}

fn push_line(reply: &mut Vec<u8>, message: &ActionMessage) {
    // Writing numbers, flags and text to memory cannot fail.
    let _ = serde_json::to_writer(&mut *reply, message);
    reply.push(b'\n');
}
