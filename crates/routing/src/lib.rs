//! Routing decisions of an edge proxy in front of cache servers that serve large objects over
//! low-bandwidth links: which cache server receives a request, which source fills a miss, what is
//! cached, and how failures are handled.
//!
//! The library is sans-IO. A proxy passes events to a [`Router`] and carries out the actions that
//! it returns. The current time is the `now` of each call, in microseconds on the caller's clock.
//! All randomness comes from the seed.
//!
//! The module `policy` contains all decisions and tuning constants. The module `state` contains the
//! facts that the decisions are based on. The module `estimate` contains the statistics and depends
//! on neither `policy` nor `state`.
//!
//! ```
//! use edge_routing::*;
//!
//! let class = Class {
//!     name: "video".into(),
//!     latency_objective_us: 500_000,
//!     objective_extension_per_transfer_time: 1.5,
//!     deadline_us: 5_000_000,
//!     priority_weight: 2.0,
//!     late_weight: 0.1,
//!     idempotency: Idempotency::Idempotent,
//!     dedup_scope: DedupScope::All,
//!     dedup_window_us: 0,
//!     streaming: false,
//!     multipart: true,
//!     is_write: false,
//!     freshness_lifetime_us: 0,
//!     stale_grace_us: 0,
//!     stale_weight: 0.0,
//! };
//! let zone = |name: &str, edge_proxy_count, hub_zone_index| Zone {
//!     name: name.into(),
//!     edge_proxy_count,
//!     hub_zone_index,
//!     link_kb_per_s: 0.0,
//! };
//! let mut settings = Settings {
//!     classes: vec![class],
//!     tenants: vec![],
//!     zones: vec![zone("hub", 0, 0), zone("town", 1, 0)],
//!     own_zone_index: 1,
//!     parent_kind: None,
//!     origin_kind: "origin".into(),
//!     poll_endpoint_list: false,
//!     direct_requests: false,
//!     coalescing: true,
//!     peer_fill: PeerFill::Off,
//!     provenance: Provenance::Full,
//!     load_reports: LoadReportSource::Off,
//!     weights_are_capacities: true,
//!     transfer_kb_per_s: 4_000.0,
//!     max_attempts: 4,
//!     hedging: false,
//!     cancellation: true,
//!     probing: false,
//!     retry_after: true,
//!     max_retry_after_us: 1_000_000,
//!     origin_overload_multiple: 0.0,
//!     rules: Rules {
//!         drain_grace_us: 1_000_000,
//!         warm_up_initial_share: 0.2,
//!         warm_up_us: 10_000_000,
//!         overload_multiple: 3.0,
//!         overload_window_us: 1_000_000,
//!         parent_warm_up_initial_share: 0.1,
//!         parent_warm_up_us: 10_000_000,
//!         parent_overload_multiple: 2.0,
//!         purge_grace_us: 500_000,
//!         purge_completion_us: 5_000_000,
//!         max_poll_interval_us: 0,
//!     },
//! };
//! let mut router = Router::new(settings.clone(), 42)?;
//! let mut actions = Vec::new();
//!
//! // The endpoint list contains a cache server in the router's own zone and the origin at the hub.
//! let server = |id, zone: &str, kind: &str| Endpoint {
//!     id,
//!     zone: zone.into(),
//!     cell: 0,
//!     kind: kind.into(),
//!     weight: 8.0,
//!     state: EndpointState::Ready,
//!     started_at: None,
//! };
//! let servers = vec![server(1, "town", "cache"), server(9, "hub", "origin")];
//! router.handle(
//!     0,
//!     Event::EndpointList {
//!         mode: EndpointListMode::Snapshot,
//!         endpoints: servers,
//!     },
//!     &mut actions,
//! );
//!
//! // The router sends a request to the cache server, with the origin as the fill source.
//! actions.clear();
//! let request = Request {
//!     id: 7,
//!     class: "video".into(),
//!     tenant: None,
//!     object: "/o/film".into(),
//!     part: 0,
//!     purge_group: 0,
//!     size_kb: 900.0,
//!     remaining_us: 5_000_000,
//!     is_retry: false,
//! };
//! router.handle(1_000, Event::Request(request), &mut actions);
//! assert!(matches!(
//!     actions[0],
//!     Action::StartAttempt {
//!         request: 7,
//!         server: 1,
//!         fill: Some(Fill { source: 9, .. }),
//!         ..
//!     }
//! ));
//!
//! // The server's answer ends the attempt and was passed on to the client, so the router requests
//! // no further action.
//! actions.clear();
//! let outcome = Event::AttemptEnded(AttemptReport {
//!     request: 7,
//!     attempt: 0,
//!     server: 1,
//!     outcome: Outcome::Ok,
//!     took_us: 240_000,
//!     settled: true,
//!     fill_result: FillResult::Filled,
//!     fill_ttfb_us: 30_000,
//!     load: None,
//! });
//! router.handle(241_000, outcome, &mut actions);
//! assert!(actions.is_empty());
//!
//! // Invalid settings are rejected when the router is created.
//! settings.classes.clear();
//! assert_eq!(
//!     Router::new(settings, 42).err(),
//!     Some(SettingsError::NoClasses)
//! );
//! # Ok::<(), SettingsError>(())
//! ```

mod action;
mod estimate;
mod event;
mod policy;
mod settings;
mod state;

pub use action::*;
pub use event::*;
pub use policy::Router;
pub use settings::*;
