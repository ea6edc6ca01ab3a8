//! The purge log: a file of the purges that only this proxy and its peers were notified of. Cache
//! servers do not learn of them, so a proxy that starts again must read them back.
//!
//! Each line is a purge as [`purge_gossip`](super::purge_gossip) encodes it.

use crate::discovery::purge_gossip::{decode, encode, Purge};
use crate::sys;
use edge_routing::Micros;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// The file is rewritten once it has more lines than two for each purge plus this many.
pub const REWRITE_SLACK_LINES: usize = 1024;

/// What a purge names: an object, or with none a group.
type PurgeTarget = (Option<String>, u64);

/// The file, and the purges in it.
pub struct PurgeLog {
    path: PathBuf,
    file: File,
    /// Lines in the file.
    lines: usize,
    /// Unix time of the last purge of each target, in microseconds.
    last_purges: BTreeMap<PurgeTarget, Micros>,
}

impl PurgeLog {
    /// Reads the file, if there is one, and rewrites it: a line that a crash cut off must not run
    /// into the next one. Fails where the file cannot be read or written; a line that is not a
    /// purge is skipped.
    pub fn open(path: &Path) -> io::Result<Self> {
        let text = match sys::read_file(path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let mut last_purges = BTreeMap::new();
        for line in text.split_inclusive('\n') {
            let Some(purge) = read_line(line) else {
                log::warn!("{}: a line that is not a purge is skipped", path.display());
                continue;
            };
            let last = last_purges
                .entry((purge.object, purge.group))
                .or_insert(purge.purged_at);
            *last = purge.purged_at.max(*last);
        }
        Ok(PurgeLog {
            path: path.to_owned(),
            file: rewrite(path, &last_purges)?,
            lines: last_purges.len(),
            last_purges,
        })
    }

    /// The last purge of each object or group in the file.
    pub fn purges(&self) -> Vec<Purge> {
        self.last_purges.iter().map(to_purge).collect()
    }

    /// Adds a purge. One that is known, as peers repeat them, is not written again, nor one too
    /// long for a datagram.
    pub fn add(&mut self, purge: &Purge) -> io::Result<()> {
        let last = self
            .last_purges
            .entry((purge.object.clone(), purge.group))
            .or_insert(0);
        if purge.purged_at <= *last {
            return Ok(());
        }
        let Some(line) = encode(purge) else {
            return Ok(());
        };
        *last = purge.purged_at;
        self.lines += 1;
        if self.lines > 2 * self.last_purges.len() + REWRITE_SLACK_LINES {
            self.file = rewrite(&self.path, &self.last_purges)?;
            self.lines = self.last_purges.len();
            return Ok(());
        }
        sys::write_file(&self.file, (line + "\n").as_bytes())
    }
}

/// The purge of a line; none where it is not a purge, or its end is missing.
fn read_line(line: &str) -> Option<Purge> {
    decode(line.strip_suffix('\n')?.as_bytes())
}

fn to_purge(((object, group), purged_at): (&PurgeTarget, &Micros)) -> Purge {
    Purge {
        object: object.clone(),
        group: *group,
        purged_at: *purged_at,
    }
}

/// Writes the whole file beside the old one and puts it in its place in one step.
fn rewrite(path: &Path, last_purges: &BTreeMap<PurgeTarget, Micros>) -> io::Result<File> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let file = sys::create_file(Path::new(&new_path))?;
    let lines: String = last_purges
        .iter()
        .filter_map(|entry| encode(&to_purge(entry)))
        .map(|line| line + "\n")
        .collect();
    sys::write_file(&file, lines.as_bytes())?;
    sys::rename(Path::new(&new_path), path)?;
    Ok(file)
}
