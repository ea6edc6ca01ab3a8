//! A proxy process, started with the command `run` of the deploy file.

use crate::fcgi;
use crate::json::Config;
use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Proxy {
    child: Child,
    pub address: String,
    pub config_path: PathBuf,
    pub log_path: PathBuf,
}

/// A port of 127.0.0.1 that is free at this moment.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap().to_string()
}

/// The folder for the files of this run, from `WORK` (a temporary folder that `run.sh` makes).
pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").expect("WORK names a temporary folder"))
}

/// The root of the repository, from `ROOT`.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"))
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("the key run");
    line.trim_start_matches("run = ")
        .trim()
        .trim_matches('"')
        .to_owned()
}

impl Proxy {
    /// Starts a proxy and waits until it answers the health check with status 200.
    pub fn start(config: &Config) -> Result<Proxy, String> {
        let folder = work_folder();
        let config_path = folder.join(format!("{}.json", config.name));
        let log_path = folder.join(format!("{}.log", config.name));
        let tmp = folder.join(format!("{}.tmp", config.name));
        fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        write(&config_path, &config.json())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("ROUTER_NAME", config.name)
            .env("ROUTER_LISTEN", config.listen)
            .env("ROUTER_CONFIG", &config_path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let proxy = Proxy {
            child,
            address: config.listen.to_owned(),
            config_path,
            log_path,
        };
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if fcgi::health(&proxy.address) {
                return Ok(proxy);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready after 30 s", config.name))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, as in `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// A field of /proc/PID/status in KB, as in `VmHWM`.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with(field))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}
