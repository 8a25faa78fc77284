//! The `sycamorestile standalone` command, which runs an entry, agents and stand-ins in one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use futures::future;
use miette::Diagnostic;
use serde::Serialize;
use slog::{Logger, o};
use sycamorestile_core::config::change;
use sycamorestile_core::config::declaration;
use sycamorestile_core::config::endpoint;
use sycamorestile_core::config::group;
use sycamorestile_core::config::service;
use sycamorestile_core::config::transaction;
use sycamorestile_core::name;
use sycamorestile_node::agent;
use sycamorestile_node::clock;
use sycamorestile_node::entry;
use sycamorestile_node::entry::declare_error;
use sycamorestile_node::error;
use sycamorestile_node::settings::agent_settings;
use sycamorestile_node::settings::entry_settings;
use sycamorestile_node::settings::load;
use sycamorestile_node::settings::standalone_settings;
use sycamorestile_standins::engine;
use sycamorestile_standins::ledger;
use sycamorestile_standins::platform;
use thiserror::Error;
use tokio::time;

use crate::commands::{self, daemon};
use crate::logging;

/// Options of `sycamorestile standalone`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub(crate) struct Options {
    #[bpaf(external(logging::options))]
    log: logging::LogOptions,
    /// Settings file in YAML; replaces the built-in settings
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Seed of all random numbers; replaces the seed of the settings
    #[bpaf(argument("N"), optional)]
    seed: Option<u64>,
}

/// Addresses printed as one JSON line once all agents are ready.
#[derive(Debug, Serialize)]
struct ReadyLine {
    callers: SocketAddr,
    operators: SocketAddr,
    metrics: SocketAddr,
}

/// An error that prevents the deployment from starting.
#[derive(Debug, Error, Diagnostic)]
enum StandaloneError {
    /// A component failed to start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Start(#[from] error::StartError),
    /// A built-in name is invalid.
    #[error(transparent)]
    Name(#[from] name::NameError),
    /// The entry rejected the built-in declarations.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Declarations(#[from] declare_error::DeclareError),
    /// The agents did not become ready in time.
    #[error("the agents did not become ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
}

const FAILURE_DOMAIN: &str = "local-1";
const SERVICE_MODEL: &str = "assistant";
const SERVICE_LEDGER: &str = "ledger";
const GROUP: &str = "assistant-group";
/// Number of experts of the built-in group.
const EXPERTS: u32 = 16;
/// Expert slots per rank of the built-in group.
const EXPERT_SLOTS: u32 = 8;
/// Maximum concurrent calls of a ledger replica.
const LEDGER_SLOTS: u32 = 64;
/// Step time added by each sequence in the fullest batch.
const STEP_TIME_PER_SEQUENCE: Duration = Duration::from_micros(100);
/// Maximum time until all agents are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Deployment {
    entry: entry::Entry,
    agents: Vec<agent::Agent>,
    /// This stand-in and the next two are kept because they stop when dropped.
    _platform: platform::Platform,
    _engine: engine::Engine,
    _ledger: ledger::Ledger,
}

pub(crate) fn run(options: &Options, log: &logging::LogOptions) -> Result<(), commands::CommandError> {
    let mut settings = match &options.settings {
        Some(file) => load::load(file, standalone_settings::StandaloneSettings::validate)
            .map_err(commands::CommandError::usage)?,
        None => standalone_settings::StandaloneSettings::default(),
    };
    settings.seed = options.seed.unwrap_or(settings.seed);
    let logger = options.log.or(log).logger();
    daemon::build_runtime()?.block_on(async {
        let mut signals = daemon::StopSignals::install()?;
        let deployment = start(&settings, &logger)
            .await
            .map_err(commands::CommandError::failure)?;
        daemon::print_line(&ReadyLine {
            callers: deployment.entry.callers(),
            operators: deployment.entry.operators(),
            metrics: deployment.entry.metrics(),
        })?;
        signals.wait().await;
        deployment.entry.drain().await;
        future::join_all(deployment.agents.iter().map(agent::Agent::drain)).await;
        Ok(())
    })
}

async fn start(
    settings: &standalone_settings::StandaloneSettings,
    logger: &Logger,
) -> Result<Deployment, StandaloneError> {
    let clock = clock::Clock::start();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::Platform::start(any_port).await?;
    let engine = engine::Engine::start(engine::EngineOptions {
        first_addr: any_port,
        ranks: settings.ranks,
        slots: settings.rank_slots as usize,
        step_time: Duration::from_micros(settings.step_us),
        step_time_per_sequence: STEP_TIME_PER_SEQUENCE,
    });
    let engine = engine.await?;
    let ledger = ledger::Ledger::start(any_port, settings.ledger_replicas).await?;
    let entry = entry::Entry::start(
        entry_settings(settings, &platform)?,
        clock,
        logger.new(o!("role" => "entry")),
    )
    .await?;
    let declarations = declarations(settings, &engine.addrs(), &ledger.addrs())?;
    let endpoints: Vec<name::Name> = declarations.endpoints.iter().map(|e| e.name.clone()).collect();
    declare(&entry, declarations).await?;
    let mut agents = Vec::new();
    for (index, endpoint) in endpoints.into_iter().enumerate() {
        let log = logger.new(o!("role" => "agent", "endpoint" => endpoint.to_string()));
        let agent_settings = agent_settings(settings, &platform, &entry, endpoint, index as u64)?;
        agents.push(agent::Agent::start(agent_settings, clock, log).await?);
    }
    wait_ready(&entry, agents.len()).await?;
    Ok(Deployment {
        entry,
        agents,
        _platform: platform,
        _engine: engine,
        _ledger: ledger,
    })
}

