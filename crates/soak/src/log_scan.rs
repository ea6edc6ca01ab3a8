//! Reads the logs of the proxies: violated invariants, panics, and the lines of a request.

use crate::child::INJECTED_FAULTS_PREFIX;
use crate::violation::{Rule, Violation};
use edge_proxy::invariants::{SUMMARY_LOG_PREFIX, VIOLATION_LOG_PREFIX};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// What the logs of a run contain.
#[derive(Debug, Default)]
pub struct LogFindings {
    /// The number of invariant checks, summed over the last summary of each process.
    pub invariant_checks: u64,
    /// The number of affected system calls by name of the call.
    pub injected_faults: BTreeMap<String, u64>,
    /// Violated invariants and panics.
    pub violations: Vec<Violation>,
}

/// The maximum number of log lines of one request in a report.
const MAX_REQUEST_LINES: usize = 60;

/// Reads all logs of a run. Returns an error if a log can't be read.
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
                // Only the last summary of a process counts. The process also logs one when it gets
                // SIGTERM.
                let is_last =
                    !text[text.find(line).unwrap_or(0) + line.len()..].contains(SUMMARY_LOG_PREFIX);
                findings.invariant_checks += checks.filter(|_| is_last).unwrap_or(0);
            }
            if let Some(json) = line.strip_prefix(INJECTED_FAULTS_PREFIX) {
                let counts: BTreeMap<String, u64> = serde_json::from_str(json).unwrap_or_default();
                for (call, count) in counts {
                    *findings.injected_faults.entry(call).or_default() += count;
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
                request: line.split([' ', ':', ',']).find_map(parse_request_id),
                detail: format!("{name}: {line}"),
            });
        }
    }
    Ok(findings)
}

fn parse_request_id(word: &str) -> Option<String> {
    let is_id = word.len() == 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| word.to_owned())
}

/// Returns the lines of all logs that contain the id of a request, at most `MAX_REQUEST_LINES`.
/// Returns an error if a log can't be read.
pub fn lines_naming_request(folder: &Path, request: &str) -> io::Result<Vec<String>> {
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
