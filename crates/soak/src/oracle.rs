//! Judges by the rules of the protocol what was seen in a run.
//!
//! A verdict that rests on when something arrived leaves out what passed a link that was disturbed,
//! a proxy whose writes failed, and times at which the machine held the run up.

use crate::deployment::{
    class, CAPACITY, DRAIN_GRACE_MS, INITIAL_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS,
    PURGE_SLACK_MS, SIZE_KB, TRANSFER_KB_PER_S, WARM_UP_MS,
};
use crate::plan::{Trouble, TroubleKind};
use crate::violation::{Rule, Violation};
use crate::world::{FetchRecord, RequestRecord, World};
use edge_proxy::sys::SystemCall;
use std::collections::HashMap;

/// What the sockets and the scheduling of a shared machine may add to every time.
const SLACK_MS: u64 = 50 + 150;
/// An attempt may begin so long after its client left.
const LEFT_GRACE_MS: u64 = 100;
/// The time that a server is given may be above what the client has left by this much.
const DEADLINE_SLACK_MS: u64 = 150;
/// What a proxy was told by an event that never reached it counts as told after so long.
const TOLD_AFTER_MS: u64 = 4_000;
/// Bytes that a link or a proxy kept back may arrive so long after the trouble.
const DELAYED_MS: u64 = 1_500;
/// The death of a process is noticed so much sooner or later than the end of its connections.
const DEATH_SHOWS_MS: u64 = 150;
/// The run's clock and the one of the proxies are read in whole milliseconds.
const CLOCK_STEP_MS: u64 = 5;
/// A kept purge is in force so long after its acknowledgement.
const KEPT_PURGE_GRACE_MS: u64 = 100;
/// Requests that are turned away with nothing wrong, at one proxy, from which that is a fault.
const MAX_UNEXPLAINED: usize = 3;

/// What is looked up again and again.
struct Seen<'a> {
    world: &'a World,
    fetches_of: HashMap<&'a str, Vec<&'a FetchRecord>>,
}

