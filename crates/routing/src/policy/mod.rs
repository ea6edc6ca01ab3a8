//! Every decision of the router, and every threshold and tuning constant.
//!
//! [`Router`] dispatches events. The ordinary path of a request is in [`replication`], which
//! follows the design that `docs/architecture.md` names; the others decide what that leaves open.

mod admission;
mod attempt_end;
mod outlier;
mod replication;
mod retry;
mod slow_start;

use crate::action::Action;
use crate::estimate::{AdaptiveShare, LatencyEstimate, SharedLoadEstimate};
use crate::estimate::{MovingAverage, RandomStream, TransferPace};
use crate::event::{EndpointListMode, Event, Request, RequestId};
use crate::settings::{Class, Micros, Settings, SettingsError};
use crate::state::{LinkState, Popularity, PurgeTable};
use crate::state::{RequestState, RequestTable, ServerTable};
use replication::Selection;

const HALF_LIFE_S: f64 = 10.0; // Seconds: of request counts, from the design, and of pace.
const COUNTED_KEYS: usize = 20_000; // Objects, and parts of objects, whose requests are counted.
const DROPPED_COUNT: f64 = 0.25; // Counts below this go first when that table is full.
const REMEMBERED_PURGES: usize = 40_000; // Purges that are remembered.
const ENOUGH_TRANSFERS: f64 = 2.0; // Decayed number of transfers from which their pace is known.
const SWEEP_INTERVAL_US: Micros = 50_000; // Microseconds between two looks at what is in flight.
const MEAN_LOAD_S: f64 = 3.0; // Seconds of own load that are averaged to guess other routers' load.
const POLL_AGAIN_US: Micros = 1_000_000; // Microseconds to wait after a failed poll of the list.
const INITIAL_MISS_SHARE: f64 = 0.5; // Share of attempts that miss, before any was seen.
const MISS_STEP: f64 = 0.01; // Weight of one attempt in that share.
const SWEEP_TIMER: u64 = 0; // Tag of the timer of the next sweep.
const POLL_TIMER: u64 = 1; // Tag of the timer to poll the endpoint list again.

/// A router: one instance decides for one proxy.
pub struct Router {
    settings: Settings,
    seed: u64,
    random: RandomStream,
    servers: ServerTable,
    requests: RequestTable,
    purges: PurgeTable,
    popularity: Popularity,
    latency: Vec<LatencyEstimate>, // By index of the request class.
    link: LinkState,
    origin_share: AdaptiveShare, // Of the requests that may have the origin asked.
    started: bool,
}

impl Router {
    /// A router for one proxy. Equal settings, seed and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let pace = TransferPace::new(HALF_LIFE_S, ENOUGH_TRANSFERS);
        // The others' load is guessed by the own: reported loads predicted less, as they count
        // requests that wait for fills and are old when they are used.
        let sample_weight = SWEEP_INTERVAL_US as f64 / 1e6 / MEAN_LOAD_S;
        let in_flight = SharedLoadEstimate::new(settings.other_routers(), sample_weight);
        let miss_share = MovingAverage::new(INITIAL_MISS_SHARE, MISS_STEP);
        let classes = settings.classes.iter();
        Ok(Router {
            latency: classes.map(retry::initial_latency).collect(),
            settings,
            seed,
            random: RandomStream::new(seed),
            servers: ServerTable::new(pace, in_flight),
            requests: RequestTable::default(),
            purges: PurgeTable::new(REMEMBERED_PURGES),
            popularity: Popularity::new(HALF_LIFE_S, COUNTED_KEYS, DROPPED_COUNT),
            link: LinkState::new(pace, in_flight, miss_share),
            origin_share: AdaptiveShare::new(admission::MIN_ADMITTED),
            started: false,
        })
    }

    /// Takes an event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let timer = |after_us: Micros, tag: u64| Action::set_timer(now + after_us, tag);
        if !self.started {
            self.started = true;
            actions.push(timer(SWEEP_INTERVAL_US, SWEEP_TIMER));
            let poll = self.settings.poll_endpoint_list;
            actions.extend(poll.then_some(Action::WatchEndpoints));
        }
        match event {
            Event::EndpointList { mode, endpoints } => match mode {
                EndpointListMode::Failed => actions.push(timer(POLL_AGAIN_US, POLL_TIMER)),
                _ => self.servers.update(mode, endpoints, &self.settings),
            },
            Event::Request(request) => actions.extend(self.request_arrived(now, request)),
            Event::StreamStarted { request, attempt } => {
                self.requests.record_stream_started(request, attempt);
            }
            Event::AttemptEnded(report) => actions.extend(self.attempt_ended(now, report)),
            Event::ClientDisconnected { request } => actions.extend(self.disconnected(request)),
            Event::Timer { tag: SWEEP_TIMER } => self.sweep(now, actions),
            Event::Timer { tag: POLL_TIMER } => actions.push(Action::WatchEndpoints),
            Event::Timer { .. } | Event::ProbeEnded { .. } => {}
            Event::TimesMovedBack { by_us } => {
                self.servers.move_start_times_back(by_us);
                self.purges.move_purge_times_back(by_us);
            }
            Event::Purged {
                object,
                group,
                age_us,
                permanent,
            } => {
                let at = now.saturating_sub(age_us);
                self.purges
                    .record(now, object.as_deref(), group, at, permanent);
            }
        }
    }

    fn request_arrived(&mut self, now: Micros, request: Request) -> Option<Action> {
        let Some(index) = self.settings.class_index(&request.class) else {
            // Nothing is known of what it may do, but it was not tried, so a retry is harmless.
            return Some(Action::reject(request.id, None));
        };
        let (class, latency) = (&self.settings.classes[index], &mut self.latency[index]);
        let own_s = self.settings.transfer_s(request.size_kb);
        let transfer_s = own_s.unwrap_or(latency.typical_transfer_s());
        // A client may claim any size: one that could never be sent in time is not learned from.
        if own_s.is_some_and(|own_s| own_s * 1e6 <= class.deadline_us as f64) {
            latency.record_transfer(transfer_s);
        }
        let mut state = RequestState::new(now, &request, index, class, transfer_s);
        state.size_known = own_s.is_some();
        if !class.is_write {
            self.popularity.count_request(now, &mut state);
        }
        let is_new = self.requests.insert(request.id, state);
        is_new.then(|| self.route(now, request.id)).flatten()
    }

    /// Sends a request to a server, or answers it when there is none that it may be sent to.
    fn route(&mut self, now: Micros, id: RequestId) -> Option<Action> {
        self.random.advance();
        let request = self.requests.get(id)?;
        let allowed = self.may_attempt(now, request);
        let pick = || Selection::new(self, now, request).pick_target();
        match allowed.then(pick).flatten() {
            Some(target) => self.send(now, id, target),
            None => self.give_up(id),
        }
    }

    /// Looks over servers and attempts in flight: what hangs shows only in what does not come back.
    fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::set_timer(now + SWEEP_INTERVAL_US, SWEEP_TIMER));
        self.origin_share.raise(admission::SWEEP_STEP);
        let window_us = self.settings.rules.overload_window_us;
        self.servers.sweep(now.saturating_sub(window_us));
        self.link.sweep(self.count_fills(now));
        self.eject_unresponsive(now);
        self.cancel_hopeless(now, actions);
    }

    /// The class of a request.
    fn class(&self, request: &RequestState) -> &Class {
        &self.settings.classes[request.class_index]
    }
}
