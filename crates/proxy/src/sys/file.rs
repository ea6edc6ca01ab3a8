//! System calls on files.

use super::{intercept, retry_interrupted, SystemCall};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Returns the whole content of a file.
pub fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let max_bytes = intercept(SystemCall::FileRead)?;
    let mut bytes = fs::read(path)?;
    bytes.truncate(max_bytes.unwrap_or(bytes.len()));
    Ok(bytes)
}

/// Creates a file for writing. An existing file is truncated.
pub fn create_file(path: &Path) -> io::Result<File> {
    intercept(SystemCall::FileCreate)?;
    File::create(path)
}

/// Writes all of the bytes to a file. After an error, the file may contain some of them.
pub fn write_file(mut file: &File, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = retry_interrupted(|| {
            let max_bytes = intercept(SystemCall::FileWrite)?.unwrap_or(bytes.len());
            file.write(&bytes[..bytes.len().min(max_bytes)])
        })?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Waits until everything written to a file is on disk.
pub fn sync_file(file: &File) -> io::Result<()> {
    intercept(SystemCall::FileSync)?;
    file.sync_all()
}

/// Waits until the entries of a directory are on disk.
pub fn sync_directory(path: &Path) -> io::Result<()> {
    intercept(SystemCall::FileSync)?;
    File::open(path)?.sync_all()
}

/// Renames a file. An existing file of the new name is replaced.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    intercept(SystemCall::FileRename)?;
    fs::rename(from, to)
}
