//! All decisions of the router, with their thresholds and tuning constants.
//!
//! [`Router`] dispatches events. [`replication`] selects the servers and fill sources of requests
//! as in the design that `docs/architecture.md` names. The other modules decide what that design
//! leaves open.

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

/// Half-life of the decayed request counts and of the sums in [`TransferPace`]. The design that
/// `docs/architecture.md` names specifies this value for request counts.
const STATISTICS_HALF_LIFE_S: f64 = 10.0;
/// Maximum number of objects whose requests are counted. The same limit applies to parts of
/// objects.
const MAX_COUNTED_KEYS: usize = 20_000;
/// Request count below which objects and parts are evicted first when their table is full.
const INITIAL_EVICTION_THRESHOLD: f64 = 0.25;
/// Maximum number of remembered purges. Permanent purges are kept beyond it.
const MAX_REMEMBERED_PURGES: usize = 40_000;
/// Decayed number of transfers from which [`TransferPace`] estimates how much sharing a link slows
/// transfers down.
const MIN_PACE_SAMPLES: f64 = 2.0;
/// Time between two sweeps over servers and attempts in flight.
const SWEEP_INTERVAL_US: Micros = 50_000;
/// Time over which this router's load is averaged to estimate the load from other routers, which
/// are assumed to send similar load.
const LOAD_AVERAGING_TIME_S: f64 = 3.0;
/// Delay of the next poll of the endpoint list after a failed one.
const POLL_RETRY_US: Micros = 1_000_000;
/// Assumed share of attempts that miss, before any attempt has ended.
const INITIAL_MISS_SHARE: f64 = 0.5;
/// Weight of one attempt in the moving average of the share of attempts that miss.
const MISS_SHARE_SAMPLE_WEIGHT: f64 = 0.01;
/// Tag of the timer for the next sweep.
const SWEEP_TIMER_TAG: u64 = 0;
/// Tag of the timer for the next poll of the endpoint list after a failed one.
const POLL_TIMER_TAG: u64 = 1;

/// Decides for one proxy where its requests go.
pub struct Router {
    settings: Settings,
    seed: u64,
    random: RandomStream,
    servers: ServerTable,
    requests: RequestTable,
    purges: PurgeTable,
    popularity: Popularity,
    /// Latency estimates, indexed by request class.
    latency: Vec<LatencyEstimate>,
    /// The location's link, which carries all fills.
    link: LinkState,
    /// Share of the requests that may cause a fill from the origin.
    origin_admission: AdaptiveShare,
    /// Whether an event was handled. The first event starts the sweeps and, if it is configured,
    /// the polling of the endpoint list.
    started: bool,
}

