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

/// Time that a process has for its shutdown in addition to the longest deadline of its pending
/// requests, which is limited to `MAX_RESTART_DEADLINE_MS`. It consists of 700 ms for the process's
/// own work and 500 ms for delays on a busy machine.
const SHUTDOWN_ALLOWANCE_MS: u64 = 700 + 500;

/// Interval at which `watch_for_abort` checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The process of an edge proxy, with the folder of the run, which contains its files.
pub struct ProxyProcess {
    proxy_index: usize,
    run_state: SharedRunState,
    folder: PathBuf,
    child: Option<Child>,
    start_count: u32,
}

impl ProxyProcess {
    /// Creates the state of a proxy whose process is not started yet. `proxy_index` is the index of
    /// the proxy in the run and `folder` is the folder of the run.
    pub fn new(run_state: &SharedRunState, proxy_index: usize, folder: &Path) -> Self {
        ProxyProcess {
            proxy_index,
            run_state: run_state.clone(),
            folder: folder.to_owned(),
            child: None,
            start_count: 0,
        }
    }

    /// Returns the path of the proxy's configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.proxy_index))
    }

    /// Returns the configuration with which the proxy would start now. The event bus of the proxy
    /// has two addresses. `uses_second_bus` selects the second one.
    pub fn config(&self, uses_second_bus: bool) -> Value {
        let run_state = self.run_state.borrow();
        let seed = run_state.plan.seed.wrapping_mul(1_000) + u64::from(self.start_count);
        deployment::proxy_config_document(
            run_state.slot,
            self.proxy_index,
            &run_state.plan,
            seed.wrapping_add(self.proxy_index as u64 * 100_000),
            uses_second_bus,
            run_state.known_events(),
        )
    }

    /// Starts a process. Returns an error if its files can't be written or the program can't be
    /// started.
    pub fn start(&mut self, uses_second_bus: bool) -> io::Result<()> {
        self.start_count += 1;
        // The configuration file contains all events so far, so they count as delivered.
        std::fs::write(self.config_path(), self.config(uses_second_bus).to_string())?;
        {
            let mut run_state = self.run_state.borrow_mut();
            let known_event_count = run_state.events.len();
            run_state.record_delivery(self.proxy_index, known_event_count);
        }
        let slot = self.run_state.borrow().slot;
        let purge_log = self.folder.join(format!("n{}.purges", self.proxy_index));
        let interconnect = deployment::interconnect_document(slot, self.proxy_index, &purge_log);
        let interconnect_path = self.folder.join(format!("n{}.cdni.json", self.proxy_index));
        std::fs::write(&interconnect_path, interconnect.to_string())?;
        let log = format!("n{}.{}.log", self.proxy_index, self.start_count);
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

    /// Returns the planned faults of this proxy's system calls and clock as JSON. Their times are
    /// relative to the present time of the run.
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
                } if proxy == self.proxy_index => plan.faults.push(Fault {
                    call,
                    effect,
                    from_ms,
                    until_ms: fault.until_ms.saturating_sub(now_ms),
                    skip: 0,
                    one_in,
                    limit: u32::MAX,
                }),
                // The clock is stepped when the fault begins, and stepped back when it ends.
                FaultKind::ClockStep { proxy, by_ms } if proxy == self.proxy_index => {
                    let step_back_at_ms = fault.until_ms.saturating_sub(now_ms);
                    if step_back_at_ms > 0 {
                        let first_step = ClockStep {
                            at_ms: from_ms,
                            by_ms,
                        };
                        let step_back = ClockStep {
                            at_ms: step_back_at_ms,
                            by_ms: -by_ms,
                        };
                        plan.clock_steps.extend([first_step, step_back]);
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
        self.run_state
            .borrow_mut()
            .record_abrupt_exit(self.proxy_index);
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited by itself.
            let _ = child.kill().await;
        }
    }

    /// Waits for the exit of a process that received SIGTERM. A process that does not exit in time
    /// is killed, because dropping a child kills it (`kill_on_drop`). Reports a violation for a
    /// late exit, and for an exit with an error unless `is_abort_planned`, which states that the
    /// plan of the run makes the process abort in the middle of a write.
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
            Ok(Ok(_)) if is_abort_planned => run_state.record_abrupt_exit(self.proxy_index),
            Ok(Ok(status)) => self.report_crash(&mut run_state, status),
            _ => {
                let detail = format!(
                    "the process was still running {shutdown_limit_ms} ms \
                     after SIGTERM and was killed"
                );
                run_state.report(Rule::Shutdown, Some(self.proxy_index), detail);
            }
        }
    }

    /// Waits for a fixed time after SIGTERM. If the plan of the run makes the process abort
    /// (`is_abort_planned`) and it does so during this time, records the abort at once.
    pub async fn watch_for_abort(&mut self, duration: Duration, is_abort_planned: bool) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            sleep(EXIT_POLL_INTERVAL).await;
            let exit_status = self.child.as_mut().and_then(|child| child.try_wait().ok()?);
            if is_abort_planned && exit_status.is_some_and(|status| !status.success()) {
                self.child = None;
                self.run_state
                    .borrow_mut()
                    .record_abrupt_exit(self.proxy_index);
            }
        }
    }

    /// Returns whether the process is running. If the process has ended without a signal from the
    /// run, records an abrupt exit if `is_abort_planned`, and otherwise reports a violation.
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
            run_state.record_abrupt_exit(self.proxy_index);
        } else {
            self.report_crash(&mut run_state, status);
        }
        false
    }

    fn report_crash(&self, run_state: &mut crate::world::RunState, status: ExitStatus) {
        run_state.report(
            Rule::Crash,
            Some(self.proxy_index),
            format!("the process ended unexpectedly: {status}"),
        );
    }
}
