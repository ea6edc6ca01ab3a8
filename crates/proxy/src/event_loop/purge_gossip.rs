//! Purges between the proxies of one installation, over UDP, and purges that are kept for the next
//! start.

use super::timer::TimerEvent;
use super::{tokens, EventLoop};
use crate::discovery::purge_gossip::{self as gossip, Purge};
use crate::discovery::purge_log::PurgeLog;
use crate::net::{Interest, Poller};
use crate::sys;
use edge_routing::Micros;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// How often a purge is repeated: any datagram may be lost.
pub(super) const REPEATS: u8 = 2;
/// One byte more than the longest datagram, so that a longer one is recognized rather than cut.
const RECEIVE_BUFFER_BYTES: usize = gossip::MAX_DATAGRAM_BYTES + 1;

/// The socket for purge gossip, and the proxies it is exchanged with.
pub(super) struct PurgeGossip {
    socket: UdpSocket,
    /// All proxies of the installation; may contain this one.
    pub(super) peers: Vec<SocketAddr>,
}

impl PurgeGossip {
    /// Binds the socket and has the poller watch it.
    pub(super) fn bind(
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        poller: &Poller,
    ) -> io::Result<Self> {
        let socket = sys::bind_udp(address)?;
        poller.add(&socket, tokens::PURGE_GOSSIP, Interest::READ)?;
        Ok(PurgeGossip { socket, peers })
    }

    /// The next purge received; none once nothing more has arrived. Datagrams from anyone but a
    /// peer are ignored.
    fn receive(&self) -> Option<Purge> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                // Any other error concerns a single datagram.
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
            let _ = self.socket.send_to(datagram.as_bytes(), peer);
        }
    }
}

impl EventLoop {
    /// Takes in all purges that peer proxies have sent.
    pub(super) fn receive_purge_gossip(&mut self, now: Micros) {
        while let Some(purge) = self.purge_gossip.as_ref().and_then(PurgeGossip::receive) {
            self.purge_permanently(now, purge);
        }
    }

    /// Sends a purge to the peer proxies, now and a few times later.
    pub(super) fn gossip_purge(&mut self, now: Micros, datagram: String, repeats_left: u8) {
        let Some(gossip) = &self.purge_gossip else {
            return;
        };
        gossip.send(&datagram);
        if repeats_left > 0 {
            self.timers.set(
                now + self.limits.gossip_repeat_us,
                TimerEvent::RepeatPurgeGossip {
                    datagram,
                    repeats_left: repeats_left - 1,
                },
            );
        }
    }

    /// Applies a purge that nobody else enforces for good, and keeps it for the next start. False: it
    /// is in force, but not on the disk yet.
    pub(super) fn purge_permanently(&mut self, now: Micros, purge: Purge) -> bool {
        // It counts from when it is heard of: its stamp is of a clock that may be wrong.
        let (object, group) = (purge.object.clone(), purge.group);
        let is_in_force = self
            .request_table
            .purge_permanently(now, object, group, now);
        if !is_in_force {
            return true;
        }
        let logged = match self.purge_log() {
            Some(purge_log) => purge_log.add(&purge),
            None => Ok(()),
        };
        if let Err(e) = &logged {
            log::error!("a purge is in force but not kept for the next start yet: {e}");
            self.schedule_purge_log_retry(now);
        }
        logged.is_ok()
    }

    /// Writes purges to the disk that could not be written before.
    pub(super) fn retry_purge_log(&mut self, now: Micros) {
        if let Some(interconnect) = &mut self.interconnect {
            interconnect.purge_log_retry_scheduled = false;
        }
        let flushed = match self.purge_log() {
            Some(purge_log) => purge_log.flush(),
            None => Ok(()),
        };
        match flushed {
            Ok(()) => log::info!("all purges are kept for the next start"),
            Err(_) => self.schedule_purge_log_retry(now),
        }
    }

    /// Has purges written again in a moment that could not be written.
    pub(super) fn schedule_purge_log_retry(&mut self, now: Micros) {
        let Some(interconnect) = &mut self.interconnect else {
            return;
        };
        if !std::mem::replace(&mut interconnect.purge_log_retry_scheduled, true) {
            let at = now + self.limits.purge_log_retry_us;
            self.timers.set(at, TimerEvent::RetryPurgeLog);
        }
    }

    fn purge_log(&mut self) -> Option<&mut PurgeLog> {
        self.interconnect.as_mut()?.purge_log.as_mut()
    }
}
