//! Files.

use super::{intercept, retry_interrupted, SystemCall};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The whole content of a file.
pub fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let most = intercept(SystemCall::FileRead)?;
    let mut bytes = fs::read(path)?;
    bytes.truncate(most.unwrap_or(bytes.len()));
    Ok(bytes)
}

/// Opens a file for writing, empty.
pub fn create_file(path: &Path) -> io::Result<File> {
    intercept(SystemCall::FileCreate)?;
    File::create(path)
}

/// Writes all of the bytes to a file. After an error some of them may be in it.
pub fn write_file(mut file: &File, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = retry_interrupted(|| {
            let most = intercept(SystemCall::FileWrite)?.unwrap_or(bytes.len());
            file.write(&bytes[..bytes.len().min(most)])
        })?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Waits until all that was written to a file is on its disk.
pub fn sync_file(file: &File) -> io::Result<()> {
    intercept(SystemCall::FileSync)?;
    file.sync_all()
}

/// Waits until the names in a folder are on its disk.
pub fn sync_folder(path: &Path) -> io::Result<()> {
    intercept(SystemCall::FileSync)?;
    File::open(path)?.sync_all()
}

/// Gives a file another name, in place of the file that had it.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    intercept(SystemCall::FileRename)?;
    fs::rename(from, to)
}
