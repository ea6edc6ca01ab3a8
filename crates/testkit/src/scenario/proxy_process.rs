//! Starts the proxy's program with a configuration for the scenario.

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

/// What the proxy's log says before the address of its FastCGI interface.
const FASTCGI_ADDRESS_MARK: &str = " listens on ";
/// What the proxy's log says before the address of its interconnect interface.
const INTERCONNECT_ADDRESS_MARK: &str = "peer CDNs connect to ";

/// A running proxy; killed when this is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    /// Where web servers connect.
    pub(super) fastcgi_address: SocketAddr,
    /// Where peer CDNs connect.
    pub(super) interconnect_address: SocketAddr,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // It may have exited before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProxyProcess {
    /// Starts the program, and waits until it listens.
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
        let addresses = watch_log_for_addresses(log);
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

    /// Sends SIGTERM.
    pub(super) fn terminate(&self) -> io::Result<()> {
        // By the shell: the standard library can't send signals.
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

/// An address that the proxy's log names.
enum ListenAddress {
    FastCgi(SocketAddr),
    Interconnect(SocketAddr),
}

/// Reads the log on a thread, to its end: the proxy must never wait for its log to be read.
fn watch_log_for_addresses(log: impl Read + Send + 'static) -> mpsc::Receiver<ListenAddress> {
    let (sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let address_after = |mark: &str| line.split_once(mark)?.1.trim().parse().ok();
            let found = [
                address_after(FASTCGI_ADDRESS_MARK).map(ListenAddress::FastCgi),
                address_after(INTERCONNECT_ADDRESS_MARK).map(ListenAddress::Interconnect),
            ];
            for address in found.into_iter().flatten() {
                // Nobody waits for further addresses once both are known.
                let _ = sender.send(address);
            }
        }
    });
    addresses
}

/// The configuration files in a folder of their own, which is removed when this is dropped.
struct ConfigFiles {
    folder: PathBuf,
    proxy: PathBuf,
    interconnect: PathBuf,
}

impl ConfigFiles {
    fn write(event_bus: SocketAddr, peer_cdn: SocketAddr) -> io::Result<Self> {
        // The port of the event bus tells apart scenarios that run side by side in one process.
        let folder = std::env::temp_dir().join(format!(
            "edge-loopback-scenario-{}-{}",
            std::process::id(),
            event_bus.port()
        ));
        fs::create_dir_all(&folder)?;
        let files = ConfigFiles {
            proxy: folder.join("config.json"),
            interconnect: folder.join("interconnect.json"),
            folder,
        };
        fs::write(&files.proxy, proxy_config(event_bus).to_string())?;
        let interconnect = json!({"cdni": interconnect_config_with_peer(peer_cdn)});
        fs::write(&files.interconnect, interconnect.to_string())?;
        Ok(files)
    }
}

impl Drop for ConfigFiles {
    fn drop(&mut self) {
        // A folder that is left in the temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.folder);
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
