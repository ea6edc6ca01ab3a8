//! What is true in a run and what was seen of it, on one clock.

use crate::plan::Plan;
use crate::violation::{Rule, Violation};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// The run, shared by everything that plays in it on one thread.
pub type SharedWorld = Rc<RefCell<World>>;

/// An event on the bus.
#[derive(Clone, Debug)]
pub struct PublishedEvent {
    /// Its JSON, without the number.
    pub event: Value,
    /// When it was published, in milliseconds of the run.
    pub at_ms: u64,
}

/// A purge that the event bus tells of.
#[derive(Clone, Debug)]
pub struct Purge {
    /// The object, or none for the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u64,
    /// When it was made, in Unix milliseconds.
    pub at_unix_ms: u64,
    /// Its number on the bus.
    pub event: usize,
    /// When it was published, in milliseconds of the run.
    pub published_ms: u64,
}

/// A purge that a proxy took on by its interconnect: nobody else is told.
#[derive(Clone, Debug)]
pub struct KeptPurge {
    /// The proxy.
    pub proxy: usize,
    /// The object.
    pub object: u64,
    /// When it was sent, in Unix milliseconds: it is made no sooner.
    pub sent_unix_ms: u64,
    /// When it was acknowledged, in milliseconds of the run.
    pub acknowledged_ms: u64,
}

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id on the wire.
    pub wire_id: String,
    /// Which link and address it has.
    pub place: usize,
    /// When its list entry said that it drains or is gone, in milliseconds of the run, and the number
    /// of that event on the bus.
    pub withdrawn: Option<(u64, usize)>,
    /// When its process started and was published, in milliseconds of the run, and the number of that
    /// event on the bus; none: long ago.
    pub started: Option<(u64, usize)>,
    /// The state that the list tells.
    pub state: &'static str,
}

/// A request of an ordinary client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The proxy.
    pub proxy: usize,
    /// Its class.
    pub class: &'static str,
    /// Its object.
    pub object: u64,
    /// Its group.
    pub group: u64,
    /// When its last byte was written, in milliseconds of the run.
    pub sent_ms: u64,
    /// How long the client waits.
    pub budget_ms: u64,
    /// When the client closed or cancelled before its answer.
    pub left_ms: Option<u64>,
    /// The status of the final answer, and when it came.
    pub answer: Option<(u16, u64)>,
    /// The answer's copy was made then, in Unix milliseconds.
    pub copy_made_unix_ms: Option<u64>,
    /// When its connection ended without an answer.
    pub closed_ms: Option<u64>,
    /// Whether the client has waited for as long as it will.
    pub gave_up: bool,
}

/// An attempt that reached a server.
#[derive(Clone, Debug)]
pub struct FetchRecord {
    /// The request.
    pub request: String,
    /// The server, as an index of [`World::servers`].
    pub server: usize,
    /// The id of the source of a fill.
    pub source: Option<String>,
    /// When it came, in milliseconds of the run.
    pub at_ms: u64,
    /// How long the proxy says that it waits.
    pub wait_ms: u64,
    /// Whether the server began to work on it.
    pub ran: bool,
}

/// How requests and faults added up.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests of ordinary clients.
    pub requests: u64,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503, or as overloaded.
    pub rejected: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Whose clients left.
    pub left: u64,
    /// Attempts at servers.
    pub fetches: u64,
    /// Checks of invariants by the proxies.
    pub invariant_checks: u64,
    /// Processes that were started.
    pub processes: u64,
    /// Purges that the event bus told of.
    pub purges: u64,
    /// Purges that proxies took on by themselves.
    pub kept_purges: u64,
    /// Times at which the run itself was held up for so long that no time was judged.
    pub held_up: u64,
}

/// Everything that is true and was seen.
pub struct World {
    /// The plan.
    pub plan: Plan,
    /// The slot of the campaign.
    pub slot: u8,
    start: Instant,
    start_unix_ms: u64,
    /// The events of the bus, in order: the first has number 1.
    pub events: Vec<PublishedEvent>,
    /// Tells the subscriptions how many events there are.
    pub event_count: watch::Sender<usize>,
    /// The purges of the bus.
    pub purges: Vec<Purge>,
    /// The purges that proxies took on by themselves.
    pub kept_purges: Vec<KeptPurge>,
    /// The servers, the origin first.
    pub servers: Vec<Server>,
    /// The requests by id.
    pub requests: HashMap<String, RequestRecord>,
    /// The attempts.
    pub fetches: Vec<FetchRecord>,
    /// Processes that were killed, or ended themselves by their plan: the proxy, and when.
    pub deaths: Vec<(usize, u64)>,
    /// Times at which the run was held up, in milliseconds of the run.
    pub held_up_ms: Vec<u64>,
    /// What was found so far.
    pub violations: Vec<Violation>,
    /// Sums.
    pub counts: Counts,
    /// For each proxy, how many events it had been told of at which times.
    pub told: Vec<Vec<(usize, u64)>>,
    next_wire_id: u64,
}

impl World {
    /// The world of a plan, with its servers ready.
    pub fn new(plan: Plan, slot: u8) -> Self {
        let (caches, proxies) = (plan.caches, plan.proxies);
        let mut world = World {
            plan,
            slot,
            start: Instant::now(),
            start_unix_ms: unix_ms(),
            events: Vec::new(),
            event_count: watch::Sender::new(0),
            purges: Vec::new(),
            kept_purges: Vec::new(),
            servers: Vec::new(),
            requests: HashMap::new(),
            fetches: Vec::new(),
            deaths: Vec::new(),
            held_up_ms: Vec::new(),
            violations: Vec::new(),
            counts: Counts::default(),
            told: vec![Vec::new(); proxies],
            next_wire_id: 1,
        };
        for place in 0..=caches {
            world.add_server(place, None);
        }
        world
    }

