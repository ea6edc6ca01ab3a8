//! Purges during a run: those that the event bus publishes, and those that are sent to a proxy's
//! interconnect.

use super::Cluster;
use crate::deployment;
use crate::plan::FaultKind;
use crate::world::{object_key, InterconnectPurge};
use edge_proxy::sys::SystemCall;
use edge_testkit::sample_deployment::purge_trigger;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The interval between two purges on the event bus.
const BUS_PURGE_INTERVAL: Duration = Duration::from_millis(350);
/// The interval between two purges that are sent through interconnects.
const INTERCONNECT_PURGE_INTERVAL: Duration = Duration::from_millis(120);
/// How long a proxy may take to accept a purge through its interconnect.
const PURGE_TRIGGER_TIMEOUT: Duration = Duration::from_secs(2);

impl Cluster {
    pub(super) async fn publish_purges(self) {
        let seed = self.run_state.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(7));
        loop {
            sleep(BUS_PURGE_INTERVAL).await;
            // On average, one of six purges is of a whole purge group.
            let object = (random.u32(0..6) > 0).then(|| random.u64(1..=24));
            let purge_group = random.u64(0..4);
            self.run_state
                .borrow_mut()
                .publish_purge(object, purge_group);
        }
    }

    pub(super) async fn send_interconnect_purges(self) {
        let seed = self.run_state.borrow().plan.seed;
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(11));
        loop {
            sleep(INTERCONNECT_PURGE_INTERVAL).await;
            let object = random.u64(1..=24);
            // A proxy with disk faults is sent at least half of the purges on average.
            let proxy = match self.proxy_with_disk_faults() {
                Some(proxy) if random.bool() => proxy,
                _ => random.usize(..self.proxies.len()),
            };
            let (slot, sent_unix_ms) = {
                let run_state = self.run_state.borrow();
                (run_state.slot, run_state.now_unix_ms())
            };
            let address = deployment::interconnect_address(slot, proxy);
            let status = timeout(PURGE_TRIGGER_TIMEOUT, post_purge_trigger(address, object)).await;
            if matches!(status, Ok(Ok(201))) {
                let mut run_state = self.run_state.borrow_mut();
                let acknowledged_ms = run_state.now_ms();
                run_state.interconnect_purges.push(InterconnectPurge {
                    proxy,
                    object,
                    sent_unix_ms,
                    acknowledged_ms,
                });
            }
        }
    }

    /// Returns the index of the first proxy for which the plan injects faults into the writing or
    /// syncing of files, or None if there is no such proxy.
    fn proxy_with_disk_faults(&self) -> Option<usize> {
        let run_state = self.run_state.borrow();
        let mut faults = run_state.plan.faults.iter();
        faults.find_map(|fault| match fault.kind {
            FaultKind::SystemCallFault {
                proxy,
                call: SystemCall::FileWrite | SystemCall::FileSync,
                ..
            } => Some(proxy),
            _ => None,
        })
    }
}

/// Sends a request to purge an object to the interconnect of a proxy. Returns the status of the
/// response, or an error if the connection fails or the response has no status.
async fn post_purge_trigger(address: SocketAddr, object: u64) -> io::Result<u16> {
    let body = purge_trigger(&object_key(object)).to_string();
    let mut socket = TcpStream::connect(address).await?;
    let request = format!(
        "POST /cdni/triggers HTTP/1.1\r\nHost: cdn.example\r\n\
         Content-Type: application/cdni; ptype=ci-trigger-command\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
