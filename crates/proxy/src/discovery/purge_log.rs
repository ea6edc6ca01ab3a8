//! The purge log is a file with the purges that only this proxy and its peers were notified of.
//! Cache servers were not notified of these purges and may still hold purged copies, so the proxy
//! must read the purges back after a restart.
//!
//! Each line is a purge as encoded by [`purge_gossip`](super::purge_gossip). A purge is stored once
//! its line is on disk. After a write error, it is unknown which of the last lines are on disk. The
//! whole log is then written to a new file next to the old one. The new file replaces the old one
//! once it is complete on disk.

use crate::discovery::purge_gossip::{decode, encode, Purge};
use crate::request_table::PurgeTarget;
use crate::sys::{self, errors};
use edge_routing::Micros;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// The file is rewritten once its number of lines reaches twice the number of purge targets plus
/// this many.
pub const REWRITE_SLACK_LINES: usize = 1024;

/// An open purge log and the purges in it.
pub struct PurgeLog {
    path: PathBuf,
    /// The file, open for writing further lines. None if the file must be rewritten, because a
    /// write has failed and some purges may be missing from it, or because it has too many lines.
    file: Option<File>,
    /// Number of lines in the file.
    line_count: usize,
    /// Unix time of the last purge of each target, in microseconds.
    last_purges: BTreeMap<PurgeTarget, Micros>,
}

impl PurgeLog {
    /// Reads the purge log at a path and rewrites it without lines that can't be read, such as a
    /// line that a crash truncated. A file that does not exist contains no purges. If the disk
    /// temporarily does not accept the new file, the old file stays in place and the rewrite stays
    /// pending for [`flush`](Self::flush).
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or if it can't be written for a permanent
    /// reason.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut purge_log = PurgeLog {
            path: path.to_owned(),
            file: None,
            line_count: 0,
            last_purges: read_purges(path)?,
        };
        match purge_log.flush() {
            Err(error) if !errors::is_transient_at_startup(&error) => Err(error),
            Err(error) => {
                log::warn!(
                    "{}: cannot rewrite the purge log, retrying later: {error}",
                    path.display()
                );
                Ok(purge_log)
            }
            Ok(()) => Ok(purge_log),
        }
    }

    /// Returns the last purge of each target.
    pub fn purges(&self) -> Vec<Purge> {
        self.last_purges.iter().map(to_purge).collect()
    }

    /// Stores a purge. If the last stored purge of the same target is at least as recent, only
    /// carries out a pending rewrite. Ignores a purge that [`encode`] can't encode.
    ///
    /// # Errors
    ///
    /// Returns an error if the purge is not on disk yet. It is written by the next successful call
    /// of this function or of [`flush`](Self::flush).
    pub fn add(&mut self, purge: &Purge) -> io::Result<()> {
        let Some(line) = encode(purge) else {
            return Ok(());
        };
        let last_purged_at = self.last_purges.entry(purge.target.clone()).or_insert(0);
        if purge.purged_at <= *last_purged_at {
            return self.flush();
        }
        *last_purged_at = purge.purged_at;
        if self.line_count >= 2 * self.last_purges.len() + REWRITE_SLACK_LINES {
            self.file = None;
        }
        let Some(file) = &self.file else {
            return self.flush();
        };
        let result =
            sys::write_file(file, (line + "\n").as_bytes()).and_then(|()| sys::sync_file(file));
        match result {
            Ok(()) => self.line_count += 1,
            Err(_) => self.file = None,
        }
        result
    }

    /// Rewrites the whole file, if that is pending.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written. The rewrite stays pending.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.file.is_none() {
            self.file = Some(rewrite(&self.path, &self.last_purges)?);
            self.line_count = self.last_purges.len();
        }
        Ok(())
    }

    /// Returns whether all purges are on disk.
    pub fn is_flushed(&self) -> bool {
        self.file.is_some()
    }
}

/// Reads the last purge of each target from a file.
fn read_purges(path: &Path) -> io::Result<BTreeMap<PurgeTarget, Micros>> {
    let text = match sys::read_file(path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        Err(error) => return Err(error),
    };
    let mut last_purges = BTreeMap::new();
    for line in text.split_inclusive('\n') {
        let Some(purge) = read_line(line) else {
            log::warn!("{}: skipping a line that is not a purge", path.display());
            continue;
        };
        let last_purged_at = last_purges.entry(purge.target).or_insert(purge.purged_at);
        *last_purged_at = purge.purged_at.max(*last_purged_at);
    }
    Ok(last_purges)
}

/// Reads the purge of a line. Returns None if the line is truncated or not a purge.
fn read_line(line: &str) -> Option<Purge> {
    decode(line.strip_suffix('\n')?.as_bytes())
}

fn to_purge((target, purged_at): (&PurgeTarget, &Micros)) -> Purge {
    Purge {
        target: target.clone(),
        purged_at: *purged_at,
    }
}

/// Writes the purges to a new file, which replaces the file at `path` once it is complete on disk.
/// Returns the new file, open for writing further lines.
fn rewrite(path: &Path, last_purges: &BTreeMap<PurgeTarget, Micros>) -> io::Result<File> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let new_path = PathBuf::from(new_path);
    let file = sys::create_file(&new_path)?;
    let lines: String = last_purges
        .iter()
        .filter_map(|entry| encode(&to_purge(entry)))
        .map(|line| line + "\n")
        .collect();
    sys::write_file(&file, lines.as_bytes())?;
    sys::sync_file(&file)?;
    sys::rename(&new_path, path)?;
    sys::sync_directory(parent_directory(path))?;
    Ok(file)
}

/// Returns the directory of a file. This is the current directory if the path names none.
fn parent_directory(path: &Path) -> &Path {
    match path.parent() {
        Some(directory) if !directory.as_os_str().is_empty() => directory,
        _ => Path::new("."),
    }
}
