//! The purge log on a disk that fails for a while, and across a kill in the middle of a write.
#![cfg(feature = "fault-injection")]

use edge_proxy::discovery::purge_gossip::Purge;
use edge_proxy::discovery::purge_log::PurgeLog;
use edge_proxy::sys::fault::{Effect, Fault, FaultInjector, FaultPlan};
use edge_proxy::sys::SystemCall;
use std::fs;
use std::path::PathBuf;

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// A path for a test's own file, without a file.
fn fresh_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("edge-proxy-{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    path
}

fn purge(number: u64) -> Purge {
    Purge {
        object: Some(format!("{number:016x}")),
        group: 0,
        purged_at: 1_000_000 + number,
    }
}

/// Faults of the calling thread.
fn install_faults() -> FaultInjector {
    let injector = FaultInjector::new(FaultPlan::default());
    injector.install();
    injector
}

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
        injector.add(Fault::next(1, call, effect));

        assert!(purge_log.add(&purge(2)).is_err(), "it is not kept yet");
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
