//! What the logs of the proxies tell: violated invariants, panics, and the lines of a request.

use crate::child::INJECTED_MARK;
use crate::violation::{Rule, Violation};
use edge_proxy::invariants::{SUMMARY_LOG_PREFIX, VIOLATION_LOG_PREFIX};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What a run's logs hold.
#[derive(Debug, Default)]
pub struct LogFindings {
    /// Checks of invariants, as counted at the ends of the processes.
    pub invariant_checks: u64,
    /// Disturbed system calls by kind.
    pub injected: BTreeMap<String, u64>,
    /// Violated invariants, and panics.
    pub violations: Vec<Violation>,
}

/// Lines of one request that a report shows at most.
const MAX_REQUEST_LINES: usize = 60;

/// Reads all logs of a run.
pub fn scan(folder: &Path) -> io::Result<LogFindings> {
    let mut findings = LogFindings::default();
    for path in log_files(folder)? {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let proxy = name
            .trim_start_matches('n')
            .split('.')
            .next()
            .and_then(|number| number.parse().ok());
        let text = String::from_utf8_lossy(&fs::read(&path)?).into_owned();
        for line in text.lines() {
            if let Some((_, summary)) = line.split_once(SUMMARY_LOG_PREFIX) {
                let checks = summary.split(' ').next().and_then(|word| word.parse().ok());
                // The last line of a process counts: the one at SIGTERM comes before.
                let is_last =
                    !text[text.find(line).unwrap_or(0) + line.len()..].contains(SUMMARY_LOG_PREFIX);
                findings.invariant_checks += checks.filter(|_| is_last).unwrap_or(0);
            }
            if let Some(json) = line.strip_prefix(INJECTED_MARK) {
                let counts: BTreeMap<String, u64> = serde_json::from_str(json).unwrap_or_default();
                for (call, count) in counts {
                    *findings.injected.entry(call).or_default() += count;
                }
            }
            let rule = if line.contains(VIOLATION_LOG_PREFIX) {
                Rule::Invariant
            } else if line.contains("panicked at") {
                Rule::Crash
            } else {
                continue;
            };
            findings.violations.push(Violation {
                rule,
                at_ms: 0,
                proxy,
                request: line.split([' ', ':', ',']).find_map(request_id),
                detail: format!("{name}: {line}"),
            });
        }
    }
    Ok(findings)
}

fn request_id(word: &str) -> Option<String> {
    let is_id = word.len() == 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| word.to_owned())
}

/// The lines of all logs that name a request.
pub fn lines_of(folder: &Path, request: &str) -> io::Result<Vec<String>> {
    let mut lines = Vec::new();
    for path in log_files(folder)? {
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = String::from_utf8_lossy(&fs::read(&path)?).into_owned();
        let of_request = text.lines().filter(|line| line.contains(request));
        lines.extend(of_request.map(|line| format!("{name}: {line}")));
    }
    lines.truncate(MAX_REQUEST_LINES);
    Ok(lines)
}

fn log_files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
