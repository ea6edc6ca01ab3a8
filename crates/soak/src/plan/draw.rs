//! Draws plans from their seeds.

use super::{FaultKind, Plan, PlannedFault};
use edge_proxy::sys::fault::{errno, Effect};
use edge_proxy::sys::SystemCall;
use fastrand::Rng;

/// When the last request of a run is sent. Starting the processes takes a part of this time.
const RUN_DURATION_MS: u64 = 5_500;
/// The earliest time at which a fault begins.
const FIRST_FAULT_MS: u64 = 1_000;
/// The upper bound of the time at which a group of faults begins.
const LAST_FAULT_GROUP_MS: u64 = 4_000;
/// The number of edge proxies in a run.
const PROXY_COUNT: std::ops::RangeInclusive<usize> = 10..=12;
/// The number of cache servers in a run.
const CACHE_COUNT: std::ops::RangeInclusive<usize> = 3..=5;
/// The number of fault groups in a run. Each group has two or three faults, besides those that
/// reveal them.
const FAULT_GROUP_COUNT: std::ops::RangeInclusive<usize> = 2..=4;

impl Plan {
    /// Draws the plan of a seed. A seed always gives the same plan.
    pub fn from_seed(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let proxy_count = random.usize(PROXY_COUNT);
        let cache_count = random.usize(CACHE_COUNT);
        let mut faults = Vec::new();
        let scope = match random.u32(0..3) {
            0 => Scope::ProxiesAndEventBus,
            _ => Scope::AllComponents,
        };
        for _ in 0..random.usize(FAULT_GROUP_COUNT) {
            let group = FaultGroup::draw(&mut random, scope, proxy_count, cache_count);
            faults.extend(group.faults);
        }
        faults.sort_by_key(|fault| fault.from_ms);
        Plan {
            seed,
            proxy_count,
            cache_count,
            duration_ms: RUN_DURATION_MS,
            cancellation: seed % 3 != 0,
            longest_deadline_ms: if seed % 4 == 0 { 5_000 } else { 2_000 },
            faults,
        }
    }
}

/// The components in which a run has faults.
#[derive(Clone, Copy)]
enum Scope {
    /// Any component.
    AllComponents,
    /// Only proxies and the event bus. The servers work throughout the run, so a request that is
    /// not served is the fault of a proxy.
    ProxiesAndEventBus,
}

/// Two or three faults that overlap at one proxy and one cache server.
struct FaultGroup {
    faults: Vec<PlannedFault>,
}

impl FaultGroup {
    fn draw(random: &mut Rng, scope: Scope, proxies: usize, caches: usize) -> Self {
        let (proxy, cache) = (random.usize(..proxies), random.usize(..caches));
        let group_start_ms = random.u64(FIRST_FAULT_MS..LAST_FAULT_GROUP_MS);
        let mut faults = Vec::new();
        for _ in 0..random.usize(2..=3) {
            let kind = match scope {
                Scope::AllComponents => draw_fault_kind(random, proxy, cache),
                Scope::ProxiesAndEventBus => draw_proxy_or_bus_fault(random, proxy),
            };
            let from_ms = match kind {
                // Faults of the bus begin early. Whether events arrive can be judged only if they
                // were published long before the end of the run.
                FaultKind::BusSlow { .. } => FIRST_FAULT_MS + random.u64(0..500),
                FaultKind::BusSilent => FIRST_FAULT_MS + random.u64(0..300),
                _ => group_start_ms + random.u64(0..500),
            };
            let until_ms = from_ms + draw_duration_ms(random, &kind);
            if let Some((delay_ms, revealing_fault)) = kind.revealing_fault(random, proxy) {
                let from_ms = from_ms + delay_ms;
                faults.push(PlannedFault {
                    from_ms,
                    until_ms: from_ms + draw_duration_ms(random, &revealing_fault),
                    kind: revealing_fault,
                });
            }
            faults.push(PlannedFault {
                from_ms,
                until_ms,
                kind,
            });
        }
        FaultGroup { faults }
    }
}

