//! How plans are drawn from their seeds.

use super::{Plan, Trouble, TroubleKind};
use edge_proxy::sys::fault::{errno, Effect};
use edge_proxy::sys::SystemCall;
use fastrand::Rng;

/// When the last request is sent: the processes take a moment to start.
const DURATION_MS: u64 = 5_500;
/// When the first trouble may begin.
const FIRST_TROUBLE_MS: u64 = 1_000;
/// When the last crossing begins at the latest.
const LAST_TROUBLE_MS: u64 = 4_000;
/// Edge proxies of one run, at least and at most.
const PROXIES: std::ops::RangeInclusive<usize> = 10..=12;
/// Cache servers of one run, at least and at most.
const CACHES: std::ops::RangeInclusive<usize> = 3..=5;
/// Crossings of two or three troubles in one run, at least and at most.
const CROSSINGS: std::ops::RangeInclusive<usize> = 2..=4;

impl Plan {
    /// The plan of a seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let proxies = random.usize(PROXIES);
        let caches = random.usize(CACHES);
        let mut troubles = Vec::new();
        let scope = match random.u32(0..3) {
            0 => Scope::ProxiesAlone,
            _ => Scope::Everything,
        };
        for _ in 0..random.usize(CROSSINGS) {
            let crossing = Crossing::draw(&mut random, scope, proxies, caches);
            troubles.extend(crossing.troubles);
        }
        troubles.sort_by_key(|trouble| trouble.from_ms);
        Plan {
            seed,
            proxies,
            caches,
            duration_ms: DURATION_MS,
            cancellation: seed % 3 != 0,
            longest_deadline_ms: if seed % 4 == 0 { 5_000 } else { 2_000 },
            troubles,
        }
    }
}

/// Where a run has its troubles.
#[derive(Clone, Copy)]
enum Scope {
    /// Anywhere.
    Everything,
    /// At proxies and the event bus: the servers are well all along, so that a request that is not
    /// served can be laid at a proxy's door.
    ProxiesAlone,
}

/// Two or three troubles that meet at one proxy and one cache server.
struct Crossing {
    troubles: Vec<Trouble>,
}

impl Crossing {
    fn draw(random: &mut Rng, scope: Scope, proxies: usize, caches: usize) -> Self {
        let (proxy, cache) = (random.usize(..proxies), random.usize(..caches));
        let at_ms = random.u64(FIRST_TROUBLE_MS..LAST_TROUBLE_MS);
        let mut troubles = Vec::new();
        for _ in 0..random.usize(2..=3) {
            let kind = match scope {
                Scope::Everything => draw_kind(random, proxy, cache),
                Scope::ProxiesAlone => draw_kind_of_proxy(random, proxy),
            };
            let from_ms = match kind {
                // What is told has to come long before the end, for whether it arrives to be judged.
                TroubleKind::BusSlow { .. } => FIRST_TROUBLE_MS + random.u64(0..500),
                TroubleKind::BusSilent => FIRST_TROUBLE_MS + random.u64(0..300),
                _ => at_ms + random.u64(0..500),
            };
            let until_ms = from_ms + length_ms(random, &kind);
            if let Some((after_ms, provocation)) = kind.provocation(random, proxy) {
                let from_ms = from_ms + after_ms;
                troubles.push(Trouble {
                    from_ms,
                    until_ms: from_ms + length_ms(random, &provocation),
                    kind: provocation,
                });
            }
            troubles.push(Trouble {
                from_ms,
                until_ms,
                kind,
            });
        }
        Crossing { troubles }
    }
}

fn draw_kind(random: &mut Rng, proxy: usize, cache: usize) -> TroubleKind {
    match random.u32(0..28) {
        0..=2 => TroubleKind::Restart { proxy },
        3..=4 => TroubleKind::Kill { proxy },
        5 => TroubleKind::Reload {
            proxy,
            torn_for_ms: None,
        },
        6 => TroubleKind::Reload {
            proxy,
            torn_for_ms: Some(random.u64(50..400)),
        },
        7..=10 => draw_system_calls(random, proxy),
        11 => TroubleKind::ClockStep {
            proxy,
            by_ms: *pick(random, &[3_600_000, -3_600_000, 5_000, -5_000]),
        },
        12 => TroubleKind::CacheHang { cache },
        13 => TroubleKind::CacheFull { cache },
        14 => TroubleKind::CacheSpoils { cache },
        15 => TroubleKind::CacheReplaced { cache },
        16 => TroubleKind::CacheCrash { cache },
        17 => TroubleKind::LinkResets { cache },
        18 => TroubleKind::LinkSilent { cache },
        19 => TroubleKind::LinkInPieces { cache },
        20 => pick_bus(random),
        21 => TroubleKind::BusSlow {
            first_byte_ms: random.u64(500..2_600),
        },
        22 => TroubleKind::BadClients { proxy },
        23..=25 => draw_disk_trouble(random, proxy),
        26 => TroubleKind::AllHang,
        _ => TroubleKind::ClientsLeave { proxy },
    }
}

