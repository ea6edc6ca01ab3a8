//! Outlier detection: servers that fail or do not answer are ejected. Each further ejection lasts
//! longer, and a server returns by way of a single request, the half-open probe.

use super::Router;
use crate::event::ServerId;
use crate::settings::Micros;
use crate::state::{InFlightAttempt, ServerState};

/// Duration of the first ejection. Each failed half-open probe doubles it.
const FIRST_EJECTION_US: Micros = 1_500_000;
/// Upper bound of an ejection, so that a recovered server is not left unused for longer.
const MAX_EJECTION_US: Micros = 4_000_000;
/// How often the duration of the first ejection is doubled at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Weight of one attempt in the failure rate of a server.
pub(super) const FAILURE_RATE_SAMPLE_WEIGHT: f64 = 0.3;
/// Failure rate above which a server is ejected. Two failures in a row exceed it, and so does a
/// lasting failure share of one third.
const EJECTION_FAILURE_RATE: f64 = 0.45;
/// A server is unresponsive if the chance that all its late attempts wait for fills is at most
/// this. The second term allows for rounding.
const UNRESPONSIVE_FILL_WAIT_CHANCE: f64 = 0.16 + 1e-9;
/// Lower bound of the chance that a late attempt waits for a fill. It is above
/// [`UNRESPONSIVE_FILL_WAIT_CHANCE`], so that a single late attempt does not eject a server.
const MIN_FILL_WAIT_CHANCE: f64 = 0.4;

impl ServerState {
    /// Returns whether the server may receive requests. A server that is not ejected is available;
    /// after an ejection it is available for one request at a time.
    pub(crate) fn is_available(&self, now: Micros) -> bool {
        let half_open = now >= self.ejected_until && !self.half_open_probe_in_flight;
        self.consecutive_ejections == 0 || half_open
    }
}

/// Ejects a server unless it is ejected already.
fn eject(now: Micros, server: &mut ServerState) {
    if now >= server.ejected_until {
        let doublings = server.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        server.ejected_until = now + (FIRST_EJECTION_US << doublings).min(MAX_EJECTION_US);
        server.consecutive_ejections += 1;
        server.half_open_probe_in_flight = false;
    }
}

impl Router {
    /// Records that a server served a request or filled a copy.
    pub(super) fn record_server_success(&mut self, now: Micros, id: ServerId) {
        self.servers.modify(id, |server| {
            server.half_open_probe_in_flight = false;
            server.last_success_at = now;
            // The process of a server that was unreachable counts as just started, whatever start
            // time the endpoint list contains.
            if std::mem::take(&mut server.unreachable) {
                server.recovered_at = Some(now);
            }
            server.failure_rate -= FAILURE_RATE_SAMPLE_WEIGHT * server.failure_rate;
            if now >= server.ejected_until {
                server.consecutive_ejections = 0;
            }
        });
    }

    /// Records that a server failed a request or a fill. A `weight` below 1 means that something
    /// else may have caused the failure.
    pub(super) fn record_server_failure(&mut self, now: Micros, id: ServerId, weight: f64) {
        self.servers.modify(id, |server| {
            server.half_open_probe_in_flight = false;
            let increase = FAILURE_RATE_SAMPLE_WEIGHT * weight * (1.0 - server.failure_rate);
            server.failure_rate += increase.min(1.0);
            if server.failure_rate > EJECTION_FAILURE_RATE || server.consecutive_ejections > 0 {
                eject(now, server);
            }
        });
    }

    /// Ejects unresponsive servers. A server is unresponsive if nothing has succeeded there since
    /// the first of its late attempts was sent, and waiting for fills is an unlikely explanation
    /// for all of them.
    pub(super) fn eject_unresponsive(&mut self, now: Micros) {
        let fill_wait_chance = |attempt: &InFlightAttempt| self.fill_wait_chance(now, attempt);
        for (id, late) in self.requests.late_attempts_by_server(now, fill_wait_chance) {
            self.servers.modify(id, |server| {
                let explained_by_fills = late.fill_wait_chance > UNRESPONSIVE_FILL_WAIT_CHANCE;
                let failed = !explained_by_fills || server.half_open_probe_in_flight;
                if failed && server.last_success_at < late.first_sent_at {
                    eject(now, server);
                }
            });
        }
    }

    /// Returns the chance that a late attempt waits for a fill. It is 1 if the object's group was
    /// purged or the cache server is warming up after it started empty: a slow fill is then due to
    /// the origin or the link, and a retry would only add another fill.
    fn fill_wait_chance(&self, now: Micros, attempt: &InFlightAttempt) -> f64 {
        let server = self.servers.get(attempt.server);
        if attempt.group_recently_purged || server.is_some_and(|server| server.is_warming_up(now)) {
            return 1.0;
        }
        self.link.miss_share.value().max(MIN_FILL_WAIT_CHANCE)
    }
}