fn draw_fault_kind(random: &mut Rng, proxy: usize, cache: usize) -> FaultKind {
    match random.u32(0..28) {
        0..=2 => FaultKind::Restart { proxy },
        3..=4 => FaultKind::Kill { proxy },
        5 => FaultKind::Reload {
            proxy,
            truncated_for_ms: None,
        },
        6 => FaultKind::Reload {
            proxy,
            truncated_for_ms: Some(random.u64(50..400)),
        },
        7..=10 => draw_system_call_fault(random, proxy),
        11 => FaultKind::ClockStep {
            proxy,
            by_ms: *choose(random, &[3_600_000, -3_600_000, 5_000, -5_000]),
        },
        12 => FaultKind::CacheHang { cache },
        13 => FaultKind::CacheOverloaded { cache },
        14 => FaultKind::CacheMalformedAnswers { cache },
        15 => FaultKind::CacheReplaced { cache },
        16 => FaultKind::CacheCrash { cache },
        17 => FaultKind::LinkResets { cache },
        18 => FaultKind::LinkStalled { cache },
        19 => FaultKind::LinkFragmented { cache },
        20 => draw_bus_outage(random),
        21 => FaultKind::BusSlow {
            first_byte_ms: random.u64(500..2_600),
        },
        22 => FaultKind::MisbehavingClients { proxy },
        23..=25 => draw_disk_write_fault(random, proxy),
        26 => FaultKind::AllServersHang,
        _ => FaultKind::ClientsCancel { proxy },
    }
}

fn draw_proxy_or_bus_fault(random: &mut Rng, proxy: usize) -> FaultKind {
    loop {
        let kind = draw_fault_kind(random, proxy, 0);
        let is_bus_fault = matches!(
            kind,
            FaultKind::BusDown | FaultKind::BusSilent | FaultKind::BusSlow { .. }
        );
        if is_bus_fault || kind.proxy().is_some() {
            return kind;
        }
    }
}

fn draw_bus_outage(random: &mut Rng) -> FaultKind {
    if random.bool() {
        FaultKind::BusDown
    } else {
        FaultKind::BusSilent
    }
}

fn choose<'a, T>(random: &mut Rng, choices: &'a [T]) -> &'a T {
    &choices[random.usize(..choices.len())]
}

/// Draws how long a fault of a kind lasts, in milliseconds. The fault of a restart is over once the
/// process is ready again.
fn draw_duration_ms(random: &mut Rng, kind: &FaultKind) -> u64 {
    match kind {
        FaultKind::Restart { .. } | FaultKind::Kill { .. } => 700,
        FaultKind::Reload { .. } => 1_500,
        FaultKind::ClockStep { .. } => 3_000,
        // Long enough to cover a whole graceful shutdown.
        FaultKind::AllServersHang => 4_500,
        FaultKind::BusSlow { .. } => 10_000,
        FaultKind::BusSilent => random.u64(500..2_500),
        FaultKind::BusDown => random.u64(500..3_500),
        FaultKind::CacheReplaced { .. } => random.u64(800..1_500),
        _ => random.u64(100..1_500),
    }
}

/// Draws a system call and one of the errors that Linux documents for it, or a short read or write.
fn draw_system_call_fault(random: &mut Rng, proxy: usize) -> FaultKind {
    use errno::*;
    const ERRORS_BY_CALL: [(SystemCall, &[i32]); 13] = [
        (
            SystemCall::Accept,
            &[ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR],
        ),
        (SystemCall::Socket, &[ENFILE, EMFILE, ENOBUFS, ENOMEM]),
        (
            SystemCall::Connect,
            &[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR],
        ),
        (
            SystemCall::ConnectResult,
            &[ETIMEDOUT, EHOSTUNREACH, ENETUNREACH],
        ),
        (SystemCall::Read, &[EINTR, ENOBUFS, ENOMEM]),
        (SystemCall::Write, &[EINTR, ENOBUFS, ENOMEM]),
        (SystemCall::EpollAdd, &[ENOMEM, ENOSPC]),
        (SystemCall::EpollModify, &[ENOMEM]),
        (SystemCall::EpollWait, &[EINTR]),
        (SystemCall::EpollCreate, &[ENFILE, EMFILE, ENOMEM]),
        (SystemCall::SocketPair, &[ENFILE, EMFILE, ENOBUFS]),
        (SystemCall::ListenerSocket, &[ENFILE, ENOBUFS]),
        (SystemCall::FileRead, &[ENFILE, EIO]),
    ];
    let (call, errnos) = *choose(random, &ERRORS_BY_CALL);
    let may_be_short = matches!(call, SystemCall::Read | SystemCall::Write);
    let effect = if may_be_short && random.bool() {
        Effect::Short(random.usize(1..40))
    } else {
        Effect::Error(*choose(random, errnos))
    };
    FaultKind::SystemCallFault {
        proxy,
        call,
        effect,
        one_in: match call {
            // One in two: these errors occur once for each signal or client, so a kernel does not
            // return them on every call.
            SystemCall::Accept | SystemCall::EpollWait
                if matches!(effect, Effect::Error(EINTR | ECONNABORTED)) =>
            {
                2
            }
            _ => *choose(random, &[1, 2, 5]),
        },
    }
}

