//! Hosts the router instances of one process, which share only the time of the current batch.

use crate::action_message::ActionMessage;
use crate::error::LineError;
use crate::event_message::{self, Born, Clock};
use edge_routing::{Action, Router};
use std::collections::BTreeMap;

/// The running router instances, and the state of the batch that is being read.
#[derive(Default)]
pub struct Host {
    /// The running routers, by instance id.
    routers: BTreeMap<u64, Router>,
    /// Time of the batch in microseconds.
    now_us: u64,
    /// Number of the open batch, or None between batches.
    open_round: Option<u64>,
    /// The lines of the reply so far.
    reply: Vec<u8>,
    /// The actions of the current event. Empty between events, and kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Handles a line. Returns the reply to the batch if the line ends the batch, otherwise None.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<Vec<u8>>, LineError> {
        let envelope = event_message::read_envelope(line)?;
        let event_type = envelope.event_type.as_ref();
        if event_type == "Clock" {
            let clock: Clock = event_message::read_message(event_type, line)?;
            self.now_us = clock.now_us.0;
            self.open_round = Some(clock.round.0);
            return Ok(None);
        }
        let round = self.open_round.ok_or(LineError::NoOpenBatch)?;
        if event_type == "End" {
            self.open_round = None;
            push_line(&mut self.reply, &ActionMessage::end_of_reply(round));
            return Ok(Some(std::mem::take(&mut self.reply)));
        }
        let Some(instance) = envelope.instance else {
            return Err(LineError::MissingInstance {
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
                let born: Born = event_message::read_message(event_type, line)?;
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

    /// Passes an event to its router and adds the resulting actions to the reply. Ignores unknown
    /// event types and events for instances that are not running.
    fn run_router(&mut self, instance: u64, event_type: &str, line: &str) -> Result<(), LineError> {
        let event = event_message::read_event(event_type, line)?;
        let (Some(router), Some(event)) = (self.routers.get_mut(&instance), event) else {
            return Ok(());
        };
        router.handle(self.now_us, event, &mut self.actions);
        for action in self.actions.drain(..) {
            push_line(&mut self.reply, &ActionMessage::new(instance, &action));
        }
        Ok(())
    }
}

fn push_line(reply: &mut Vec<u8>, message: &ActionMessage) {
    // Serializing numbers, booleans and strings to memory cannot fail.
    let _ = serde_json::to_writer(&mut *reply, message);
    reply.push(b'\n');
}
