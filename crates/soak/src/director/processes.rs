//! Starts, watches, reloads and ends the processes of the proxies.

use super::{Cluster, Proxy};
use crate::client::ProxyPhase;
use crate::plan::FaultKind;
use crate::proxy_process::ProxyProcess;
use crate::violation::Rule;
use edge_proxy::sys::fault::Effect;
use rustix::process::Signal;
use std::io;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of times that a process that exits before it is ready is started again.
const MAX_RESTARTS_BEFORE_READY: u32 = 10;
/// The delay before a process that exited before it was ready is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long clients go on opening connections after SIGTERM.
const NEW_CONNECTIONS_PERIOD: Duration = Duration::from_millis(300);
/// How long clients go on sending requests on open connections after [`NEW_CONNECTIONS_PERIOD`].
const OPEN_CONNECTIONS_ONLY_PERIOD: Duration = Duration::from_millis(200);
/// The interval at which the run checks whether its processes are running and whether this test
/// program was scheduled in time.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// A check that is late by more than this means that this test program was not scheduled in time.
const STALL_THRESHOLD: Duration = Duration::from_millis(80);
/// How long clients may take to notice that their connections have ended.
const CLIENT_NOTICE_PERIOD: Duration = Duration::from_millis(100);

impl Cluster {
    pub(super) async fn start_proxies(&self) -> io::Result<()> {
        for proxy in self.proxies.iter() {
            // The event bus starts on its first address.
            proxy.process.lock().await.start(false)?;
        }
        for proxy in self.proxies.iter() {
            let mut process = proxy.process.lock().await;
            self.wait_until_ready(proxy, &mut process).await;
            tokio::task::spawn_local(proxy.clients.clone().run());
        }
        Ok(())
    }

    /// Waits until a proxy is ready and lets its clients send requests. A process that exits before
    /// it is ready is started again, up to [`MAX_RESTARTS_BEFORE_READY`] times. Reports a violation
    /// if the proxy is not ready within [`READY_TIMEOUT`].
    async fn wait_until_ready(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        let started_at = Instant::now();
        let mut restarts_left = MAX_RESTARTS_BEFORE_READY;
        while started_at.elapsed() < READY_TIMEOUT {
            if matches!(proxy.clients.health().await, Ok(200)) {
                return proxy.control.phase.set(ProxyPhase::Serving);
            }
            sleep(WATCH_INTERVAL).await;
            if !process.check_running(self.is_abort_planned(proxy.index)) && restarts_left > 0 {
                restarts_left -= 1;
                sleep(RESTART_DELAY).await;
                // A process that can't be started never becomes ready, which is reported below.
                let _ = process.start(proxy.bus.is_second_in_use());
            }
        }
        let detail = format!(
            "the proxy did not become ready within {} s",
            READY_TIMEOUT.as_secs()
        );
        let mut run_state = self.run_state.borrow_mut();
        run_state.report(Rule::Start, Some(proxy.index), detail);
    }

    pub(super) async fn restart(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy
            .shut_down_process(&mut process, self.is_abort_planned(proxy.index))
            .await;
        self.start_next_process(&proxy, &mut process).await;
    }

    pub(super) async fn kill(&self, proxy: usize) {
        let proxy = self.proxies[proxy].clone();
        let mut process = proxy.process.lock().await;
        proxy.control.phase.set(ProxyPhase::Down);
        process.kill().await;
        self.start_next_process(&proxy, &mut process).await;
    }

    /// Starts a process for a proxy whose previous process has ended, unless the run is over.
    async fn start_next_process(&self, proxy: &Proxy, process: &mut ProxyProcess) {
        if proxy.control.run_is_over.get() {
            return;
        }
        if let Err(error) = process.start(proxy.bus.is_second_in_use()) {
            let mut run_state = self.run_state.borrow_mut();
            run_state.report(
                Rule::Start,
                Some(proxy.index),
                format!("the process could not be started: {error}"),
            );
            return;
        }
        self.wait_until_ready(proxy, process).await;
        self.record_subscription_start(proxy);
    }

    fn record_subscription_start(&self, proxy: &Proxy) {
        *proxy.subscribed_since_ms.borrow_mut() = self.run_state.borrow().now_ms();
    }

