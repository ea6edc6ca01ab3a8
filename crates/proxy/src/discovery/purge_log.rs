//! The purge log: a file of the purges that only this proxy and its peers were notified of. Cache
//! servers do not learn of them, so a proxy that starts again must read them back.
//!
//! Each line is a purge as [`purge_gossip`](super::purge_gossip) encodes it. A purge is kept once its
//! line is on the disk. After an error nobody can tell what of the last lines is there, so the whole
//! file is written anew, beside the old one, and takes its place once it is complete on the disk.

use crate::discovery::purge_gossip::{decode, encode, Purge};
use crate::sys::{self, errors};
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
    /// None: a write has failed, and the file does not have all purges for certain.
    file: Option<File>,
    /// Lines in the file.
    lines: usize,
    /// Unix time of the last purge of each target, in microseconds.
    last_purges: BTreeMap<PurgeTarget, Micros>,
}

impl PurgeLog {
    /// Reads the purges that are kept at a path, and writes the file anew without what can't be
    /// read, such as a line that was cut off by a crash. A file that does not exist holds no purges.
    /// Where the disk does not take the new file for the moment, the old one stays.
    ///
    /// # Errors
    ///
    /// The file can't be read, or can't ever be written.
    pub fn open(path: &Path) -> io::Result<Self> {
        let mut purge_log = PurgeLog {
            path: path.to_owned(),
            file: None,
            lines: 0,
            last_purges: read_purges(path)?,
        };
        match purge_log.flush() {
            Err(error) if !errors::may_pass_at_start(&error) => Err(error),
            Err(error) => {
                log::warn!("{}: can't be written yet: {error}", path.display());
                Ok(purge_log)
            }
            Ok(()) => Ok(purge_log),
        }
    }

    /// The last purge of each target.
    pub fn purges(&self) -> Vec<Purge> {
        self.last_purges.iter().map(to_purge).collect()
    }

    /// Keeps a purge, unless a later one of its target is kept.
    ///
    /// # Errors
    ///
    /// It is not on the disk yet. It will be with the next call of this or of [`flush`](Self::flush)
    /// that succeeds.
    pub fn add(&mut self, purge: &Purge) -> io::Result<()> {
        let Some(line) = encode(purge) else {
            return Ok(());
        };
        let target = (purge.object.clone(), purge.group);
        let last = self.last_purges.entry(target).or_insert(0);
        if purge.purged_at <= *last {
            return self.flush();
        }
        *last = purge.purged_at;
        if self.lines >= 2 * self.last_purges.len() + REWRITE_SLACK_LINES {
            self.file = None;
        }
        let Some(file) = &self.file else {
            return self.flush();
        };
        let written =
            sys::write_file(file, (line + "\n").as_bytes()).and_then(|()| sys::sync_file(file));
        match written {
            Ok(()) => self.lines += 1,
            Err(_) => self.file = None,
        }
        written
    }

    /// Writes the whole file anew, if it may not have all purges.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.file.is_none() {
            self.file = Some(rewrite(&self.path, &self.last_purges)?);
            self.lines = self.last_purges.len();
        }
        Ok(())
    }

    /// Whether all purges are on the disk.
    pub fn is_flushed(&self) -> bool {
        self.file.is_some()
    }
}

/// The last purge of each target in a file.
fn read_purges(path: &Path) -> io::Result<BTreeMap<PurgeTarget, Micros>> {
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
    Ok(last_purges)
}

/// The purge of a line; none where the line is cut off or no purge.
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

/// Writes a file with these purges beside the old one, and puts it in its place once it is complete
/// on the disk. Returns it for further lines.
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
    sys::sync_folder(folder_of(path))?;
    Ok(file)
}

/// The folder that a file is in.
fn folder_of(path: &Path) -> &Path {
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    }
}
