//! The purge log on a disk that fails temporarily, and with a partially written line, as a kill in
//! the middle of a write leaves it.
#![cfg(feature = "fault-injection")]

use edge_proxy::discovery::purge_gossip::Purge;
use edge_proxy::discovery::purge_log::PurgeLog;
use edge_proxy::request_table::PurgeTarget;
use edge_proxy::sys::fault::errno::{EIO, ENOSPC};
use edge_proxy::sys::fault::{Effect, Fault, FaultInjector, FaultPlan};
use edge_proxy::sys::SystemCall;
use std::fs;
use std::path::PathBuf;

/// Returns a path for a file of a single test. No file exists at it.
fn fresh_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("edge-proxy-{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    path
}

/// Returns a purge of an object, both derived from a number.
fn purge(number: u64) -> Purge {
    Purge {
        target: PurgeTarget::Object(format!("{number:016x}")),
        purged_at: 1_000_000 + number,
    }
}

/// Installs a fault injector for the system calls of the calling thread.
fn install_faults() -> FaultInjector {
    let injector = FaultInjector::new(FaultPlan::default());
    injector.install();
    injector
}

/// A full disk or a device error may prevent the write of a purge. After the disk recovers, a purge
/// missing from the log would be forgotten at the next restart.
#[test]
fn a_purge_that_could_not_be_written_is_written_with_the_next_one() {
    let steps = [
        (SystemCall::FileWrite, Effect::Error(ENOSPC)),
        (SystemCall::FileWrite, Effect::Error(EIO)),
        (SystemCall::FileSync, Effect::Error(EIO)),
    ];
    for (call, effect) in steps {
        let path = fresh_path("purge-log-errors");
        let injector = install_faults();
        let mut purge_log = PurgeLog::open(&path).unwrap();
        purge_log.add(&purge(1)).unwrap();
        injector.add(Fault::for_next_calls(1, call, effect));

        assert!(
            purge_log.add(&purge(2)).is_err(),
            "{call:?}: a failed write was reported as a success"
        );
        purge_log.add(&purge(3)).unwrap();

        let reopened = PurgeLog::open(&path).unwrap();
        assert_eq!(
            reopened.purges(),
            [purge(1), purge(2), purge(3)],
            "{call:?}"
        );
        fs::remove_file(&path).unwrap();
    }
}

/// A write may end in the middle of a line. If the next purge were appended to the truncated line,
/// neither of the two could be read.
#[test]
fn a_line_truncated_by_an_error_corrupts_no_other_line() {
    let path = fresh_path("purge-log-torn");
    let injector = install_faults();
    let mut purge_log = PurgeLog::open(&path).unwrap();
    injector.add(Fault::for_next_calls(
        1,
        SystemCall::FileWrite,
        Effect::Short(9),
    ));
    injector.add(Fault::for_next_calls(
        1,
        SystemCall::FileWrite,
        Effect::Error(ENOSPC),
    ));

    assert!(purge_log.add(&purge(1)).is_err());
    assert_eq!(
        fs::read(&path).unwrap().len(),
        9,
        "the file does not hold exactly the 9 bytes of the truncated line"
    );
    for number in 2..=4 {
        purge_log.add(&purge(number)).unwrap();
    }

    let reopened = PurgeLog::open(&path).unwrap();
    assert_eq!(reopened.purges(), [1, 2, 3, 4].map(purge));
    fs::remove_file(&path).unwrap();
}

/// The log is rewritten at the start and after errors. If a rewrite that fails half-way replaced
/// the file, all purges in it would be lost.
#[test]
fn a_log_that_cannot_be_rewritten_stays_unchanged_until_it_can() {
    for call in [
        SystemCall::FileCreate,
        SystemCall::FileWrite,
        SystemCall::FileSync,
        SystemCall::FileRename,
    ] {
        let path = fresh_path("purge-log-rewrite");
        let injector = install_faults();
        PurgeLog::open(&path).unwrap().add(&purge(1)).unwrap();
        let before = fs::read(&path).unwrap();
        injector.add(Fault::for_next_calls(3, call, Effect::Error(ENOSPC)));

        let mut purge_log = PurgeLog::open(&path).unwrap();
        assert_eq!(purge_log.purges(), [purge(1)], "{call:?}");
        assert!(!purge_log.is_flushed());
        assert!(purge_log.add(&purge(2)).is_err());
        assert!(purge_log.flush().is_err());
        assert_eq!(fs::read(&path).unwrap(), before, "{call:?}");

        purge_log.flush().unwrap();
        assert!(purge_log.is_flushed());
        let reopened = PurgeLog::open(&path).unwrap();
        assert_eq!(reopened.purges(), [purge(1), purge(2)], "{call:?}");
        fs::remove_file(&path).unwrap();
    }
}