/// Judges a run that is over.
pub fn judge(world: &World) -> Vec<Violation> {
    let mut fetches_of: HashMap<&str, Vec<&FetchRecord>> = HashMap::new();
    for fetch in &world.fetches {
        fetches_of.entry(&fetch.request).or_default().push(fetch);
    }
    let seen = Seen { world, fetches_of };
    let mut violations = Vec::new();
    for (id, request) in &world.requests {
        seen.judge_request(id, request, &mut violations);
    }
    seen.judge_slow_start(&mut violations);
    seen.judge_recovery(&mut violations);
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

impl Seen<'_> {
    fn judge_request(&self, id: &str, request: &RequestRecord, violations: &mut Vec<Violation>) {
        let none = Vec::new();
        let fetches = self.fetches_of.get(id).unwrap_or(&none);
        let mut report = |rule, at_ms, detail: String| {
            violations.push(Violation {
                rule,
                at_ms,
                proxy: Some(request.proxy),
                request: Some(id.to_owned()),
                detail,
            });
        };
        if let Some(detail) = self.missing_answer(request) {
            report(Rule::FinalAnswer, request.sent_ms, detail);
        }
        let runs = fetches.iter().filter(|fetch| fetch.ran).count();
        if request.class == class::ONCE {
            if runs > 1 {
                report(Rule::RunOnce, request.sent_ms, format!("ran {runs} times"));
            }
            let rejected = matches!(request.answer, Some((429 | 503, _)));
            if rejected && runs > 0 {
                let detail = "rejected, though it may have run".to_owned();
                report(Rule::HonestRejection, request.sent_ms, detail);
            }
        }
        for fetch in fetches {
            if self.is_delayed(request.proxy, fetch) {
                continue;
            }
            self.judge_fetch(request, fetch, &mut report);
        }
        let last = fetches
            .last()
            .filter(|last| !self.is_delayed(request.proxy, last));
        if let (Some(made), Some(last)) = (request.copy_made_unix_ms, last) {
            self.judge_copy(request, made, last, &mut report);
        }
    }

    /// How a request was left without its answer though its proxy lived.
    fn missing_answer(&self, request: &RequestRecord) -> Option<String> {
        let until_ms = match request.closed_ms {
            Some(closed_ms) => closed_ms + DEATH_SHOWS_MS,
            None if request.gave_up => u64::MAX,
            None => return None,
        };
        let dies = |(proxy, at_ms): &(usize, u64)| {
            *proxy == request.proxy
                && (request.sent_ms.saturating_sub(DEATH_SHOWS_MS)..=until_ms).contains(at_ms)
        };
        if self.world.deaths.iter().any(dies) {
            return None;
        }
        Some(match request.closed_ms {
            Some(closed_ms) => format!(
                "{}: its connection was closed without an answer {} ms after it was sent",
                request.class,
                closed_ms - request.sent_ms
            ),
            None => format!("{}: no answer", request.class),
        })
    }

    fn judge_fetch(
        &self,
        request: &RequestRecord,
        fetch: &FetchRecord,
        report: &mut impl FnMut(Rule, u64, String),
    ) {
        let at_ms = fetch.at_ms;
        if let Some(left_ms) = request.left_ms {
            if at_ms > left_ms + LEFT_GRACE_MS + SLACK_MS {
                let detail = format!(
                    "an attempt came {} ms after its client left",
                    at_ms - left_ms
                );
                report(Rule::ClientLeft, at_ms, detail);
            }
        }
        let time_left = (request.sent_ms + request.budget_ms).saturating_sub(at_ms);
        if fetch.wait_ms > time_left + DEADLINE_SLACK_MS + SLACK_MS {
            let detail = format!("wait={}, {time_left} ms are left", fetch.wait_ms);
            report(Rule::ClientTime, at_ms, detail);
        }
        for (index, server) in self.world.servers.iter().enumerate() {
            let Some((withdrawn_ms, event)) = server.withdrawn else {
                continue;
            };
            let is_source = fetch.source.as_deref() == Some(server.wire_id.as_str());
            if fetch.server != index && !is_source {
                continue;
            }
            let told_ms = self.told_ms(request.proxy, event, withdrawn_ms);
            if at_ms > told_ms + DRAIN_GRACE_MS + SLACK_MS {
                let detail = format!(
                    "an attempt came at {} {} ms after the proxy was told",
                    server.wire_id,
                    at_ms - told_ms
                );
                report(Rule::Drain, at_ms, detail);
            }
        }
    }

    fn judge_copy(
        &self,
        request: &RequestRecord,
        made_unix_ms: u64,
        last: &FetchRecord,
        report: &mut impl FnMut(Rule, u64, String),
    ) {
        for purge in &self.world.purges {
            let concerns = match purge.object {
                Some(object) => object == request.object,
                None => purge.group == request.group,
            };
            let told_ms = self.told_ms(request.proxy, purge.event, purge.published_ms);
            let must_hold = last.at_ms > told_ms + PURGE_SLACK_MS + SLACK_MS;
            if concerns && made_unix_ms + CLOCK_STEP_MS < purge.at_unix_ms && must_hold {
                let detail = format!(
                    "a copy from {} ms before a purge, {} ms after that was told",
                    purge.at_unix_ms - made_unix_ms,
                    last.at_ms - told_ms
                );
                report(Rule::NoPurgedCopy, last.at_ms, detail);
            }
        }
        for purge in &self.world.kept_purges {
            let in_force = last.at_ms > purge.acknowledged_ms + KEPT_PURGE_GRACE_MS;
            let concerns = purge.proxy == request.proxy && purge.object == request.object;
            if concerns && in_force && made_unix_ms + CLOCK_STEP_MS < purge.sent_unix_ms {
                let detail = format!(
                    "a copy from {} ms before a purge that the proxy took on",
                    purge.sent_unix_ms - made_unix_ms
                );
                report(Rule::KeptPurge, last.at_ms, detail);
            }
        }
    }

    /// When a proxy counts as told of an event: when the bus wrote it to the proxy, or the proxy found
    /// it in its configuration, or so long after it was published.
    fn told_ms(&self, proxy: usize, event: usize, published_ms: u64) -> u64 {
        let latest_ms = published_ms + TOLD_AFTER_MS;
        let told_ms = self.world.told_ms(proxy, event);
        told_ms.map_or(latest_ms, |told_ms| told_ms.min(latest_ms))
    }

    /// Whether an attempt may have been kept back between the proxy and the server.
    fn is_delayed(&self, proxy: usize, fetch: &FetchRecord) -> bool {
        let place = self.world.servers[fetch.server].place;
        let is_near = |trouble: &Trouble| {
            trouble.from_ms <= fetch.at_ms && fetch.at_ms <= trouble.until_ms + DELAYED_MS
        };
        let delays = |trouble: &Trouble| match trouble.kind {
            TroubleKind::LinkSilent { cache }
            | TroubleKind::LinkInPieces { cache }
            | TroubleKind::LinkResets { cache }
            | TroubleKind::CacheCrash { cache } => cache + 1 == place,
            TroubleKind::SystemCalls {
                proxy: of, call, ..
            } => of == proxy && call == SystemCall::Write,
            _ => false,
        };
        let mut troubles = self.world.plan.troubles.iter();
        self.world.was_held_up(fetch.at_ms, fetch.at_ms)
            || troubles.any(|trouble| is_near(trouble) && delays(trouble))
    }

    /// No server that has just started is sent more than it can take in a window, for the most part
    /// by proxies that had been told of its start.
    fn judge_slow_start(&self, violations: &mut Vec<Violation>) {
        for (index, server) in self.world.servers.iter().enumerate() {
            let Some((started_ms, event)) = server.started else {
                continue;
            };
            let calls: Vec<Call> = self
                .world
                .fetches
                .iter()
                .filter(|fetch| fetch.server == index && fetch.at_ms >= started_ms)
                .map(|fetch| Call {
                    at_ms: fetch.at_ms,
                    was_told: self.was_told_of_start(fetch, event, started_ms),
                })
                .collect();
            if let Some((at_ms, detail)) = overload(&calls, started_ms) {
                violations.push(Violation {
                    rule: Rule::SlowStart,
                    at_ms,
                    proxy: None,
                    request: None,
                    detail: format!("{}: {detail}", server.wire_id),
                });
            }
        }
    }

    fn was_told_of_start(&self, fetch: &FetchRecord, event: usize, started_ms: u64) -> bool {
        let request = self.world.requests.get(&fetch.request);
        request.is_some_and(|request| self.told_ms(request.proxy, event, started_ms) <= fetch.at_ms)
    }

    /// A proxy turns nothing away once what was wrong with it alone has passed.
    fn judge_recovery(&self, violations: &mut Vec<Violation>) {
        let mut unexplained: HashMap<usize, Vec<(&String, &RequestRecord)>> = HashMap::new();
        for (id, request) in &self.world.requests {
            let refused = request.answer.is_some_and(|(status, _)| status != 200);
            let had_time = request.budget_ms >= 800 && request.class == class::READ;
            if refused && had_time && !self.is_disturbed(request) {
                unexplained
                    .entry(request.proxy)
                    .or_default()
                    .push((id, request));
            }
        }
        for (proxy, mut requests) in unexplained {
            if requests.len() < MAX_UNEXPLAINED {
                continue;
            }
            requests.sort_by_key(|(_, request)| request.sent_ms);
            let (id, first) = requests[0];
            violations.push(Violation {
                rule: Rule::Recovery,
                at_ms: first.sent_ms,
                proxy: Some(proxy),
                request: Some(id.clone()),
                detail: format!(
                    "{} requests were not served, with nothing wrong",
                    requests.len()
                ),
            });
        }
    }

    /// Whether something explains that a request was not served: trouble at its time, or trouble of
    /// the servers, which the proxies remember for seconds.
    fn is_disturbed(&self, request: &RequestRecord) -> bool {
        let until_ms = request.sent_ms + request.budget_ms;
        let disturbs = |trouble: &Trouble| {
            let settles_ms = match trouble.kind {
                // A clock that is wrong is no reason to turn requests away.
                TroubleKind::ClockStep { .. } => return false,
                TroubleKind::SystemCalls { .. } => 300,
                TroubleKind::Reload { .. }
                | TroubleKind::BadClients { .. }
                | TroubleKind::ClientsLeave { .. } => 500,
                TroubleKind::Restart { .. } | TroubleKind::Kill { .. } => 800,
                TroubleKind::BusDown | TroubleKind::BusSilent | TroubleKind::BusSlow { .. } => 0,
                _ => 60_000,
            };
            let concerns = trouble
                .kind
                .proxy()
                .is_none_or(|proxy| proxy == request.proxy);
            concerns
                && trouble.from_ms <= until_ms
                && request.sent_ms <= trouble.until_ms + settles_ms
        };
        self.world.was_held_up(request.sent_ms, until_ms)
            || self.world.plan.troubles.iter().any(disturbs)
    }
}

