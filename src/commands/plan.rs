//! `sycamorestile plan`.

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

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Table,
    /// For scripts.
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
    /// Recorded load, CSV: one row a period, one column an expert, loads in tokens
    #[bpaf(argument("FILE"))]
    trace: PathBuf,
    /// Ranks of the group
    #[bpaf(argument("N"))]
    ranks: u32,
    /// Expert slots a rank
    #[bpaf(argument("N"))]
    slots: u32,
    /// Price of a unit of excess step time
    #[bpaf(long("skew-weight"), argument("X"), fallback(1.0))]
    skew_weight: f64,
    /// Price of one expert move
    #[bpaf(long("cost-weight"), argument("Y"), fallback(1.0))]
    cost_weight: f64,
    /// Form of the output: table or json
    #[bpaf(argument("FORMAT"), fallback(Format::Table))]
    format: Format,
}

/// Why a trace can't be replayed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum PlanError {
    /// The file can't be read.
    #[error("{} can't be read", file.display())]
    #[diagnostic(help("give the path of a CSV file: one row a period, one column an expert"))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the library says.
        #[source]
        source: csv::Error,
    },
    /// A cell is no number.
    #[error("{}:{line}: column {column} holds {text:?}, which is no number", file.display())]
    #[diagnostic(help("use plain numbers, in tokens; a first row of names is passed over"))]
    InvalidNumber {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: u64,
        /// The column, from 1.
        column: usize,
        /// What it holds.
        text: String,
    },
    /// The rows make no trace.
    #[error("{}", file.display())]
    Trace {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        #[source]
        source: trace::TraceError,
    },
    /// The experts don't fit.
    #[error(transparent)]
    Shape(#[from] shape::ShapeError),
    /// A weight can't be used.
    #[error(transparent)]
    Weight(#[from] weights::WeightError),
    /// Not a format.
    #[error("use table or json")]
    UnknownFormat,
}

/// What is printed as JSON.
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
