//! The `sycamorestile summary` command.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use bpaf::Bpaf;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::commands::{self, daemon};

/// Width of a class of the histogram of longest pauses, in milliseconds.
const PAUSE_CLASS_MS: u64 = 10;
/// Lower bound of the last class of that histogram, in milliseconds.
const LAST_PAUSE_CLASS_MS: u64 = 300;

/// Options of `sycamorestile summary`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// Longest time to the first event of a stream that is on time, in milliseconds
    #[bpaf(long("first-ms"), argument("MS"), fallback(400))]
    first_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds
    #[bpaf(long("pause-ms"), argument("MS"), fallback(120))]
    pause_ms: u64,
    /// Print JSON instead of a table
    json: bool,
    /// Logs of gateways, one JSON object per line; text before the first brace of a line is skipped
    #[bpaf(positional("FILE"), some("name at least one log"))]
    files: Vec<PathBuf>,
}

/// An error that prevents the summary.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum SummaryError {
    /// A file could not be read.
    #[error("failed to read {}", file.display())]
    #[diagnostic(help("give the path of a readable log of a gateway"))]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The underlying error.
        #[source]
        source: std::io::Error,
    },
}

/// The fields of a log line that the summary uses. Lines of other kinds lack some of them.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    last: String,
    #[serde(default)]
    first_ms: Option<u64>,
    #[serde(default)]
    longest_pause_ms: u64,
}

/// How requests ended.
#[derive(Debug, Default, Serialize)]
struct Summary {
    /// Number of lines that are not JSON objects.
    unreadable_lines: u64,
    /// Streams that completed on time.
    on_time: u64,
    /// Streams that completed with a late first event only.
    late_first_event: u64,
    /// Streams that completed with a long pause only.
    long_pause: u64,
    /// Streams that completed with both.
    late_and_long_pause: u64,
    /// Numbers of completed streams by their longest pause, rounded down to a multiple of 10 ms.
    longest_pauses: BTreeMap<u64, u64>,
    /// Numbers of other requests by kind, reason and the reason of the last failed attempt.
    others: BTreeMap<String, u64>,
}

pub(crate) fn run(options: &Options) -> Result<(), commands::CommandError> {
    let summary = summarize(options).map_err(commands::CommandError::usage)?;
    if options.json {
        return daemon::print_line(&summary);
    }
    println!("streams on time            {:>8}", summary.on_time);
    println!("  late first event         {:>8}", summary.late_first_event);
    println!("  long pause               {:>8}", summary.long_pause);
    println!("  both                     {:>8}", summary.late_and_long_pause);
    for (what, count) in &summary.others {
        println!("{what:<64}{count:>8}");
    }
    println!("longest pause of completed streams, in ms:");
    for (pause, count) in &summary.longest_pauses {
        println!("{pause:>6}{count:>8}");
    }
    if summary.unreadable_lines > 0 {
        println!("lines that are not JSON objects {:>8}", summary.unreadable_lines);
    }
    Ok(())
}

fn summarize(options: &Options) -> Result<Summary, SummaryError> {
    let mut summary = Summary::default();
    for file in &options.files {
        let unreadable = |source| SummaryError::Unreadable {
            file: file.clone(),
            source,
        };
        let reader = BufReader::new(File::open(file).map_err(unreadable)?);
        for line in reader.lines() {
            summary.add_line(&line.map_err(unreadable)?, options);
        }
    }
    Ok(summary)
}

impl Summary {
    fn add_line(&mut self, text: &str, options: &Options) {
        let Some(begin) = text.find('{') else { return };
        match serde_json::from_str::<LogLine>(text.get(begin..).unwrap_or_default()) {
            Ok(line) if line.msg == "request ended" || line.msg == "request refused" => self.add(&line, options),
            Ok(_) => {}
            Err(_) => self.unreadable_lines += 1,
        }
    }

    fn add(&mut self, line: &LogLine, options: &Options) {
        let first = line
            .first_ms
            .filter(|_| line.kind == "stream" && line.reason == "answered");
        let Some(first) = first else {
            let what = format!("{} {} (last: {})", line.kind, line.reason, line.last);
            *self.others.entry(what.trim_start().to_owned()).or_default() += 1;
            return;
        };
        let class = (line.longest_pause_ms / PAUSE_CLASS_MS * PAUSE_CLASS_MS).min(LAST_PAUSE_CLASS_MS);
        *self.longest_pauses.entry(class).or_default() += 1;
        let count = match (first > options.first_ms, line.longest_pause_ms > options.pause_ms) {
            (false, false) => &mut self.on_time,
            (true, false) => &mut self.late_first_event,
            (false, true) => &mut self.long_pause,
            (true, true) => &mut self.late_and_long_pause,
        };
        *count += 1;
    }
}