/// A request at a server that has just started.
struct Call {
    at_ms: u64,
    /// Its proxy knew of the start.
    was_told: bool,
}

/// The first window in which a server that started at a time was sent too much, mostly by proxies
/// that knew of that.
fn overload(calls: &[Call], started_ms: u64) -> Option<(u64, String)> {
    let transfer_s = SIZE_KB / TRANSFER_KB_PER_S;
    let window_s = OVERLOAD_WINDOW_MS as f64 / 1e3;
    calls.iter().enumerate().find_map(|(first, call)| {
        let from_ms = call.at_ms;
        let age = (from_ms - started_ms) as f64 / WARM_UP_MS as f64;
        let share = (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age).min(1.0);
        let allowed = OVERLOAD_MULTIPLE * share * CAPACITY * window_s / transfer_s;
        let slack = if allowed < 30.0 { 3.0 } else { 2.0 };
        let limit = allowed + slack * allowed.sqrt() + slack;
        let in_window = calls[first..]
            .iter()
            .take_while(|call| call.at_ms < from_ms + OVERLOAD_WINDOW_MS);
        let (count, told) = in_window.fold((0, 0), |(count, told), call| {
            (count + 1, told + u64::from(call.was_told))
        });
        let is_proxies_doing = told * 3 > count * 2;
        let is_overloaded = count as f64 > limit && is_proxies_doing;
        let detail = format!("{count} calls, {told} by proxies that knew, {limit:.0} at most");
        is_overloaded.then_some((from_ms, detail))
    })
}
