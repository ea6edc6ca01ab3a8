//! Runs the proxy program as a process.

use crate::TEST_TIMEOUT;
use serde_json::Value;
use std::fs;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

/// The text before the address of the FastCGI interface in the proxy's log.
const FASTCGI_ADDRESS_PREFIX: &str = " listens on ";
/// The text before the address of the interconnect interface in the proxy's log.
const INTERCONNECT_ADDRESS_PREFIX: &str = "peer CDNs connect to ";

/// The name of the line of `/proc/PID/status` with the memory that belongs to the process alone.
const OWN_MEMORY_LINE: &str = "RssAnon:";

/// The reason why the proxy's process could not be started or observed.
#[derive(Debug, thiserror::Error)]
pub enum ProxyProcessError {
    /// A file or the process could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The proxy's process was started without a pipe for its standard error.
    #[error("the proxy's log cannot be read because its standard error is not piped")]
    NoLog,
    /// The proxy exited, or its log did not name its listen addresses in time.
    #[error("the proxy exited or did not log its listen addresses within {TEST_TIMEOUT:?}")]
    NotListening,
    /// The proxy did not log a line with this text in time.
    #[error("the proxy logged no line with the text {0:?} within {TEST_TIMEOUT:?}")]
    NoLogLine(String),
    /// The process has ended, or its memory is not reported.
    #[error("the memory of the proxy's process is unknown, probably because it has ended")]
    NoMemoryFigure,
}

/// A running proxy process, which is killed when this is dropped.
pub struct ProxyProcess {
    child: Child,
    /// Address on which the proxy accepts web servers.
    pub fastcgi_address: SocketAddr,
    /// Address on which the proxy accepts peer CDNs. `None` without an interconnect.
    pub interconnect_address: Option<SocketAddr>,
    log_lines: mpsc::Receiver<String>,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // Errors are ignored because the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ProxyProcess {
    /// Starts the program with a configuration, and waits until it listens on all its interfaces.
    /// `interconnect` is the configuration of the interconnect, if there is one.
    pub fn start(
        program: &Path,
        config: &Value,
        interconnect: Option<&Value>,
    ) -> Result<Self, ProxyProcessError> {
        let files = ConfigFiles::write(config, interconnect)?;
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", &files.proxy);
        if let Some(path) = &files.interconnect {
            command.env("EDGE_PROXY_INTERCONNECT", path);
        }
        let mut child = command
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child.stderr.take().ok_or(ProxyProcessError::NoLog)?;
        let log_lines = spawn_log_reader(log);
        let (mut fastcgi_address, mut interconnect_address) = (None, None);
        loop {
            let is_complete = interconnect_address.is_some() || interconnect.is_none();
            if let Some(fastcgi_address) = fastcgi_address.filter(|_| is_complete) {
                return Ok(ProxyProcess {
                    child,
                    fastcgi_address,
                    interconnect_address,
                    log_lines,
                });
            }
            let line = log_lines
                .recv_timeout(TEST_TIMEOUT)
                .map_err(|_| ProxyProcessError::NotListening)?;
            let address_after = |prefix: &str| line.split_once(prefix)?.1.trim().parse().ok();
            fastcgi_address = fastcgi_address.or(address_after(FASTCGI_ADDRESS_PREFIX));
            interconnect_address =
                interconnect_address.or(address_after(INTERCONNECT_ADDRESS_PREFIX));
        }
    }

    /// Waits for a line of the log that contains a text. Returns what follows the text in the line.
    /// Drops the lines before it.
    pub fn wait_for_log_line(&self, text: &str) -> Result<String, ProxyProcessError> {
        loop {
            let line = self
                .log_lines
                .recv_timeout(TEST_TIMEOUT)
                .map_err(|_| ProxyProcessError::NoLogLine(text.to_owned()))?;
            if let Some((_, rest)) = line.split_once(text) {
                return Ok(rest.to_owned());
            }
        }
    }

    /// Returns the memory that belongs to the process alone, in KiB. Files and the kernel's socket
    /// buffers are not included.
    pub fn own_memory_kib(&self) -> Result<u64, ProxyProcessError> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find(|line| line.starts_with(OWN_MEMORY_LINE));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .ok_or(ProxyProcessError::NoMemoryFigure)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> io::Result<()> {
        // The standard library cannot send SIGTERM, so the shell's `kill` sends it.
        Command::new("sh")
            .arg("-c")
            .arg(format!("kill -TERM {}", self.child.id()))
            .status()?;
        Ok(())
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}

/// Reads the proxy's log on a thread and sends its lines. The thread reads to the end of the log,
/// because a full pipe would block the proxy.
fn spawn_log_reader(log: impl Read + Send + 'static) -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            // The receiver may be gone.
            let _ = sender.send(line);
        }
    });
    lines
}

/// The proxy's configuration files in a temporary directory, which is removed when this is dropped.
struct ConfigFiles {
    directory: PathBuf,
    proxy: PathBuf,
    interconnect: Option<PathBuf>,
}

impl ConfigFiles {
    fn write(config: &Value, interconnect: Option<&Value>) -> io::Result<Self> {
        // Several processes may be started by one program at the same time.
        static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);
        let directory = std::env::temp_dir().join(format!(
            "edge-proxy-process-{}-{}",
            std::process::id(),
            NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed)
        ));
        fs::create_dir_all(&directory)?;
        let files = ConfigFiles {
            proxy: directory.join("config.json"),
            interconnect: interconnect.map(|_| directory.join("interconnect.json")),
            directory,
        };
        fs::write(&files.proxy, config.to_string())?;
        if let (Some(path), Some(content)) = (&files.interconnect, interconnect) {
            fs::write(path, content.to_string())?;
        }
        Ok(files)
    }
}

impl Drop for ConfigFiles {
    fn drop(&mut self) {
        // An error is ignored because a leftover temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.directory);
    }
}