impl Router {
    /// Creates a router for one proxy. Equal settings, seeds and events give equal actions. Returns
    /// an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let pace = TransferPace::new(STATISTICS_HALF_LIFE_S, MIN_PACE_SAMPLES);
        // The load from other routers is estimated from this router's own load. Load reports of
        // servers are worse predictors: they include requests that wait for fills, and are out of
        // date by the time they are used.
        let sample_weight = SWEEP_INTERVAL_US as f64 / 1e6 / LOAD_AVERAGING_TIME_S;
        let shared_load = SharedLoadEstimate::new(settings.other_router_count(), sample_weight);
        let miss_share = MovingAverage::new(INITIAL_MISS_SHARE, MISS_SHARE_SAMPLE_WEIGHT);
        let classes = settings.classes.iter();
        Ok(Router {
            latency: classes.map(retry::initial_latency).collect(),
            settings,
            seed,
            random: RandomStream::new(seed),
            servers: ServerTable::new(pace, shared_load),
            requests: RequestTable::default(),
            purges: PurgeTable::new(MAX_REMEMBERED_PURGES),
            popularity: Popularity::new(
                STATISTICS_HALF_LIFE_S,
                MAX_COUNTED_KEYS,
                INITIAL_EVICTION_THRESHOLD,
            ),
            link: LinkState::new(pace, shared_load, miss_share),
            origin_admission: AdaptiveShare::new(admission::MIN_ORIGIN_ADMISSION_SHARE),
            started: false,
        })
    }

    /// Returns the approximate memory, in bytes, of the tables that outlive single requests:
    /// servers with their charges, purges, and request counts. Goes over all servers.
    pub fn held_bytes(&self) -> usize {
        self.servers.held_bytes() + self.purges.held_bytes() + self.popularity.held_bytes()
    }

    /// Handles an event and appends the resulting actions to `actions`, in the order in which they
    /// must be carried out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let timer = |delay_us: Micros, tag: u64| Action::set_timer(now + delay_us, tag);
        if !self.started {
            self.started = true;
            actions.push(timer(SWEEP_INTERVAL_US, SWEEP_TIMER_TAG));
            let poll = self.settings.poll_endpoint_list;
            actions.extend(poll.then_some(Action::WatchEndpoints));
        }
        match event {
            Event::EndpointList { mode, endpoints } => match mode {
                EndpointListMode::Failed => actions.push(timer(POLL_RETRY_US, POLL_TIMER_TAG)),
                _ => self.servers.update(mode, endpoints, &self.settings),
            },
            Event::Request(request) => actions.extend(self.handle_request(now, request)),
            Event::StreamStarted { request, attempt } => {
                self.requests.record_stream_started(request, attempt);
            }
            Event::AttemptEnded(report) => actions.extend(self.handle_attempt_end(now, report)),
            Event::ClientDisconnected { request } => {
                actions.extend(self.handle_disconnect(request))
            }
            Event::Timer {
                tag: SWEEP_TIMER_TAG,
            } => self.sweep(now, actions),
            Event::Timer {
                tag: POLL_TIMER_TAG,
            } => actions.push(Action::WatchEndpoints),
            Event::Timer { .. } | Event::ProbeEnded { .. } => {}
            Event::TimestampsMovedEarlier { by_us } => {
                self.servers.move_start_times_earlier(by_us);
                self.purges.move_purge_times_earlier(by_us);
            }
            Event::Purged {
                object,
                purge_group,
                age_us,
                permanent,
            } => {
                let purged_at = now.saturating_sub(age_us);
                self.purges
                    .record(now, object.as_deref(), purge_group, purged_at, permanent);
            }
        }
    }

    /// Starts the first attempt of a request or gives its final answer. Returns None if a request
    /// with the same id is in progress.
    fn handle_request(&mut self, now: Micros, request: Request) -> Option<Action> {
        let Some(index) = self.settings.class_index(&request.class) else {
            // It is unknown whether a request of an unknown class is idempotent. A retry is safe
            // because this request was never sent.
            return Some(Action::reject(request.id, None));
        };
        let (class, latency) = (&self.settings.classes[index], &mut self.latency[index]);
        let size_based_transfer_s = self.settings.unshared_transfer_s(request.size_kb);
        let unshared_transfer_s = size_based_transfer_s.unwrap_or(latency.typical_transfer_s());
        // Clients may claim any size. The estimate ignores sizes that cannot be transferred within
        // the deadline of the class.
        if size_based_transfer_s.is_some_and(|size_based_transfer_s| {
            size_based_transfer_s * 1e6 <= class.deadline_us as f64
        }) {
            latency.record_transfer(unshared_transfer_s);
        }
        let mut state = RequestState::new(now, &request, index, class, unshared_transfer_s);
        state.size_known = size_based_transfer_s.is_some();
        if !class.is_write {
            self.popularity.count_request(now, &mut state);
        }
        let is_new = self.requests.insert(request.id, state);
        is_new.then(|| self.route(now, request.id)).flatten()
    }

    /// Sends a request to a server, or gives its final answer if no server may receive it.
    fn route(&mut self, now: Micros, id: RequestId) -> Option<Action> {
        // Each routing decision uses a new random number.
        self.random.advance();
        let request = self.requests.get(id)?;
        let allowed = self.may_attempt(now, request);
        let pick = || Selection::new(self, now, request).pick_target();
        match allowed.then(pick).flatten() {
            Some(target) => self.start_attempt(now, id, target),
            None => self.reject_or_fail(id),
        }
    }

    /// Checks servers and attempts in flight. A server that hangs causes no event, so it is
    /// detected by the answers that are missing.
    fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::set_timer(now + SWEEP_INTERVAL_US, SWEEP_TIMER_TAG));
        self.origin_admission
            .raise(admission::ORIGIN_ADMISSION_SWEEP_STEP);
        let window_us = self.settings.rules.overload_window_us;
        self.servers
            .sample_load_and_drop_charges(now.saturating_sub(window_us));
        self.link.sweep(self.count_waiting_for_fill(now));
        self.eject_unresponsive(now);
        self.cancel_stuck_attempts(now, actions);
    }

    fn class(&self, request: &RequestState) -> &Class {
        &self.settings.classes[request.class_index]
    }
}
