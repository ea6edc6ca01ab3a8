//! What the tests of the edge proxy run it with.
//!
//! - Fakes of its surroundings on loopback: [`fake_cache`], [`scripted_server`],
//!   [`fake_event_bus`], [`fake_consul`] and [`fake_peer_cdn`].
//! - Clients: [`fastcgi_client`] for web servers, [`http_client`] for peer CDNs.
//! - [`proxy_fixture`]: the proxy inside a test, with the fakes around it.
//! - The deployment that all of them belong to: [`sample_deployment`].
//! - A scenario that runs the real program through a purge, a drain and a shutdown and reports
//!   every rule that it violates: [`run_scenario`].

pub mod fake_cache;
pub mod fake_consul;
pub mod fake_event_bus;
pub mod fake_peer_cdn;
pub mod fastcgi_client;
pub mod http_client;
pub mod proxy_fixture;
mod received_command;
mod response;
pub mod sample_deployment;
mod scenario;
pub mod scripted_server;

pub use received_command::ReceivedCommand;
pub use response::Response;
pub use sample_deployment::sample_settings;
pub use scenario::{
    run_scenario, InjectedFault, Rule, RuleViolation, ScenarioError, ScenarioReport,
};

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a test waits for anything before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A loopback address with a port that the system chooses.
pub(crate) const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Largest frame or message that a fake reads.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Size of the pieces in which the fakes and clients read from sockets.
pub(crate) const READ_CHUNK_BYTES: usize = 4096;

/// Listens at an address and serves each connection on a thread of its own. What `serve` returns is
/// ignored: a failed connection shows at its client.
pub(crate) fn listen<T>(
    address: &str,
    serve: impl Fn(TcpStream) -> T + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                serve(socket);
            });
        }
    });
    Ok(address)
}

/// The current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
