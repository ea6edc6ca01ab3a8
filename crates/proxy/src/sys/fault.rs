//! Faults of system calls by a seeded plan, for tests and the fault soak.
//!
//! A plan belongs to a thread: the event loop of a proxy runs on one, and a test may run several
//! proxies side by side. Only builds with the feature `fault-injection` have this module.

use super::SystemCall;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Error numbers of Linux, as the system calls document them.
pub mod errno {
    /// Interrupted by a signal.
    pub const EINTR: i32 = 4;
    /// An error of the device.
    pub const EIO: i32 = 5;
    /// No memory.
    pub const ENOMEM: i32 = 12;
    /// No descriptor is left in the system.
    pub const ENFILE: i32 = 23;
    /// No descriptor is left in the process.
    pub const EMFILE: i32 = 24;
    /// The device is full.
    pub const ENOSPC: i32 = 28;
    /// No port is left.
    pub const EADDRNOTAVAIL: i32 = 99;
    /// No route.
    pub const ENETUNREACH: i32 = 101;
    /// A connection was ended before it was accepted.
    pub const ECONNABORTED: i32 = 103;
    /// No buffer is left.
    pub const ENOBUFS: i32 = 105;
    /// The peer does not acknowledge.
    pub const ETIMEDOUT: i32 = 110;
    /// No way to the peer.
    pub const EHOSTUNREACH: i32 = 113;
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It fails with this error number, and nothing happens.
    Error(i32),
    /// It moves at most this many bytes.
    Short(usize),
    /// It moves at most this many bytes, and the next call of the same kind ends the process, as
    /// SIGKILL would in the middle of a write.
    ShortThenAbort(usize),
    /// It ends the process at once.
    Abort,
}

/// Calls that are disturbed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Which calls.
    pub call: SystemCall,
    /// What happens to them.
    pub effect: Effect,
    /// From when on, in milliseconds since the plan was installed.
    pub from_ms: u64,
    /// Until when.
    pub until_ms: u64,
    /// So many calls pass first.
    #[serde(default)]
    pub skip: u32,
    /// One in so many calls, drawn by the plan's seed; 1: every call.
    pub one_in: u32,
    /// At most so many calls.
    pub limit: u32,
}

impl Fault {
    /// The next `limit` calls of a kind, from now on.
    pub fn next(limit: u32, call: SystemCall, effect: Effect) -> Self {
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
    /// When, in milliseconds since the plan was installed; 0: the clock is wrong from the start.
    pub at_ms: u64,
    /// By how much, in milliseconds; negative: back.
    pub by_ms: i64,
}

/// Everything that is to go wrong in one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// For the draws of [`Fault::one_in`].
    pub seed: u64,
    /// The faults; the first one that matches a call decides.
    pub faults: Vec<Fault>,
    /// The steps of the wall clock.
    pub clock_steps: Vec<ClockStep>,
}

struct State {
    plan: FaultPlan,
    random: u64,
    injected: BTreeMap<SystemCall, u64>,
}

/// A plan in force, shared by the thread that it disturbs and whoever changes or reads it.
#[derive(Clone)]
pub struct FaultInjector {
    installed_at: Instant,
    state: Arc<Mutex<State>>,
}

thread_local! {
    static INSTALLED: RefCell<Option<FaultInjector>> = const { RefCell::new(None) };
}

impl FaultInjector {
    /// An injector for a plan whose times count from now on.
    pub fn new(plan: FaultPlan) -> Self {
        FaultInjector {
            installed_at: Instant::now(),
            state: Arc::new(Mutex::new(State {
                random: plan.seed | 1,
                plan,
                injected: BTreeMap::new(),
            })),
        }
    }

    /// Disturbs the calls of the present thread from now on.
    pub fn install(&self) {
        INSTALLED.set(Some(self.clone()));
    }

    /// Adds a fault, with its times counted from when the injector was made.
    pub fn add(&self, fault: Fault) {
        self.state().plan.faults.push(fault);
    }

    /// Ends all faults of a kind of call.
    pub fn clear(&self, call: SystemCall) {
        self.state().plan.faults.retain(|fault| fault.call != call);
    }

    /// How many calls of each kind were disturbed so far.
    pub fn injected(&self) -> BTreeMap<SystemCall, u64> {
        self.state().injected.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn elapsed_ms(&self) -> u64 {
        self.installed_at.elapsed().as_millis() as u64
    }

    fn next_effect(&self, call: SystemCall) -> Option<Effect> {
        let now_ms = self.elapsed_ms();
        let mut state = self.state();
        let State {
            plan,
            random,
            injected,
        } = &mut *state;
        let fault = plan.faults.iter_mut().find(|fault| {
            fault.call == call
                && fault.limit > 0
                && (fault.from_ms..fault.until_ms).contains(&now_ms)
                && next_random(random) % u64::from(fault.one_in.max(1)) == 0
        })?;
        if fault.skip > 0 {
            fault.skip -= 1;
            return None;
        }
        let effect = fault.effect;
        fault.limit -= 1;
        if let Effect::ShortThenAbort(_) = effect {
            *fault = Fault::next(1, call, Effect::Abort);
        }
        *injected.entry(call).or_default() += 1;
        Some(effect)
    }
}

/// The next number of a xorshift generator, without its low bits, which are the weakest.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 11
}

/// What the plan of the present thread has for a call.
pub(super) fn intercept(call: SystemCall) -> io::Result<Option<usize>> {
    let effect = INSTALLED.with_borrow(|injector| injector.as_ref()?.next_effect(call));
    match effect {
        None => Ok(None),
        Some(Effect::Error(errno)) => Err(io::Error::from_raw_os_error(errno)),
        Some(Effect::Short(bytes) | Effect::ShortThenAbort(bytes)) => Ok(Some(bytes.max(1))),
        Some(Effect::Abort) => std::process::abort(),
    }
}

/// By how much the wall clock of the present thread is off by now.
pub(super) fn clock_offset_us() -> i64 {
    INSTALLED.with_borrow(|injector| {
        let Some(injector) = injector else {
            return 0;
        };
        let now_ms = injector.elapsed_ms();
        let state = injector.state();
        let steps = state.plan.clock_steps.iter();
        let past = steps.filter(|step| step.at_ms <= now_ms);
        past.map(|step| step.by_ms * 1000).sum()
    })
}