    /// Moves the event bus of a proxy to its other address and sends the proxy SIGHUP. The
    /// configuration file may be truncated at that moment.
    pub(super) async fn reload(&self, proxy: usize, truncated_for_ms: Option<u64>) {
        let proxy = self.proxies[proxy].clone();
        let process = proxy.process.lock().await;
        if proxy.control.phase.get() != ProxyPhase::Serving {
            return;
        }
        let uses_second_bus = proxy.bus.switch_address();
        let text = process.config(uses_second_bus).to_string();
        let path = process.config_path();
        let written_bytes = truncated_for_ms.map_or(text.len(), |_| text.len() / 2);
        // Errors are ignored because none is expected: only this run uses the file, and `start` has
        // written it before.
        let _ = std::fs::write(&path, &text[..written_bytes]);
        process.signal(Signal::HUP);
        if let Some(truncated_for_ms) = truncated_for_ms {
            sleep(Duration::from_millis(truncated_for_ms)).await;
            let _ = std::fs::write(&path, &text);
        }
        self.record_subscription_start(&proxy);
    }

    /// Restarts processes that have exited by themselves, and records when this test program was
    /// not scheduled in time.
    pub(super) async fn watch(self) {
        loop {
            let sleep_started_at = Instant::now();
            sleep(WATCH_INTERVAL).await;
            if sleep_started_at.elapsed() > WATCH_INTERVAL + STALL_THRESHOLD {
                let mut run_state = self.run_state.borrow_mut();
                let now_ms = run_state.now_ms();
                run_state.harness_stalls_ms.push(now_ms);
                run_state.counts.harness_stalls += 1;
            }
            for proxy in self.proxies.iter() {
                let Ok(mut process) = proxy.process.try_lock() else {
                    continue;
                };
                if process.check_running(self.is_abort_planned(proxy.index)) {
                    continue;
                }
                proxy.control.phase.set(ProxyPhase::Down);
                drop(process);
                let (cluster, proxy) = (self.clone(), proxy.clone());
                tokio::task::spawn_local(async move {
                    let mut process = proxy.process.lock().await;
                    cluster.start_next_process(&proxy, &mut process).await;
                });
            }
        }
    }

    /// Returns whether the plan makes the process of a proxy abort in the middle of a write.
    fn is_abort_planned(&self, proxy: usize) -> bool {
        let run_state = self.run_state.borrow();
        run_state.plan.faults.iter().any(|fault| {
            matches!(
                fault.kind,
                FaultKind::SystemCallFault {
                    proxy: faulty_proxy,
                    effect: Effect::ShortThenAbort(_),
                    ..
                } if faulty_proxy == proxy
            )
        })
    }

    /// Shuts down all processes as in a planned restart, with requests pending.
    pub(super) async fn shut_down_proxies(&self) {
        let mut shutdowns = Vec::new();
        for proxy in self.proxies.iter().cloned() {
            let is_abort_planned = self.is_abort_planned(proxy.index);
            shutdowns.push(tokio::task::spawn_local(async move {
                proxy.control.run_is_over.set(true);
                let mut process = proxy.process.lock().await;
                proxy
                    .shut_down_process(&mut process, is_abort_planned)
                    .await;
            }));
        }
        for task in shutdowns {
            // The result is ignored: tasks of the run do not panic, and no one aborts them.
            let _ = task.await;
        }
        sleep(CLIENT_NOTICE_PERIOD).await;
    }
}

impl Proxy {
    /// Sends SIGTERM and waits for the exit. Requests continue to arrive for a while after the
    /// signal.
    async fn shut_down_process(&self, process: &mut ProxyProcess, is_abort_planned: bool) {
        self.control.phase.set(ProxyPhase::ShuttingDown);
        process.signal(Signal::TERM);
        process
            .watch_for_abort(NEW_CONNECTIONS_PERIOD, is_abort_planned)
            .await;
        self.control.phase.set(ProxyPhase::OpenConnectionsOnly);
        process
            .watch_for_abort(OPEN_CONNECTIONS_ONLY_PERIOD, is_abort_planned)
            .await;
        self.control.phase.set(ProxyPhase::NoNewRequests);
        process.wait_for_exit(is_abort_planned).await;
        self.control.phase.set(ProxyPhase::Down);
    }
}
