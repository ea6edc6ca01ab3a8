//! The purge log: what a restarted proxy reads back, and how it reads files of earlier
//! versions.

use edge_proxy::discovery::purge_gossip::Purge;
use edge_proxy::discovery::purge_log::{PurgeLog, REWRITE_SLACK_LINES};
use edge_proxy::request_table::PurgeTarget;
use std::fs;
use std::io::Write;
use std::path::PathBuf;

/// Returns a path for a file of a single test. No file exists at it.
fn fresh_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("edge-proxy-{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    path
}

/// Returns a purge of an object at a Unix time in microseconds.
fn object(object: &str, purged_at: u64) -> Purge {
    Purge {
        target: PurgeTarget::Object(object.into()),
        purged_at,
    }
}

/// Returns a purge of a purge group at a Unix time in microseconds.
fn group(purge_group: u64, purged_at: u64) -> Purge {
    Purge {
        target: PurgeTarget::Group(purge_group),
        purged_at,
    }
}

/// A crash may truncate the last line. The other lines and lines added later must stay readable.
/// Repeated purges of the same targets must not make the file grow without bound.
#[test]
fn added_purges_are_read_back_after_a_crash_and_the_file_stays_short() {
    let path = fresh_path("purge-log");
    let mut purge_log = PurgeLog::open(&path).unwrap();
    for purged_at in 1..=5000 {
        purge_log.add(&object("0a", purged_at)).unwrap();
        purge_log.add(&group(7, 3)).unwrap();
    }
    purge_log.add(&object("0a", 4)).unwrap();
    assert!(fs::read_to_string(&path).unwrap().lines().count() <= REWRITE_SLACK_LINES + 4);
    fs::OpenOptions::new()
        .append(true)
        .open(&path)
        .unwrap()
        .write_all(b"purge object 0b 12")
        .unwrap();
    let mut reopened = PurgeLog::open(&path).unwrap();
    assert_eq!(
        reopened.purges(),
        [group(7, 3), object("0a", 5000)],
        "the purges read back differ, or the truncated line counts as a purge"
    );
    reopened.add(&object("0b", 9)).unwrap();
    assert_eq!(PurgeLog::open(&path).unwrap().purges().len(), 3);
    fs::remove_file(&path).unwrap();
    assert!(PurgeLog::open(&path.join("below")).is_err());
}

/// A proxy must read the file that an earlier version wrote, and an earlier version must be able to
/// read the rewritten file. Otherwise purges are lost on an upgrade or a rollback.
#[test]
fn a_file_of_the_earlier_version_is_read_and_rewritten_in_its_format() {
    let path = fresh_path("purge-log-v0");
    fs::write(&path, include_bytes!("data/purge_log_v0.txt")).unwrap();
    let mut purge_log = PurgeLog::open(&path).unwrap();
    assert_eq!(
        purge_log.purges(),
        [
            group(17, 1_764_576_000_480_000),
            object("/o/kd6b5sum7ecwe", 1_764_576_001_000_000),
            object("00000000000000a1", 1_764_576_004_000_000),
        ],
        "expected the last purge of each target, without the truncated line"
    );
    purge_log
        .add(&object("00000000000000b2", 1_764_576_005_000_000))
        .unwrap();
    assert_eq!(
        fs::read_to_string(&path).unwrap(),
        "purge group 17 1764576000480000\n\
         purge object /o/kd6b5sum7ecwe 1764576001000000\n\
         purge object 00000000000000a1 1764576004000000\n\
         purge object 00000000000000b2 1764576005000000\n"
    );
    fs::remove_file(&path).unwrap();
}
