//! Test support for the edge proxy.
//!
//! - [`fake_cache`], [`scripted_server`], [`fake_event_bus`], [`fake_consul`] and [`fake_peer_cdn`]
//!   are fakes of the systems around the proxy. They listen on loopback.
//! - [`fastcgi_client`] sends requests as a web server does, [`http_client`] as a peer CDN does.
//! - [`proxy_fixture`] runs the proxy's event loop and the fakes inside a test, [`proxy_process`]
//!   the proxy program as a process of its own.
//! - [`sample_deployment`] defines the settings, configuration and object keys that the tests, the
//!   fakes and the clients share.
//! - [`memory_load`] plays loads that are made to exhaust the memory of a proxy process.
//! - [`run_scenario`] runs the proxy program through a purge, a drain and a shutdown, and reports
//!   every violation of a [`Rule`].

pub mod fake_cache;
pub mod fake_consul;
pub mod fake_event_bus;
pub mod fake_peer_cdn;
pub mod fastcgi_client;
pub mod http_client;
pub mod memory_load;
pub mod proxy_fixture;
pub mod proxy_process;
mod received_command;
mod response;
pub mod sample_deployment;
mod scenario;
pub mod scripted_server;

pub use received_command::{ReceivedCommand, COMMAND_STRINGS};
pub use response::Response;
pub use sample_deployment::sample_settings;
pub use scenario::{
    run_scenario, InjectedFault, Rule, RuleViolation, ScenarioError, ScenarioReport,
};

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a test waits for any single event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A loopback address with port 0, for which the operating system chooses a free port.
pub(crate) const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Largest message that a fake or a client reads.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Size of the buffer with which fakes and clients read from sockets.
pub(crate) const READ_CHUNK_BYTES: usize = 4096;

/// Listens on an address, serves each connection on a thread of its own, and returns the address
/// with its actual port. The result of `serve` is ignored, because the client notices if its
/// connection fails.
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

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
