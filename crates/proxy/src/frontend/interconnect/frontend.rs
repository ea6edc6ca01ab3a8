//! The state of the interconnection, and the handling of messages.

use super::content::{self, path_and_query, RequestIds};
use super::footprint::{self, PeerFootprint};
use super::route::Route;
use super::triggers::{self, Command, TriggerResources};
use super::{redirect, Identity, Notification, Response};
use crate::protocol::http::{Head, Message};
use crate::request_table::{ClientRequest, PurgeTarget};
use edge_routing::Micros;
use serde_json::Value;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// An effect that a request has besides its response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Purges the copies of a target that were made until now.
    Purge(PurgeTarget),
    /// Sends a notification to a peer CDN.
    Notify(Notification),
}

/// How a request is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum InterconnectReply {
    /// Send this response at once.
    Respond(Response),
    /// Admit this request to the request table, which answers it later.
    Admit(ClientRequest),
}

/// Result of handling a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HandledRequest {
    /// How the request is answered.
    pub reply: InterconnectReply,
    /// Effects besides the response, in the order in which they have to be applied.
    pub effects: Vec<Effect>,
}

impl From<InterconnectReply> for HandledRequest {
    fn from(reply: InterconnectReply) -> Self {
        HandledRequest {
            reply,
            effects: Vec::new(),
        }
    }
}

/// The state of the interconnection.
pub struct InterconnectFrontend {
    identity: Identity,
    triggers: TriggerResources,
    /// Last advertisement of each peer CDN, with the most recent one at the end.
    peer_footprints: Vec<PeerFootprint>,
    request_ids: RequestIds,
}

impl InterconnectFrontend {
    /// Creates a frontend that keeps at most `trigger_limit` trigger status resources. `seed`
    /// determines the generated request ids.
    pub fn new(identity: Identity, seed: u64, trigger_limit: usize) -> Self {
        InterconnectFrontend {
            identity,
            triggers: TriggerResources::new(trigger_limit),
            peer_footprints: Vec::new(),
            request_ids: RequestIds::new(seed),
        }
    }

    /// Handles a request. `now` is the Unix time in microseconds. `is_ready` states whether the
    /// proxy can serve content. `purge_capacity` is the number of further purges that can be
    /// stored.
    pub fn handle(
        &mut self,
        now: Micros,
        is_ready: bool,
        purge_capacity: usize,
        message: &Message,
    ) -> HandledRequest {
        let Message { head, body } = message;
        let Some((method, target)) = head.method_and_target() else {
            return respond(Response::without_body(400));
        };
        let path = path_and_query(target).split('?').next().unwrap_or("");
        let json = || serde_json::from_slice::<Value>(body).ok();
        let identity = &self.identity;
        respond(match Route::for_request(method, path) {
            Route::Health if is_ready => Response::without_body(200),
            Route::Health => Response::without_body(503),
            Route::Content => return self.handle_content(head, target),
            Route::TriggerCommand => {
                return self.handle_trigger_command(now, purge_capacity, json().as_ref())
            }
            Route::TriggerCollection => self.triggers.collection(identity, None),
            Route::TriggerStatus(name) => self.triggers.status(identity, name),
            Route::TriggerDeletion(name) => self.triggers.delete(name),
            Route::Redirection => {
                redirect::respond(identity, &self.peer_footprints, is_ready, json().as_ref())
            }
            Route::FootprintAdvertisement => footprint::advertisement_response(identity, is_ready),
            Route::PeerAdvertisement(provider) => {
                self.receive_advertisement(provider, json().as_ref())
            }
            Route::MethodNotAllowed => Response::without_body(405),
            Route::NotFound => Response::without_body(404),
        })
    }

    /// Returns notifications that carry the footprint advertisement of this CDN to every peer CDN.
    pub fn footprint_advertisements(&self, is_ready: bool) -> Vec<Notification> {
        footprint::advertisement_notifications(&self.identity, is_ready)
    }

    /// Returns notifications that carry trigger commands to every peer CDN, for a purge that did
    /// not come from a peer CDN.
    pub fn purge_commands(&self, target: &PurgeTarget) -> Vec<Notification> {
        triggers::purge_commands(&self.identity, target)
    }

    fn handle_content(&mut self, head: &Head, target: &str) -> HandledRequest {
        match content::client_request(&self.identity, &mut self.request_ids, head, target) {
            Some(request) => HandledRequest::from(InterconnectReply::Admit(request)),
            None => respond(Response::without_body(404)),
        }
    }

    fn handle_trigger_command(
        &mut self,
        now: Micros,
        purge_capacity: usize,
        payload: Option<&Value>,
    ) -> HandledRequest {
        let Some(payload) = payload else {
            return respond(Response::without_body(400));
        };
        let outcome = self.triggers.execute(Command {
            identity: &self.identity,
            now_s: now / MICROS_PER_SECOND,
            purge_capacity,
            payload,
        });
        HandledRequest {
            reply: InterconnectReply::Respond(outcome.response),
            effects: outcome.effects,
        }
    }

    /// Stores the advertisement of a peer CDN in place of its previous one.
    fn receive_advertisement(&mut self, provider: &str, payload: Option<&Value>) -> Response {
        if self.identity.peer(provider).is_none() {
            return Response::without_body(403);
        }
        let Some(networks) = payload.and_then(footprint::parse_advertisement) else {
            return Response::without_body(400);
        };
        self.peer_footprints
            .retain(|known| known.provider != provider);
        self.peer_footprints.push(PeerFootprint {
            provider: provider.to_owned(),
            networks,
        });
        Response::without_body(204)
    }
}

fn respond(response: Response) -> HandledRequest {
    HandledRequest::from(InterconnectReply::Respond(response))
}