fn draw_kind_of_proxy(random: &mut Rng, proxy: usize) -> TroubleKind {
    loop {
        let kind = draw_kind(random, proxy, 0);
        let is_bus = matches!(
            kind,
            TroubleKind::BusDown | TroubleKind::BusSilent | TroubleKind::BusSlow { .. }
        );
        if is_bus || kind.proxy().is_some() {
            return kind;
        }
    }
}

fn pick_bus(random: &mut Rng) -> TroubleKind {
    if random.bool() {
        TroubleKind::BusDown
    } else {
        TroubleKind::BusSilent
    }
}

fn pick<'a, T>(random: &mut Rng, choices: &'a [T]) -> &'a T {
    &choices[random.usize(..choices.len())]
}

/// How long a trouble of a kind lasts. Restarts are over once the process is back.
fn length_ms(random: &mut Rng, kind: &TroubleKind) -> u64 {
    match kind {
        TroubleKind::Restart { .. } | TroubleKind::Kill { .. } => 700,
        TroubleKind::Reload { .. } => 1_500,
        TroubleKind::ClockStep { .. } => 3_000,
        // Through the whole of a shutdown.
        TroubleKind::AllHang => 4_500,
        TroubleKind::BusSlow { .. } => 10_000,
        TroubleKind::BusSilent => random.u64(500..2_500),
        TroubleKind::BusDown => random.u64(500..3_500),
        TroubleKind::CacheReplaced { .. } => random.u64(800..1_500),
        _ => random.u64(100..1_500),
    }
}

/// A kind of system call, with the ways in which Linux says that it may fail.
fn draw_system_calls(random: &mut Rng, proxy: usize) -> TroubleKind {
    use errno::*;
    const CALLS: [(SystemCall, &[i32]); 13] = [
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
    let (call, errnos) = *pick(random, &CALLS);
    let may_be_short = matches!(call, SystemCall::Read | SystemCall::Write);
    let effect = if may_be_short && random.bool() {
        Effect::Short(random.usize(1..40))
    } else {
        Effect::Error(*pick(random, errnos))
    };
    TroubleKind::SystemCalls {
        proxy,
        call,
        effect,
        one_in: match call {
            // Not all of them: these fail once for each signal or client, not without end.
            SystemCall::Accept | SystemCall::EpollWait
                if matches!(effect, Effect::Error(EINTR | ECONNABORTED)) =>
            {
                2
            }
            _ => *pick(random, &[1, 2, 5]),
        },
    }
}

/// Writes to the disk that fail or stop half way, with or without the process.
fn draw_disk_trouble(random: &mut Rng, proxy: usize) -> TroubleKind {
    use errno::*;
    let call = *pick(random, &[SystemCall::FileWrite, SystemCall::FileSync]);
    let effect = match (call, random.u32(0..4)) {
        (SystemCall::FileWrite, 0) => Effect::ShortThenAbort(random.usize(1..20)),
        (SystemCall::FileWrite, 1) => Effect::Short(random.usize(1..40)),
        _ => Effect::Error(*pick(random, &[ENOSPC, EIO])),
    };
    TroubleKind::SystemCalls {
        proxy,
        call,
        effect,
        one_in: *pick(random, &[1, 2]),
    }
}

impl TroubleKind {
    /// What makes a trouble show, and how long after its beginning: system calls that a proxy makes
    /// only when it starts or reads its configuration, and what is lost only with its process.
    fn provocation(&self, random: &mut Rng, nearby: usize) -> Option<(u64, TroubleKind)> {
        if let TroubleKind::AllHang = self {
            return Some((random.u64(0..300), TroubleKind::Restart { proxy: nearby }));
        }
        if let TroubleKind::BusSlow { .. } = self {
            let reload = TroubleKind::Reload {
                proxy: nearby,
                torn_for_ms: None,
            };
            return Some((random.u64(0..200), reload));
        }
        if let TroubleKind::CacheReplaced { .. } = self {
            // Connections to it end before it drains: attempts wait for new ones.
            let unwatched = TroubleKind::SystemCalls {
                proxy: nearby,
                call: SystemCall::EpollAdd,
                effect: Effect::Error(errno::ENOMEM),
                one_in: 1,
            };
            return Some((0, unwatched));
        }
        if let TroubleKind::ClockStep { proxy, .. } = *self {
            return Some((random.u64(0..500), TroubleKind::Restart { proxy }));
        }
        let TroubleKind::SystemCalls { proxy, call, .. } = *self else {
            return None;
        };
        let after_ms = random.u64(0..200);
        let provocation = match call {
            SystemCall::EpollCreate
            | SystemCall::SocketPair
            | SystemCall::ListenerSocket
            | SystemCall::Bind => match random.bool() {
                true => TroubleKind::Restart { proxy },
                false => TroubleKind::Kill { proxy },
            },
            SystemCall::FileRead => match random.bool() {
                true => TroubleKind::Reload {
                    proxy,
                    torn_for_ms: None,
                },
                false => TroubleKind::Kill { proxy },
            },
            SystemCall::FileWrite | SystemCall::FileSync => {
                return Some((500 + after_ms, TroubleKind::Kill { proxy }));
            }
            _ => return None,
        };
        Some((after_ms, provocation))
    }
}
