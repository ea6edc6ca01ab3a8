//! The process of an edge proxy: its start, signals, log and exit.

use crate::child::FAULT_PLAN_VARIABLE;
use crate::deployment;
use crate::plan::FaultKind;
use crate::violation::Rule;
use crate::world::SharedRunState;
use edge_proxy::sys::fault::{ClockStep, Fault, FaultPlan};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// The time that a process has for its shutdown besides the longest deadline that a restart waits
/// for: 700 ms for its own work and 500 ms for a busy machine.
const SHUTDOWN_ALLOWANCE_MS: u64 = 700 + 500;

/// The interval at which the process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The process of an edge proxy, with the folder of its files.
pub struct ProxyProcess {
    proxy: usize,
    run_state: SharedRunState,
    folder: PathBuf,
    child: Option<Child>,
    start_count: u32,
}

impl ProxyProcess {
    /// Creates a proxy without a process. `folder` is the folder of the run.
    pub fn new(run_state: &SharedRunState, proxy: usize, folder: &Path) -> Self {
        ProxyProcess {
            proxy,
            run_state: run_state.clone(),
            folder: folder.to_owned(),
            child: None,
            start_count: 0,
        }
    }

    /// Returns the path of the proxy's configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.proxy))
    }

    /// Returns the configuration with which the proxy would start now.
    pub fn config(&self, uses_second_bus: bool) -> Value {
        let run_state = self.run_state.borrow();
        let seed = run_state.plan.seed.wrapping_mul(1_000) + u64::from(self.start_count);
        deployment::proxy_config_document(
            run_state.slot,
            self.proxy,
            &run_state.plan,
            seed.wrapping_add(self.proxy as u64 * 100_000),
            uses_second_bus,
            run_state.known_events(),
        )
    }

    /// Starts a process. Returns an error if its files can't be written or the program can't be
    /// started.
    pub fn start(&mut self, uses_second_bus: bool) -> io::Result<()> {
        self.start_count += 1;
        std::fs::write(self.config_path(), self.config(uses_second_bus).to_string())?;
        {
            let mut run_state = self.run_state.borrow_mut();
            let known_event_count = run_state.events.len();
            run_state.record_delivery(self.proxy, known_event_count);
        }
        let slot = self.run_state.borrow().slot;
        let purge_log = self.folder.join(format!("n{}.purges", self.proxy));
        let interconnect = deployment::interconnect_document(slot, self.proxy, &purge_log);
        let interconnect_path = self.folder.join(format!("n{}.cdni.json", self.proxy));
        std::fs::write(&interconnect_path, interconnect.to_string())?;
        let log = format!("n{}.{}.log", self.proxy, self.start_count);
        let log = File::create(self.folder.join(log))?;
        let child = Command::new(std::env::current_exe()?)
            .arg("proxy")
            .env("ROUTER_CONFIG", self.config_path())
            .env("EDGE_PROXY_INTERCONNECT", interconnect_path)
            .env("RUST_LOG", "debug")
            .env(FAULT_PLAN_VARIABLE, self.fault_plan()?)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.run_state.borrow_mut().counts.processes += 1;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the faults of this proxy's system calls and clock as JSON, with times relative to
    /// now.
    fn fault_plan(&self) -> io::Result<String> {
        let run_state = self.run_state.borrow();
        let now_ms = run_state.now_ms();
        let mut plan = FaultPlan {
            seed: run_state.plan.seed ^ (u64::from(self.start_count) << 40),
            ..FaultPlan::default()
        };
        for fault in &run_state.plan.faults {
            let from_ms = fault.from_ms.saturating_sub(now_ms);
            match fault.kind {
                FaultKind::SystemCallFault {
                    proxy,
                    call,
                    effect,
                    one_in,
                } if proxy == self.proxy => plan.faults.push(Fault {
                    call,
                    effect,
                    from_ms,
                    until_ms: fault.until_ms.saturating_sub(now_ms),
                    skip: 0,
                    one_in,
                    limit: u32::MAX,
                }),
                // The clock is stepped when the fault begins, and stepped back when it ends.
                FaultKind::ClockStep { proxy, by_ms } if proxy == self.proxy => {
                    let at_ms = fault.until_ms.saturating_sub(now_ms);
                    if at_ms > 0 {
                        let step_away = ClockStep {
                            at_ms: from_ms,
                            by_ms,
                        };
                        let step_back = ClockStep {
                            at_ms,
                            by_ms: -by_ms,
                        };
                        plan.clock_steps.extend([step_away, step_back]);
                    }
                }
                _ => {}
            }
        }
        serde_json::to_string(&plan).map_err(io::Error::other)
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            // Errors are ignored: the process may have exited, which `check_running` detects.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL.
    pub async fn kill(&mut self) {
        self.run_state.borrow_mut().record_abrupt_exit(self.proxy);
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited by itself.
            let _ = child.kill().await;
        }
    }

    /// Waits for the exit of a process that got SIGTERM, and kills the process if it does not exit
    /// in time. Reports a violation for a late exit, and for an exit with an error unless
    /// `is_abort_planned`.
    pub async fn wait_for_exit(&mut self, is_abort_planned: bool) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let deadline_ms = self.run_state.borrow().plan.longest_deadline_ms;
        let shutdown_limit_ms =
            deadline_ms.min(deployment::MAX_RESTART_DEADLINE_MS) + SHUTDOWN_ALLOWANCE_MS;
        let exit_status = timeout(Duration::from_millis(shutdown_limit_ms), child.wait()).await;
        let mut run_state = self.run_state.borrow_mut();
        match exit_status {
            Ok(Ok(status)) if status.success() => {}
            Ok(Ok(_)) if is_abort_planned => run_state.record_abrupt_exit(self.proxy),
            Ok(Ok(status)) => self.report_crash(&mut run_state, status),
            _ => {
                let detail = format!(
                    "the process was still running {shutdown_limit_ms} ms \
                     after SIGTERM and was killed"
                );
                run_state.report(Rule::Shutdown, Some(self.proxy), detail);
            }
        }
    }

    /// Sleeps after SIGTERM. If the process aborts as planned during that time, the exit is
    /// recorded as soon as it happens.
    pub async fn sleep(&mut self, duration: Duration, is_abort_planned: bool) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            sleep(POLL_INTERVAL).await;
            let exit_status = self.child.as_mut().and_then(|child| child.try_wait().ok()?);
            if is_abort_planned && exit_status.is_some_and(|status| !status.success()) {
                self.child = None;
                self.run_state.borrow_mut().record_abrupt_exit(self.proxy);
            }
        }
    }

    /// Returns whether the process is running. Records the exit of a process that ended without a
    /// signal from the run, and reports a violation unless `is_abort_planned`.
    pub fn check_running(&mut self, is_abort_planned: bool) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        self.child = None;
        let mut run_state = self.run_state.borrow_mut();
        if is_abort_planned {
            run_state.record_abrupt_exit(self.proxy);
        } else {
            self.report_crash(&mut run_state, status);
        }
        false
    }

    fn report_crash(&self, run_state: &mut crate::world::RunState, status: ExitStatus) {
        run_state.report(
            Rule::Crash,
            Some(self.proxy),
            format!("the process ended unexpectedly: {status}"),
        );
    }
}