    /// Milliseconds of the run.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Unix milliseconds on the run's clock, which is never stepped.
    pub fn now_unix_ms(&self) -> u64 {
        self.start_unix_ms + self.now_ms()
    }

    /// A new server at a place. It is not published.
    pub fn add_server(&mut self, place: usize, started: Option<(u64, usize)>) -> usize {
        let wire_id = format!("s-{:08x}", self.next_wire_id);
        self.next_wire_id += 1;
        self.servers.push(Server {
            wire_id,
            place,
            withdrawn: None,
            started,
            state: "ready",
        });
        self.servers.len() - 1
    }

    /// The server that is at a place now.
    pub fn server_at(&self, place: usize) -> usize {
        let at_place = |server: &Server| server.place == place && server.state != "gone";
        self.servers.iter().rposition(at_place).unwrap_or(0)
    }

    /// The list entry of a server.
    pub fn list_entry(&self, index: usize) -> Value {
        let server = &self.servers[index];
        let is_origin = server.place == 0;
        let boot_ms = server
            .started
            .map_or(0, |(at_ms, _)| self.start_unix_ms + at_ms);
        json!({
            "uid": server.wire_id,
            "endpoint": crate::deployment::link_address(self.slot, server.place).to_string(),
            "az": if is_origin { "hub" } else { "here" },
            "model": if is_origin { "origin" } else { "cache" },
            "pod_group": 0,
            "state": server.state,
            "capacity_hint": crate::deployment::CAPACITY,
            "boot_ms": boot_ms,
        })
    }

    /// Publishes an event on the bus.
    pub fn publish(&mut self, event: Value) {
        let at_ms = self.now_ms();
        self.events.push(PublishedEvent { event, at_ms });
        self.event_count.send_replace(self.events.len());
    }

    /// Notes that a proxy was told of so many events by now.
    pub fn note_told(&mut self, proxy: usize, events: usize) {
        let now_ms = self.now_ms();
        let told = &mut self.told[proxy];
        if told.last().is_none_or(|(before, _)| *before < events) {
            told.push((events, now_ms));
        }
    }

    /// When a proxy was told of the event of this number, if it was.
    pub fn told_ms(&self, proxy: usize, event: usize) -> Option<u64> {
        let mut told = self.told[proxy].iter();
        let (_, at_ms) = told.find(|(events, _)| *events >= event)?;
        Some(*at_ms)
    }

    /// Publishes the state of servers as a change of the list.
    pub fn publish_servers(&mut self, indices: &[usize]) {
        let targets: Vec<Value> = indices
            .iter()
            .map(|index| self.list_entry(*index))
            .collect();
        let rev = self.events.len() + 1;
        self.publish(json!({"topology": {"rev": rev, "all": false, "targets": targets}}));
    }

    /// Publishes a purge that is made now.
    pub fn publish_purge(&mut self, object: Option<u64>, group: u64) {
        let purge = Purge {
            object,
            group,
            at_unix_ms: self.now_unix_ms(),
            event: self.events.len() + 1,
            published_ms: self.now_ms(),
        };
        let ban = match object {
            Some(object) => json!({"url": object_key(object), "ts": purge.at_unix_ms}),
            None => json!({"tag": group, "ts": purge.at_unix_ms}),
        };
        self.purges.push(purge);
        self.publish(json!({ "ban": ban }));
    }

    /// What a proxy that starts now finds in its configuration: the whole list, and the purges that
    /// are not done yet.
    pub fn known_events(&self) -> Value {
        let targets: Vec<Value> = (0..self.servers.len())
            .filter(|index| self.servers[*index].state != "gone")
            .map(|index| self.list_entry(index))
            .collect();
        let offset = self.events.len();
        let mut batch = vec![
            json!({"offset": offset, "topology": {"rev": offset, "all": true, "targets": targets}}),
        ];
        let now_ms = self.now_ms();
        for event in &self.events {
            let is_recent = event.at_ms + crate::deployment::PURGE_TAKES_MS >= now_ms;
            if is_recent && !event.event["ban"].is_null() {
                let mut event = event.event.clone();
                event["offset"] = json!(offset);
                batch.push(event);
            }
        }
        json!({"offset": offset, "batch": batch})
    }

    /// Notes that a proxy's process dies now without the time to answer anything.
    pub fn note_death(&mut self, proxy: usize) {
        let now_ms = self.now_ms();
        self.deaths.push((proxy, now_ms));
    }

    /// Records that a rule is broken now.
    pub fn report(&mut self, rule: Rule, proxy: Option<usize>, detail: impl Into<String>) {
        let violation = Violation {
            rule,
            at_ms: self.now_ms(),
            proxy,
            request: None,
            detail: detail.into(),
        };
        self.violations.push(violation);
    }

    /// Whether the run was held up near a time: then it can't judge times.
    pub fn was_held_up(&self, from_ms: u64, until_ms: u64) -> bool {
        let near = from_ms.saturating_sub(500)..=until_ms + 500;
        self.held_up_ms.iter().any(|at_ms| near.contains(at_ms))
    }
}

/// The key of an object.
pub fn object_key(object: u64) -> String {
    format!("{object:016x}")
}

fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default().as_millis() as u64
}
