//! Exchange of purges between the proxies of one deployment over UDP, and storage of purges
//! across restarts.

use super::timer::TimerEvent;
use super::{tokens, EventLoop};
use crate::discovery::purge_gossip::{self as gossip, Purge};
use crate::discovery::purge_log::PurgeLog;
use crate::net::{Interest, Poller};
use crate::sys;
use edge_routing::Micros;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Number of times that a purge is sent again after the first transmission, because any datagram
/// may be lost.
pub(super) const GOSSIP_REPEATS: u8 = 2;
/// Size of the receive buffer. It is one byte larger than the longest valid datagram, so that a
/// longer datagram is detected instead of being truncated to a valid length.
const RECEIVE_BUFFER_BYTES: usize = gossip::MAX_DATAGRAM_BYTES + 1;

/// The socket for purge gossip, and the peer proxies with which purges are exchanged.
pub(super) struct PurgeGossip {
    socket: UdpSocket,
    /// Addresses of all proxies of the deployment. May include this proxy.
    pub(super) peers: Vec<SocketAddr>,
}

impl PurgeGossip {
    /// Binds the socket and registers it with the poller.
    pub(super) fn bind(
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        poller: &Poller,
    ) -> io::Result<Self> {
        let socket = sys::bind_udp(address)?;
        poller.add(&socket, tokens::PURGE_GOSSIP, Interest::READ)?;
        Ok(PurgeGossip { socket, peers })
    }

    /// Returns the next received purge, or `None` if no datagram is left. Ignores invalid datagrams
    /// and those from senders that are not peer proxies.
    fn receive(&self) -> Option<Purge> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // Any other error is taken to concern this call only. The datagrams behind it must
                // still be received.
                Err(_) => continue,
            };
            if !self.peers.contains(&sender) {
                continue;
            }
            if let Some(purge) = gossip::decode(&buffer[..length]) {
                return Some(purge);
            }
        }
    }

    fn send(&self, datagram: &str) {
        let own = self.socket.local_addr().ok();
        for peer in self.peers.iter().filter(|peer| Some(**peer) != own) {
            // A datagram that can't be sent counts as lost.
            let _ = self.socket.send_to(datagram.as_bytes(), peer);
        }
    }
}

impl EventLoop {
    /// Receives and applies the purges that peer proxies have sent.
    pub(super) fn receive_purge_gossip(&mut self, now: Micros) {
        while let Some(purge) = self.purge_gossip.as_ref().and_then(PurgeGossip::receive) {
            self.purge_permanently(now, purge);
        }
    }

    /// Sends a purge to the peer proxies now, and schedules `repeats_left` further transmissions.
    pub(super) fn send_purge_gossip(&mut self, now: Micros, datagram: String, repeats_left: u8) {
        let Some(gossip) = &self.purge_gossip else {
            return;
        };
        gossip.send(&datagram);
        if repeats_left > 0 {
            self.timers.schedule(
                now + self.limits.gossip_repeat_delay_us,
                TimerEvent::RepeatPurgeGossip {
                    datagram,
                    repeats_left: repeats_left - 1,
                },
            );
        }
    }

    /// Applies a purge for as long as the proxy runs, and stores it across restarts. Such a purge
    /// is permanent because no other component enforces it. Returns whether nothing is left to be
    /// written: true if the purge is on disk, if no purge log is configured, if the purge is too
    /// long to be encoded, or if it was refused because the request table has no room for it.
    pub(super) fn purge_permanently(&mut self, now: Micros, purge: Purge) -> bool {
        // A peer's timestamp may be wrong, so the purge takes effect from `now`. The purge log
        // keeps the original time.
        let target = purge.target.clone();
        let is_in_force = self.request_table.purge_permanently(now, target, now);
        if !is_in_force {
            return true;
        }
        let write_result = match self.purge_log() {
            Some(purge_log) => purge_log.add(&purge),
            None => Ok(()),
        };
        if let Err(e) = &write_result {
            log::error!(
                "cannot write the purge of {} to the purge log, retrying within {} ms; the purge is \
                 in force but would be lost at a restart: {e}",
                purge.target,
                self.limits.purge_log_retry_interval_us / 1_000
            );
            self.schedule_purge_log_retry(now);
        }
        write_result.is_ok()
    }

    /// Writes the purges that are missing from the purge log after a failed write.
    pub(super) fn retry_purge_log(&mut self, now: Micros) {
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.purge_log_retry_scheduled = false;
        }
        let flushed = match self.purge_log() {
            Some(purge_log) => purge_log.flush(),
            None => Ok(()),
        };
        match flushed {
            Ok(()) => log::info!("all purges are written to the purge log"),
            Err(_) => self.schedule_purge_log_retry(now),
        }
    }

    /// Schedules a retry of writing the purge log, unless one is already scheduled.
    pub(super) fn schedule_purge_log_retry(&mut self, now: Micros) {
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        if !std::mem::replace(&mut interconnect.purge_log_retry_scheduled, true) {
            let at = now + self.limits.purge_log_retry_interval_us;
            self.timers.schedule(at, TimerEvent::RetryPurgeLog);
        }
    }

    fn purge_log(&mut self) -> Option<&mut PurgeLog> {
        self.interconnect.as_mut()?.purge_log.as_mut()
    }
}
