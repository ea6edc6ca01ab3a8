//! The process of an edge proxy: starting it, signals, its log, and how it ends.

use crate::child::FAULT_PLAN_VARIABLE;
use crate::deployment;
use crate::plan::TroubleKind;
use crate::violation::Rule;
use crate::world::SharedWorld;
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

/// From SIGTERM a process has the longest deadline, up to a bound, this, and the time that a busy
/// machine adds.
const END_AFTER_MS: u64 = 700 + 500;

/// A process is looked at this often.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A process of an edge proxy, and where it keeps its files.
pub struct ProxyProcess {
    proxy: usize,
    world: SharedWorld,
    folder: PathBuf,
    child: Option<Child>,
    incarnation: u32,
}

impl ProxyProcess {
    /// No process yet; `folder` is the run's own.
    pub fn new(world: &SharedWorld, proxy: usize, folder: &Path) -> Self {
        ProxyProcess {
            proxy,
            world: world.clone(),
            folder: folder.to_owned(),
            child: None,
            incarnation: 0,
        }
    }

    /// Where the configuration is.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join(format!("n{}.json", self.proxy))
    }

    /// The configuration that the proxy would start with now.
    pub fn config(&self, on_second_bus: bool) -> Value {
        let world = self.world.borrow();
        let seed = world.plan.seed.wrapping_mul(1_000) + u64::from(self.incarnation);
        deployment::proxy_config(
            world.slot,
            self.proxy,
            &world.plan,
            seed.wrapping_add(self.proxy as u64 * 100_000),
            on_second_bus,
            world.known_events(),
        )
    }

    /// Starts a process.
    pub fn start(&mut self, on_second_bus: bool) -> io::Result<()> {
        self.incarnation += 1;
        std::fs::write(self.config_path(), self.config(on_second_bus).to_string())?;
        {
            let mut world = self.world.borrow_mut();
            let known = world.events.len();
            world.note_told(self.proxy, known);
        }
        let slot = self.world.borrow().slot;
        let purge_log = self.folder.join(format!("n{}.purges", self.proxy));
        let interconnect = deployment::interconnect_file(slot, self.proxy, &purge_log);
        let interconnect_path = self.folder.join(format!("n{}.cdni.json", self.proxy));
        std::fs::write(&interconnect_path, interconnect.to_string())?;
        let log = format!("n{}.{}.log", self.proxy, self.incarnation);
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
        self.world.borrow_mut().counts.processes += 1;
        self.child = Some(child);
        Ok(())
    }

    /// The faults of this proxy's system calls and clock, counted from now.
    fn fault_plan(&self) -> io::Result<String> {
        let world = self.world.borrow();
        let now_ms = world.now_ms();
        let mut plan = FaultPlan {
            seed: world.plan.seed ^ (u64::from(self.incarnation) << 40),
            ..FaultPlan::default()
        };
        for trouble in &world.plan.troubles {
            let from_ms = trouble.from_ms.saturating_sub(now_ms);
            match trouble.kind {
                TroubleKind::SystemCalls {
                    proxy,
                    call,
                    effect,
                    one_in,
                } if proxy == self.proxy => plan.faults.push(Fault {
                    call,
                    effect,
                    from_ms,
                    until_ms: trouble.until_ms.saturating_sub(now_ms),
                    skip: 0,
                    one_in,
                    limit: u32::MAX,
                }),
                // The clock goes wrong, and is put right at the end of the trouble.
                TroubleKind::ClockStep { proxy, by_ms } if proxy == self.proxy => {
                    let at_ms = trouble.until_ms.saturating_sub(now_ms);
                    if at_ms > 0 {
                        let wrong = ClockStep {
                            at_ms: from_ms,
                            by_ms,
                        };
                        let right = ClockStep {
                            at_ms,
                            by_ms: -by_ms,
                        };
                        plan.clock_steps.extend([wrong, right]);
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
            // It may have ended by itself, which is found by `check_runs`.
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends the process by SIGKILL.
    pub async fn kill(&mut self) {
        self.world.borrow_mut().note_death(self.proxy);
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill().await;
        }
    }

    /// Waits until a process that got SIGTERM has ended. One that does not is killed. `may_abort`: its
    /// plan has it end itself.
    pub async fn wait_for_end(&mut self, may_abort: bool) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let deadline_ms = self.world.borrow().plan.longest_deadline_ms;
        let within_ms = deadline_ms.min(deployment::MAX_RESTART_DEADLINE_MS) + END_AFTER_MS;
        let ended = timeout(Duration::from_millis(within_ms), child.wait()).await;
        let mut world = self.world.borrow_mut();
        match ended {
            Ok(Ok(status)) if status.success() => {}
            Ok(Ok(_)) if may_abort => world.note_death(self.proxy),
            Ok(Ok(status)) => self.report_crash(&mut world, status),
            _ => {
                let detail = format!("still runs {within_ms} ms after SIGTERM");
                world.report(Rule::Shutdown, Some(self.proxy), detail);
            }
        }
    }

    /// Lets time pass after SIGTERM, and notices at once where the process ends itself by its plan.
    pub async fn sleep(&mut self, duration: Duration, may_abort: bool) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            sleep(LOOK_EVERY).await;
            let ended = self.child.as_mut().and_then(|child| child.try_wait().ok()?);
            if may_abort && ended.is_some_and(|status| !status.success()) {
                self.child = None;
                self.world.borrow_mut().note_death(self.proxy);
            }
        }
    }

    /// Finds a process that has ended though nobody told it to. Returns whether it runs.
    pub fn check_runs(&mut self, may_abort: bool) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        self.child = None;
        let mut world = self.world.borrow_mut();
        if may_abort {
            world.note_death(self.proxy);
        } else {
            self.report_crash(&mut world, status);
        }
        false
    }

    fn report_crash(&self, world: &mut crate::world::World, status: ExitStatus) {
        world.report(Rule::Crash, Some(self.proxy), status.to_string());
    }
}