/// Draws a write to the disk that fails or stops half way. The process may abort after the partial
/// write.
fn draw_disk_write_fault(random: &mut Rng, proxy: usize) -> FaultKind {
    use errno::*;
    let call = *choose(random, &[SystemCall::FileWrite, SystemCall::FileSync]);
    let effect = match (call, random.u32(0..4)) {
        (SystemCall::FileWrite, 0) => Effect::ShortThenAbort(random.usize(1..20)),
        (SystemCall::FileWrite, 1) => Effect::Short(random.usize(1..40)),
        _ => Effect::Error(*choose(random, &[ENOSPC, EIO])),
    };
    FaultKind::SystemCallFault {
        proxy,
        call,
        effect,
        one_in: *choose(random, &[1, 2]),
    }
}

impl FaultKind {
    /// Returns a second fault that makes the effects of this fault visible, and its delay after the
    /// beginning of this fault in milliseconds. Some system calls are made only when a proxy starts
    /// or reads its configuration, and some data is lost only when the process ends. Returns `None`
    /// if the fault shows by itself.
    fn revealing_fault(&self, random: &mut Rng, group_proxy: usize) -> Option<(u64, FaultKind)> {
        if let FaultKind::AllServersHang = self {
            return Some((
                random.u64(0..300),
                FaultKind::Restart { proxy: group_proxy },
            ));
        }
        if let FaultKind::BusSlow { .. } = self {
            let reload = FaultKind::Reload {
                proxy: group_proxy,
                truncated_for_ms: None,
            };
            return Some((random.u64(0..200), reload));
        }
        if let FaultKind::CacheReplaced { .. } = self {
            // The server's connections end before it drains. Attempts then wait for new
            // connections, whose registration with epoll fails.
            let failing_epoll_add = FaultKind::SystemCallFault {
                proxy: group_proxy,
                call: SystemCall::EpollAdd,
                effect: Effect::Error(errno::ENOMEM),
                one_in: 1,
            };
            return Some((0, failing_epoll_add));
        }
        if let FaultKind::ClockStep { proxy, .. } = *self {
            return Some((random.u64(0..500), FaultKind::Restart { proxy }));
        }
        let FaultKind::SystemCallFault { proxy, call, .. } = *self else {
            return None;
        };
        let delay_ms = random.u64(0..200);
        let revealing_fault = match call {
            SystemCall::EpollCreate
            | SystemCall::SocketPair
            | SystemCall::ListenerSocket
            | SystemCall::Bind => match random.bool() {
                true => FaultKind::Restart { proxy },
                false => FaultKind::Kill { proxy },
            },
            SystemCall::FileRead => match random.bool() {
                true => FaultKind::Reload {
                    proxy,
                    truncated_for_ms: None,
                },
                false => FaultKind::Kill { proxy },
            },
            SystemCall::FileWrite | SystemCall::FileSync => {
                return Some((500 + delay_ms, FaultKind::Kill { proxy }));
            }
            _ => return None,
        };
        Some((delay_ms, revealing_fault))
    }
}