async fn declare(entry: &entry::Entry, declarations: declaration::Declarations) -> Result<(), StandaloneError> {
    let edits = declarations
        .into_objects()
        .into_iter()
        .map(|object| transaction::GuardedEdit {
            edit: change::Edit::Put(object),
            seen: None,
        });
    entry.declare(name::Name::new("built-in")?, edits.collect()).await?;
    Ok(())
}

async fn wait_ready(entry: &entry::Entry, agents: usize) -> Result<(), StandaloneError> {
    let ready = async {
        while entry.ready_agents() < agents {
            time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    time::timeout(READY_TIMEOUT, ready)
        .await
        .ok()
        .ok_or(StandaloneError::NotReady)
}

fn entry_settings(
    settings: &standalone_settings::StandaloneSettings,
    platform: &platform::Platform,
) -> Result<entry_settings::EntrySettings, name::NameError> {
    Ok(entry_settings::EntrySettings {
        role: entry_settings::EntryRole::Entry,
        instance: name::Name::new("entry-1")?,
        failure_domain: name::Name::new(FAILURE_DOMAIN)?,
        callers: settings.callers,
        operators: settings.operators,
        control: SocketAddr::from(([127, 0, 0, 1], 0)),
        metrics: settings.metrics,
        platform: platform.addr(),
        peers: Vec::new(),
        max_calls: 2_000,
        seed: Some(settings.seed),
    })
}

fn agent_settings(
    settings: &standalone_settings::StandaloneSettings,
    platform: &platform::Platform,
    entry: &entry::Entry,
    endpoint: name::Name,
    index: u64,
) -> Result<agent_settings::AgentSettings, name::NameError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(agent_settings::AgentSettings {
        role: agent_settings::AgentRole::Agent,
        instance: name::Name::new(&format!("instance-{endpoint}"))?,
        failure_domain: name::Name::new(FAILURE_DOMAIN)?,
        endpoint,
        calls: any_port,
        control: any_port,
        announced_calls: None,
        announced_control: None,
        metrics: any_port,
        platform: platform.addr(),
        entries: vec![entry.control()],
        seed: Some(settings.seed.wrapping_add(index + 1)),
    })
}

fn route(path: &str, methods: &[&str], idempotent: Option<bool>) -> service::Route {
    service::Route {
        path: path.to_owned(),
        methods: methods.iter().map(|m| (*m).to_owned()).collect(),
        idempotent,
    }
}

fn declarations(
    settings: &standalone_settings::StandaloneSettings,
    engine: &[SocketAddr],
    ledger: &[SocketAddr],
) -> Result<declaration::Declarations, name::NameError> {
    let service = |name: &str, kind, routes| {
        Ok::<_, name::NameError>(service::Service {
            name: name::Name::new(name)?,
            kind,
            routes,
            deadline_ms: 30_000,
            max_body_bytes: 1 << 20,
        })
    };
    let model_routes = vec![route("/v1/completions", &["POST"], Some(true))];
    let ledger_routes = vec![
        route("/bookings", &["POST"], Some(false)),
        route("/accounts/{account}", &["GET"], None),
    ];
    let group = group::Group {
        name: name::Name::new(GROUP)?,
        service: name::Name::new(SERVICE_MODEL)?,
        failure_domain: name::Name::new(FAILURE_DOMAIN)?,
        ranks: settings.ranks,
        experts: EXPERTS,
        slots: EXPERT_SLOTS.max(EXPERTS.div_ceil(settings.ranks)),
        skew_weight: 1.0,
        cost_weight: 1.0,
        frozen: false,
    };
    let mut endpoints = Vec::new();
    for (rank, addr) in engine.iter().enumerate() {
        endpoints.push(model_endpoint(settings, rank as u32, *addr)?);
    }
    for (replica, addr) in ledger.iter().enumerate() {
        endpoints.push(ledger_endpoint(replica, *addr)?);
    }
    Ok(declaration::Declarations {
        services: vec![
            service(SERVICE_MODEL, service::ServiceKind::Model, model_routes)?,
            service(SERVICE_LEDGER, service::ServiceKind::Plain, ledger_routes)?,
        ],
        groups: vec![group],
        organisations: settings.organisations.clone(),
        endpoints,
    })
}

fn model_endpoint(
    settings: &standalone_settings::StandaloneSettings,
    rank: u32,
    address: SocketAddr,
) -> Result<endpoint::Endpoint, name::NameError> {
    Ok(endpoint::Endpoint {
        name: name::Name::new(&format!("{SERVICE_MODEL}-{rank}"))?,
        service: name::Name::new(SERVICE_MODEL)?,
        failure_domain: name::Name::new(FAILURE_DOMAIN)?,
        address,
        slots: settings.rank_slots,
        rank_of: Some(endpoint::RankOf {
            group: name::Name::new(GROUP)?,
            rank,
        }),
        features: vec![endpoint::Feature::Resume, endpoint::Feature::Cancel],
    })
}

fn ledger_endpoint(replica: usize, address: SocketAddr) -> Result<endpoint::Endpoint, name::NameError> {
    Ok(endpoint::Endpoint {
        name: name::Name::new(&format!("{SERVICE_LEDGER}-{replica}"))?,
        service: name::Name::new(SERVICE_LEDGER)?,
        failure_domain: name::Name::new(FAILURE_DOMAIN)?,
        address,
        slots: LEDGER_SLOTS,
        rank_of: None,
        features: Vec::new(),
    })
}
