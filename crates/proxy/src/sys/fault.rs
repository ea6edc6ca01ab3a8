//! Injection of system call faults according to a seeded plan, for tests and the fault soak.
//!
//! A plan applies to one thread. The event loop of a proxy runs on a single thread, and a test may
//! run several proxies in one process. This module exists only in builds with the feature
//! `fault-injection`.

use super::SystemCall;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Linux error numbers.
pub mod errno {
    /// Interrupted by a signal.
    pub const EINTR: i32 = 4;
    /// I/O error of the device.
    pub const EIO: i32 = 5;
    /// Out of memory.
    pub const ENOMEM: i32 = 12;
    /// The system has no free file descriptor.
    pub const ENFILE: i32 = 23;
    /// The process has no free file descriptor.
    pub const EMFILE: i32 = 24;
    /// No space is left on the device.
    pub const ENOSPC: i32 = 28;
    /// No local port is free.
    pub const EADDRNOTAVAIL: i32 = 99;
    /// No route to the network.
    pub const ENETUNREACH: i32 = 101;
    /// A connection was aborted before it was accepted.
    pub const ECONNABORTED: i32 = 103;
    /// No buffer space is available.
    pub const ENOBUFS: i32 = 105;
    /// The peer did not acknowledge in time.
    pub const ETIMEDOUT: i32 = 110;
    /// No route to the host.
    pub const EHOSTUNREACH: i32 = 113;
}

/// The effect of a fault on a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The call is not made and returns this error number.
    Error(i32),
    /// The call transfers at most this many bytes.
    Short(usize),
    /// The call transfers at most this many bytes, and the next call of the same kind aborts the
    /// process, as SIGKILL would in the middle of a write.
    ShortThenAbort(usize),
    /// The call is not made and the process aborts.
    Abort,
}

/// A fault that is injected into system calls of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind of system call.
    pub call: SystemCall,
    /// The effect on an affected call.
    pub effect: Effect,
    /// Start of the time in which calls are affected, in milliseconds since the injector was
    /// created.
    pub from_ms: u64,
    /// End of the time in which calls are affected, in milliseconds since the injector was created.
    /// Exclusive.
    pub until_ms: u64,
    /// Number of calls that are let through before the first call is affected. Only calls that the
    /// other conditions select are counted.
    #[serde(default)]
    pub skip: u32,
    /// One call in this many is affected, chosen at random by the plan's seed. 1 affects every
    /// call.
    pub one_in: u32,
    /// Maximum number of calls that are affected.
    pub limit: u32,
}

impl Fault {
    /// Returns a fault that affects the next `limit` calls of a kind.
    pub fn for_next_calls(limit: u32, call: SystemCall, effect: Effect) -> Self {
        Fault {
            call,
            effect,
            from_ms: 0,
            until_ms: u64::MAX,
            skip: 0,
            one_in: 1,
            limit,
        }
    }
}

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStep {
    /// Time of the step, in milliseconds since the injector was created. With 0, the clock is wrong
    /// from the start.
    pub at_ms: u64,
    /// Size of the step in milliseconds. A negative step sets the clock back.
    pub by_ms: i64,
}

/// The system call faults and wall clock steps that are injected into one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// Seed of the random choices for [`Fault::one_in`].
    pub seed: u64,
    /// The faults. The first one that matches a call applies.
    pub faults: Vec<Fault>,
    /// The steps of the wall clock.
    pub clock_steps: Vec<ClockStep>,
}

/// The plan of an injector and what has been injected so far.
struct InjectorState {
    plan: FaultPlan,
    random_state: u64,
    /// Number of affected calls by kind of call.
    injected_counts: BTreeMap<SystemCall, u64>,
}

/// Injects the faults of a plan. Clones share the plan, so that one thread can change the plan of
/// another and read its counts.
#[derive(Clone)]
pub struct FaultInjector {
    created_at: Instant,
    state: Arc<Mutex<InjectorState>>,
}

thread_local! {
    static CURRENT_INJECTOR: RefCell<Option<FaultInjector>> = const { RefCell::new(None) };
}

impl FaultInjector {
    /// Creates an injector. The times of the plan count from now.
    pub fn new(plan: FaultPlan) -> Self {
        FaultInjector {
            created_at: Instant::now(),
            state: Arc::new(Mutex::new(InjectorState {
                random_state: plan.seed | 1,
                plan,
                injected_counts: BTreeMap::new(),
            })),
        }
    }

    /// Starts to inject faults into the system calls of the current thread.
    pub fn install(&self) {
        CURRENT_INJECTOR.set(Some(self.clone()));
    }

    /// Adds a fault. Its times count from the creation of the injector.
    pub fn add(&self, fault: Fault) {
        self.state().plan.faults.push(fault);
    }

    /// Removes all faults for a kind of system call.
    pub fn remove_faults(&self, call: SystemCall) {
        self.state().plan.faults.retain(|fault| fault.call != call);
    }

    /// Returns the number of calls that were affected so far, by kind of call.
    pub fn injected_counts(&self) -> BTreeMap<SystemCall, u64> {
        self.state().injected_counts.clone()
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    fn next_effect(&self, call: SystemCall) -> Option<Effect> {
        let now_ms = self.elapsed_ms();
        let mut state = self.state();
        let InjectorState {
            plan,
            random_state,
            injected_counts,
        } = &mut *state;
        let fault = plan.faults.iter_mut().find(|fault| {
            fault.call == call
                && fault.limit > 0
                && (fault.from_ms..fault.until_ms).contains(&now_ms)
                && next_random(random_state) % u64::from(fault.one_in.max(1)) == 0
        })?;
        if fault.skip > 0 {
            fault.skip -= 1;
            return None;
        }
        let effect = fault.effect;
        fault.limit -= 1;
        if let Effect::ShortThenAbort(_) = effect {
            *fault = Fault::for_next_calls(1, call, Effect::Abort);
        }
        *injected_counts.entry(call).or_default() += 1;
        Some(effect)
    }
}

/// Returns the next number of a xorshift generator, without its low bits, which are the least
/// random.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 11
}

/// Applies the current thread's plan to a call. Returns the injected error, or the maximum number
/// of bytes that the call may transfer, or None if the plan does not affect the call.
pub(super) fn intercept(call: SystemCall) -> io::Result<Option<usize>> {
    let effect = CURRENT_INJECTOR.with_borrow(|injector| injector.as_ref()?.next_effect(call));
    match effect {
        None => Ok(None),
        Some(Effect::Error(errno)) => Err(io::Error::from_raw_os_error(errno)),
        Some(Effect::Short(bytes) | Effect::ShortThenAbort(bytes)) => Ok(Some(bytes.max(1))),
        Some(Effect::Abort) => std::process::abort(),
    }
}

/// Returns the current offset of the current thread's wall clock in microseconds, which is the sum
/// of all steps so far. Returns 0 without a plan.
pub(super) fn clock_offset_us() -> i64 {
    CURRENT_INJECTOR.with_borrow(|injector| {
        let Some(injector) = injector else {
            return 0;
        };
        let now_ms = injector.elapsed_ms();
        let state = injector.state();
        let steps = state.plan.clock_steps.iter();
        let past_steps = steps.filter(|step| step.at_ms <= now_ms);
        past_steps.map(|step| step.by_ms * 1000).sum()
    })
}
