//! The state of the interconnection, and what a message leads to.

use super::content::{self, url_path, RequestIds};
use super::footprint::{self, PeerFootprint};
use super::route::Route;
use super::triggers::{self, Command, TriggerResources};
use super::{redirect, Identity, Notification, Response};
use crate::protocol::http::{Head, Message};
use crate::request_table::ClientRequest;
use edge_routing::Micros;
use serde_json::Value;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// What follows from a message besides its response.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An object, or with none a whole group, is purged as of now.
    Purge(Option<String>, u64),
    /// A payload goes to a peer.
    Notify(Notification),
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum InterconnectReply {
    /// Respond at once.
    Now(Response),
    /// Admit the request to the request table.
    Admit(ClientRequest),
}

/// What a request leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct HandledRequest {
    /// How it is answered.
    pub reply: InterconnectReply,
    /// What follows besides, in order.
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
    /// The last advertisement of each peer, the latest at the end.
    peer_footprints: Vec<PeerFootprint>,
    request_ids: RequestIds,
}

impl InterconnectFrontend {
    /// An interconnection that keeps at most `trigger_limit` trigger status resources.
    pub fn new(identity: Identity, seed: u64, trigger_limit: usize) -> Self {
        InterconnectFrontend {
            identity,
            triggers: TriggerResources::new(trigger_limit),
            peer_footprints: Vec::new(),
            request_ids: RequestIds::new(seed),
        }
    }

    /// Handles a request. `ready` tells whether content can be served, `purge_capacity` how many
    /// more purges can be remembered, and `now` is Unix time in microseconds.
    pub fn handle(
        &mut self,
        now: Micros,
        ready: bool,
        purge_capacity: usize,
        message: &Message,
    ) -> HandledRequest {
        let Message { head, body } = message;
        let Some((method, target)) = head.method_and_target() else {
            return respond(Response::bare(400));
        };
        let path = url_path(target).split('?').next().unwrap_or("");
        let json = || serde_json::from_slice::<Value>(body).ok();
        let identity = &self.identity;
        respond(match Route::of(method, path) {
            Route::Health if ready => Response::bare(200),
            Route::Health => Response::bare(503),
            Route::Content => return self.handle_content(head, target),
            Route::TriggerCommand => {
                return self.handle_trigger_command(now, purge_capacity, json().as_ref())
            }
            Route::TriggerCollection => self.triggers.collection(identity, None),
            Route::TriggerStatus(name) => self.triggers.status(identity, name),
            Route::TriggerDeletion(name) => self.triggers.delete(name),
            Route::Redirection => {
                redirect::respond(identity, &self.peer_footprints, ready, json().as_ref())
            }
            Route::FootprintAdvertisement => footprint::advertisement_response(identity, ready),
            Route::PeerAdvertisement(provider) => {
                self.receive_advertisement(provider, json().as_ref())
            }
            Route::MethodNotAllowed => Response::bare(405),
            Route::NotFound => Response::bare(404),
        })
    }

    /// Our footprint advertisement, for every peer.
    pub fn footprint_advertisements(&self, ready: bool) -> Vec<Notification> {
        footprint::advertisements(&self.identity, ready)
    }

    /// Trigger commands for every peer, for a purge that none of them has triggered.
    pub fn purge_triggers(&self, object: Option<&str>, group: u64) -> Vec<Notification> {
        triggers::purge_commands(&self.identity, object, group)
    }

    fn handle_content(&mut self, head: &Head, target: &str) -> HandledRequest {
        match content::client_request(&self.identity, &mut self.request_ids, head, target) {
            Some(request) => HandledRequest::from(InterconnectReply::Admit(request)),
            None => respond(Response::bare(404)),
        }
    }

    fn handle_trigger_command(
        &mut self,
        now: Micros,
        purge_capacity: usize,
        payload: Option<&Value>,
    ) -> HandledRequest {
        let Some(payload) = payload else {
            return respond(Response::bare(400));
        };
        let outcome = self.triggers.execute(Command {
            identity: &self.identity,
            now_s: now / MICROS_PER_SECOND,
            purge_capacity,
            payload,
        });
        HandledRequest {
            reply: InterconnectReply::Now(outcome.response),
            effects: outcome.effects,
        }
    }

    /// A peer advertises its footprint.
    fn receive_advertisement(&mut self, provider: &str, payload: Option<&Value>) -> Response {
        if self.identity.peer(provider).is_none() {
            return Response::bare(403);
        }
        let Some(networks) = payload.and_then(footprint::read_advertisement) else {
            return Response::bare(400);
        };
        self.peer_footprints
            .retain(|known| known.provider != provider);
        self.peer_footprints.push(PeerFootprint {
            provider: provider.to_owned(),
            networks,
        });
        Response::bare(204)
    }
}

fn respond(response: Response) -> HandledRequest {
    HandledRequest::from(InterconnectReply::Now(response))
}
