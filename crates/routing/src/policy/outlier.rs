//! Outlier detection: servers that fail or do not answer are ejected, longer each time, and come
//! back by way of a single request, the half-open probe.

use super::Router;
use crate::event::ServerId;
use crate::settings::Micros;
use crate::state::{InFlightAttempt, ServerState};

const EJECTION_US: Micros = 1_500_000; // Microseconds; doubled with each failed half-open probe.
const MAX_EJECTION_US: Micros = 4_000_000; // Microseconds: no recovered server is missed longer.
const MAX_EJECTION_DOUBLINGS: u32 = 4; // How often the first ejection is doubled at most.
pub(super) const FAILURE_STEP: f64 = 0.3; // Weight of one attempt in a server's failure rate.
const MAX_FAILURE_RATE: f64 = 0.45; // Exceeded by two failures in a row, or a lasting third.
/// A server is unresponsive if its late attempts all wait for fills with this chance at most; the
/// second figure is slack for rounding.
const UNRESPONSIVE_CHANCE: f64 = 0.16 + 1e-9;
const MIN_FILL_CHANCE: f64 = 0.4; // That an attempt waits for a fill: a single late one won't do.

impl ServerState {
    /// Whether it is not ejected. After an ejection it is available for one request at a time.
    pub(crate) fn is_available(&self, now: Micros) -> bool {
        let half_open = now >= self.ejected_until && !self.half_open_probe_in_flight;
        self.consecutive_ejections == 0 || half_open
    }
}

/// Ejects a server, if it is not ejected already.
fn eject(now: Micros, server: &mut ServerState) {
    if now >= server.ejected_until {
        let doublings = server.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        server.ejected_until = now + (EJECTION_US << doublings).min(MAX_EJECTION_US);
        server.consecutive_ejections += 1;
        server.half_open_probe_in_flight = false;
    }
}

impl Router {
    /// A server served a request or filled a copy.
    pub(super) fn server_succeeded(&mut self, now: Micros, id: ServerId) {
        self.servers.change(id, |server| {
            server.half_open_probe_in_flight = false;
            server.last_success_at = now;
            // Its process is taken to have just started, whatever the endpoint list says.
            if std::mem::take(&mut server.unreachable) {
                server.recovered_at = Some(now);
            }
            server.failure_rate -= FAILURE_STEP * server.failure_rate;
            if now >= server.ejected_until {
                server.consecutive_ejections = 0;
            }
        });
    }

    /// A server failed a request or a fill; a weight below 1: perhaps not by its fault.
    pub(super) fn server_failed(&mut self, now: Micros, id: ServerId, weight: f64) {
        self.servers.change(id, |server| {
            server.half_open_probe_in_flight = false;
            let change = FAILURE_STEP * weight * (1.0 - server.failure_rate);
            server.failure_rate += change.min(1.0);
            if server.failure_rate > MAX_FAILURE_RATE || server.consecutive_ejections > 0 {
                eject(now, server);
            }
        });
    }

    /// Ejects servers that are unresponsive: nothing has succeeded there since the first of its
    /// late attempts was sent, and fills hardly explain all of these.
    pub(super) fn eject_unresponsive(&mut self, now: Micros) {
        let fill_chance = |attempt: &InFlightAttempt| self.fill_chance(now, attempt);
        for (id, late) in self.requests.late_attempts_by_server(now, fill_chance) {
            self.servers.change(id, |server| {
                let explained = late.benign_cause_chance > UNRESPONSIVE_CHANCE;
                let failed = !explained || server.half_open_probe_in_flight;
                if failed && server.last_success_at < late.first_sent_at {
                    eject(now, server);
                }
            });
        }
    }

    /// The chance that a late attempt waits for a fill. Purged groups and caches that started empty
    /// are sure to: a slow fill is due to the origin or the link, and a retry would only be one
    /// more fill.
    fn fill_chance(&self, now: Micros, attempt: &InFlightAttempt) -> f64 {
        let server = self.servers.get(attempt.server);
        if attempt.group_recently_purged || server.is_some_and(|server| server.is_warming_up(now)) {
            return 1.0;
        }
        self.link.miss_share.value().max(MIN_FILL_CHANCE)
    }
}
