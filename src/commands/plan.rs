//! The `sycamorestile plan` command.

use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Instant;

use bpaf::Bpaf;
use miette::Diagnostic;
use serde::Serialize;
use sycamorestile_expert_map::replay;
use sycamorestile_expert_map::shape;
use sycamorestile_expert_map::trace;
use sycamorestile_expert_map::weights;
use thiserror::Error;

use crate::commands::{self, daemon};

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table for people.
    Table,
    /// JSON for scripts.
    Json,
}

impl FromStr for Format {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(PlanError::UnknownFormat),
        }
    }
}

/// Options of `sycamorestile plan`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    /// CSV file of recorded loads in tokens, with one row per period and one column per expert
    #[bpaf(argument("FILE"))]
    trace: PathBuf,
    /// Number of ranks of the group
    #[bpaf(argument("N"))]
    ranks: u32,
    /// Expert slots per rank
    #[bpaf(argument("N"))]
    slots: u32,
    /// Cost of one unit of excess step time
    #[bpaf(long("skew-weight"), argument("X"), fallback(1.0))]
    skew_weight: f64,
    /// Cost of moving one expert
    #[bpaf(long("cost-weight"), argument("Y"), fallback(1.0))]
    cost_weight: f64,
    /// Output format: table or json
    #[bpaf(argument("FORMAT"), fallback(Format::Table))]
    format: Format,
}

/// An error that prevents the replay of a trace.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum PlanError {
    /// The file could not be read.
    #[error("failed to read {}", file.display())]
    #[diagnostic(help("give the path of a readable CSV file with one row per period and one column per expert"))]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The underlying error.
        #[source]
        source: csv::Error,
    },
    /// A cell is not a number.
    #[error("{}:{line}: column {column} is not a number: {text:?}", file.display())]
    #[diagnostic(help("loads are plain numbers of tokens; a header row without numbers is skipped"))]
    InvalidNumber {
        /// Path of the file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: u64,
        /// Column number, starting at 1.
        column: usize,
        /// Content of the cell.
        text: String,
    },
    /// The rows are not a valid trace.
    #[error("{}", file.display())]
    Trace {
        /// Path of the file.
        file: PathBuf,
        /// The underlying error.
        #[source]
        source: trace::TraceError,
    },
    /// The experts don't fit into the slots.
    #[error(transparent)]
    Shape(#[from] shape::ShapeError),
    /// A weight is invalid.
    #[error(transparent)]
    Weight(#[from] weights::WeightError),
    /// The value is not an output format.
    #[error("unknown output format; expected table or json")]
    UnknownFormat,
}

/// The JSON output.
#[derive(Debug, Serialize)]
struct Report {
    planners: Vec<replay::PlannerScore>,
}

pub(crate) fn run(options: &Options) -> Result<(), commands::CommandError> {
    let report = replay(options).map_err(commands::CommandError::usage)?;
    match options.format {
        Format::Json => daemon::print_line(&report),
        Format::Table => {
            println!(
                "{:<8}{:>10}{:>12}{:>8}{:>10}",
                "PLANNER", "MEAN SKEW", "WORST SKEW", "MOVES", "PLAN MS"
            );
            for s in &report.planners {
                let (mean, worst) = (s.mean_skew, s.worst_skew);
                println!(
                    "{:<8}{mean:>10.4}{worst:>12.4}{:>8}{:>10.2}",
                    s.name, s.moves, s.plan_ms
                );
            }
            Ok(())
        }
    }
}

fn replay(options: &Options) -> Result<Report, PlanError> {
    let weights = weights::Weights::new(options.skew_weight, options.cost_weight)?;
    let trace = read_trace(&options.trace)?;
    let shape = shape::Shape::new(options.ranks, options.slots, trace.experts() as u32)?;
    let started = Instant::now();
    let clock = || started.elapsed().as_secs_f64() * 1e3;
    let score =
        |planner: replay::PlannerKind| replay::run(&trace, shape, weights, planner, clock).score(planner.name());
    Ok(Report {
        planners: replay::PlannerKind::ALL.into_iter().map(score).collect(),
    })
}

fn read_trace(file: &Path) -> Result<trace::Trace, PlanError> {
    let unreadable = |source| PlanError::Unreadable {
        file: file.to_owned(),
        source,
    };
    let mut reader = csv::ReaderBuilder::new();
    let reader = reader.has_headers(false).flexible(true).trim(csv::Trim::All);
    let mut reader = reader.from_path(file).map_err(unreadable)?;
    let mut rows = Vec::new();
    for (index, record) in reader.records().enumerate() {
        let record = record.map_err(unreadable)?;
        let is_header = record.iter().all(|cell| cell.parse::<f64>().is_err());
        if index == 0 && is_header {
            continue;
        }
        rows.push(read_row(file, &record)?);
    }
    trace::Trace::new(rows).map_err(|source| PlanError::Trace {
        file: file.to_owned(),
        source,
    })
}

fn read_row(file: &Path, record: &csv::StringRecord) -> Result<Vec<f64>, PlanError> {
    let line = record.position().map_or(0, csv::Position::line);
    let cell = |(column, text): (usize, &str)| {
        text.parse().ok().ok_or_else(|| PlanError::InvalidNumber {
            file: file.to_owned(),
            line,
            column: column + 1,
            text: text.to_owned(),
        })
    };
    record.iter().enumerate().map(cell).collect()
}
