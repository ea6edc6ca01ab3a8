//! Runs the proxy program as a process, with the configuration of the scenario.

use super::ScenarioError;
use crate::sample_deployment::{interconnect_config_with_peer, sample_settings};
use crate::TEST_TIMEOUT;
use serde_json::{json, Value};
use std::fs;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;

/// The text before the address of the FastCGI interface in the proxy's log.
const FASTCGI_ADDRESS_PREFIX: &str = " listens on ";
/// The text before the address of the interconnect interface in the proxy's log.
const INTERCONNECT_ADDRESS_PREFIX: &str = "peer CDNs connect to ";

/// A running proxy process, which is killed when this is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    /// Address on which the proxy accepts web servers.
    pub(super) fastcgi_address: SocketAddr,
    /// Address on which the proxy accepts peer CDNs.
    pub(super) interconnect_address: SocketAddr,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // Errors are ignored because the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProxyProcess {
    /// Starts the program and waits until it listens on both interfaces. Returns an error if it
    /// exits or does not log both addresses in time.
    pub(super) fn start(
        program: &Path,
        event_bus: SocketAddr,
        peer_cdn: SocketAddr,
    ) -> Result<Self, ScenarioError> {
        let files = ConfigFiles::write(event_bus, peer_cdn)?;
        let mut child = Command::new(program)
            .env("ROUTER_CONFIG", &files.proxy)
            .env("EDGE_PROXY_INTERCONNECT", &files.interconnect)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child.stderr.take().ok_or(ScenarioError::NoLog)?;
        let addresses = spawn_log_reader(log);
        let (mut fastcgi_address, mut interconnect_address) = (None, None);
        loop {
            if let (Some(fastcgi_address), Some(interconnect_address)) =
                (fastcgi_address, interconnect_address)
            {
                return Ok(ProxyProcess {
                    child,
                    fastcgi_address,
                    interconnect_address,
                });
            }
            match addresses.recv_timeout(TEST_TIMEOUT) {
                Ok(ListenAddress::FastCgi(address)) => fastcgi_address = Some(address),
                Ok(ListenAddress::Interconnect(address)) => interconnect_address = Some(address),
                Err(_) => return Err(ScenarioError::NotListening),
            }
        }
    }

    /// Sends SIGTERM to the process.
    pub(super) fn terminate(&self) -> io::Result<()> {
        // The standard library cannot send SIGTERM, so the shell's `kill` sends it.
        Command::new("sh")
            .arg("-c")
            .arg(format!("kill -TERM {}", self.child.id()))
            .status()?;
        Ok(())
    }

    /// Waits until the process has exited.
    pub(super) fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}

/// A listen address from the proxy's log.
enum ListenAddress {
    FastCgi(SocketAddr),
    Interconnect(SocketAddr),
}

/// Reads the proxy's log on a thread and sends the listen addresses in it. The thread reads to the
/// end of the log, because a full pipe would block the proxy.
fn spawn_log_reader(log: impl Read + Send + 'static) -> mpsc::Receiver<ListenAddress> {
    let (sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let address_after = |prefix: &str| line.split_once(prefix)?.1.trim().parse().ok();
            let found = [
                address_after(FASTCGI_ADDRESS_PREFIX).map(ListenAddress::FastCgi),
                address_after(INTERCONNECT_ADDRESS_PREFIX).map(ListenAddress::Interconnect),
            ];
            for address in found.into_iter().flatten() {
                // The receiver is gone once both addresses are known.
                let _ = sender.send(address);
            }
        }
    });
    addresses
}

/// The proxy's configuration files in a temporary directory, which is removed when this is dropped.
struct ConfigFiles {
    directory: PathBuf,
    proxy: PathBuf,
    interconnect: PathBuf,
}

impl ConfigFiles {
    fn write(event_bus: SocketAddr, peer_cdn: SocketAddr) -> io::Result<Self> {
        // The event bus port makes the name unique among concurrent scenarios in one process.
        let directory = std::env::temp_dir().join(format!(
            "edge-loopback-scenario-{}-{}",
            std::process::id(),
            event_bus.port()
        ));
        fs::create_dir_all(&directory)?;
        let files = ConfigFiles {
            proxy: directory.join("config.json"),
            interconnect: directory.join("interconnect.json"),
            directory,
        };
        fs::write(&files.proxy, proxy_config(event_bus).to_string())?;
        let interconnect = json!({"cdni": interconnect_config_with_peer(peer_cdn)});
        fs::write(&files.interconnect, interconnect.to_string())?;
        Ok(files)
    }
}

impl Drop for ConfigFiles {
    fn drop(&mut self) {
        // An error is ignored because a leftover temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn proxy_config(event_bus: SocketAddr) -> Value {
    json!({
        "name": "loopback-scenario",
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "bus": event_bus.to_string(),
        "limits": {"memory_mb": 192, "sockets": 1024},
        "settings": sample_settings(),
    })
}
