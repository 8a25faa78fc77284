//! A small deployment of stand-ins, agents and entries as processes, with fault-injecting proxies between them.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;

use sycamorestile_standins::fault_proxy;
use tokio::runtime::Runtime;

use crate::support::caller;
use crate::support::deployment_limit;
use crate::support::process;
use crate::support::wait;

/// Number of ranks of the model group.
pub(crate) const RANKS: usize = 4;
/// Failure domain of the stand-ins, the agents and the first entry.
pub(crate) const DOMAIN: &str = "hu-central-1";
/// Failure domain of the other entries started by [`Cluster::start`].
const OTHER_DOMAIN: &str = "hu-central-2";

/// An agent's process and the proxies around it.
#[derive(Debug)]
pub(crate) struct AgentNode {
    pub(crate) endpoint: String,
    pub(crate) process: process::Process,
    /// Between the entries and the agent's listener for attempts.
    pub(crate) calls_proxy: fault_proxy::FaultProxy,
    /// Between the entries and the agent's control listener.
    pub(crate) control_proxy: fault_proxy::FaultProxy,
    /// Between the agent and its endpoint.
    pub(crate) endpoint_proxy: fault_proxy::FaultProxy,
    /// Between the agent and the platform.
    pub(crate) platform_proxy: fault_proxy::FaultProxy,
}

/// An entry's process and the proxies around it.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) process: process::Process,
    /// Between callers and the entry.
    pub(crate) callers_proxy: fault_proxy::FaultProxy,
    /// Between the entry and the platform.
    pub(crate) platform_proxy: fault_proxy::FaultProxy,
}

/// A running deployment.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) entries: Vec<EntryNode>,
    /// Agents of the ranks, then those of the ledger replicas.
    pub(crate) agents: Vec<AgentNode>,
    pub(crate) platform: process::Process,
    pub(crate) engine: process::Process,
    pub(crate) ledger: process::Process,
    dir: tempfile::TempDir,
    runtime: Runtime,
    _permit: deployment_limit::DeploymentPermit,
}

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("the address is valid")
}

impl Cluster {
    /// Starts a deployment with the given number of entries and waits until every agent is live at each of them.
    pub(crate) fn start(entries: usize) -> Self {
        let permit = deployment_limit::DeploymentPermit::acquire();
        let runtime = Runtime::new().expect("the runtime starts");
        let dir = tempfile::tempdir().expect("the temporary directory is created");
        let ranks = RANKS.to_string();
        let platform = process::Process::start(&["standin", "platform", "--addr", "127.0.0.1:0"]);
        let engine = process::Process::start(&["standin", "engine", "--addr", "127.0.0.1:0", "--ranks", &ranks]);
        let ledger = process::Process::start(&["standin", "ledger", "--addr", "127.0.0.1:0"]);
        let mut cluster = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            platform,
            engine,
            ledger,
            dir,
            runtime,
            _permit: permit,
        };
        for index in 0..entries {
            // All entries but the first are in another failure domain than the agents.
            let domain = if index == 0 { DOMAIN } else { OTHER_DOMAIN };
            cluster.add_entry(&format!("entry-{index}"), domain);
        }
        cluster.add_agents();
        cluster.wait_ready();
        cluster
    }

    fn proxy(&self, upstream: &str) -> fault_proxy::FaultProxy {
        self.runtime
            .block_on(fault_proxy::FaultProxy::start(addr(upstream)))
            .expect("the proxy starts")
    }

    /// Writes a file into the deployment's temporary directory.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Starts an entry that knows the earlier entries as peers.
    pub(crate) fn add_entry(&mut self, name: &str, domain: &str) {
        let platform_proxy = self.proxy(&self.platform.addrs()[0]);
        let peers: Vec<String> = self.entries.iter().map(|e| e.process.addr("control")).collect();
        let settings = format!(
            "role: entry\ninstance: {name}\nfailure_domain: {domain}\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
             control: 127.0.0.1:0\nmetrics: 127.0.0.1:0\nplatform: {}\npeers: [{}]\n",
            platform_proxy.addr(),
            peers.join(", "),
        );
        let file = self.write_file(&format!("{name}.yaml"), &settings);
        let process = process::Process::start(&[
            "entry",
            "--settings",
            file.to_str().expect("the path is UTF-8"),
            "--log-level",
            "warning",
        ]);
        let callers_proxy = self.proxy(&process.addr("callers"));
        self.entries.push(EntryNode {
            process,
            callers_proxy,
            platform_proxy,
        });
    }

    fn add_agents(&mut self) {
        let ranks = self.engine.addrs();
        let replicas = self.ledger.addrs();
        let rank_endpoints = ranks
            .iter()
            .enumerate()
            .map(|(i, address)| (format!("assistant-{i}"), address.clone()));
        let replica_endpoints = replicas
            .iter()
            .enumerate()
            .map(|(i, address)| (format!("ledger-{i}"), address.clone()));
        let endpoints: Vec<(String, String)> = rank_endpoints.chain(replica_endpoints).collect();
        let proxies: Vec<fault_proxy::FaultProxy> = endpoints.iter().map(|(_, address)| self.proxy(address)).collect();
        self.declare(&declarations(&endpoints, &proxies));
        for ((endpoint, _), endpoint_proxy) in endpoints.into_iter().zip(proxies) {
            let agent = self.new_agent(endpoint, endpoint_proxy);
            self.agents.push(agent);
        }
    }

    /// Declares a service whose calls to `path` are idempotent, with `endpoints` by name that can resume streams, and starts
    /// their agents.
    pub(crate) fn add_service(&mut self, service: &str, path: &str, endpoints: &[(String, SocketAddr)]) {
        let mut yaml = format!(
            "services:\n- name: {service}\n  kind: plain\n  max_body_bytes: 4096\n  routes:\n  - path: {path}\n    \
             methods: [POST]\n    idempotent: true\nendpoints:\n"
        );
        for (name, address) in endpoints {
            // Writing to a string can't fail.
            let _result = write!(
                yaml,
                "- name: {name}\n  service: {service}\n  failure_domain: {DOMAIN}\n  address: {address}\n  slots: 4\n  \
                 features: [resume]\n"
            );
        }
        self.declare(&yaml);
        for (name, address) in endpoints {
            let endpoint_proxy = self.proxy(&address.to_string());
            let agent = self.new_agent(name.clone(), endpoint_proxy);
            self.agents.push(agent);
        }
        self.wait_ready();
    }

    /// Declares objects through the first entry.
    pub(crate) fn declare(&self, yaml: &str) {
        let file = self.write_file("declarations.yaml", yaml);
        let operators = self.entries[0].process.addr("operators");
        let path = file.to_str().expect("the path is UTF-8");
        let output = process::run(&["operator", "--addr", &operators, "declare", path]);
        assert!(
            output.status.success(),
            "the declarations were not applied: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    fn new_agent(&self, endpoint: String, endpoint_proxy: fault_proxy::FaultProxy) -> AgentNode {
        // The agent announces the proxies' addresses; the proxies are redirected to the agent once it listens.
        let unused_address = "127.0.0.1:9";
        let calls_proxy = self.proxy(unused_address);
        let control_proxy = self.proxy(unused_address);
        let platform_proxy = self.proxy(&self.platform.addrs()[0]);
        let process = self.start_agent(&endpoint, &calls_proxy, &control_proxy, &platform_proxy);
        AgentNode {
            endpoint,
            process,
            calls_proxy,
            control_proxy,
            endpoint_proxy,
            platform_proxy,
        }
    }

    fn start_agent(
        &self,
        endpoint: &str,
        calls_proxy: &fault_proxy::FaultProxy,
        control_proxy: &fault_proxy::FaultProxy,
        platform_proxy: &fault_proxy::FaultProxy,
    ) -> process::Process {
        let entries: Vec<String> = self.entries.iter().map(|e| e.process.addr("control")).collect();
        let settings = format!(
            "role: agent\ninstance: instance-{endpoint}\nfailure_domain: {DOMAIN}\nendpoint: {endpoint}\n\
             calls: 127.0.0.1:0\ncontrol: 127.0.0.1:0\nannounced_calls: {}\nannounced_control: {}\nmetrics: 127.0.0.1:0\n\
             platform: {}\nentries: [{}]\n",
            calls_proxy.addr(),
            control_proxy.addr(),
            platform_proxy.addr(),
            entries.join(", "),
        );
        let file = self.write_file(&format!("{endpoint}.yaml"), &settings);
        let process = process::Process::start(&[
            "agent",
            "--settings",
            file.to_str().expect("the path is UTF-8"),
            "--log-level",
            "error",
        ]);
        calls_proxy.redirect(addr(&process.addr("calls")));
        control_proxy.redirect(addr(&process.addr("control")));
        process
    }

    /// Starts a new process in place of an agent that has exited.
    pub(crate) fn replace_agent(&mut self, index: usize) {
        let node = &self.agents[index];
        let process = self.start_agent(
            &node.endpoint,
            &node.calls_proxy,
            &node.control_proxy,
            &node.platform_proxy,
        );
        self.agents[index].process = process;
    }

    /// Waits until every agent is live and up to date at every entry.
    pub(crate) fn wait_ready(&self) {
        let expected = self.agents.len();
        for index in 0..self.entries.len() {
            wait::until_none("every agent is live at every entry", || {
                let status = self.status(index);
                let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
                let live = agents
                    .iter()
                    .filter(|a| a["standing"] == "live" && a["revision"] == status["revision"]);
                let is_ready = status["ready"] == true && live.count() == expected;
                (!is_ready).then(|| format!("entry {index}: {status}"))
            });
        }
    }

    /// Returns the status of an entry, as printed for operators.
    pub(crate) fn status(&self, entry: usize) -> serde_json::Value {
        let operators = self.entries[entry].process.addr("operators");
        let output = process::run(&["operator", "--addr", &operators, "--format", "json", "status"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Returns the metrics of an agent.
    pub(crate) fn agent_metrics(&self, index: usize) -> String {
        let addr = self.agents[index].process.addr("metrics");
        let mut page = ureq::get(format!("http://{addr}/metrics"))
            .call()
            .expect("the agent responds");
        page.body_mut().read_to_string().expect("the metrics are text")
    }

    /// Creates a caller of an entry.
    pub(crate) fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(&self.entries[entry].callers_proxy.addr().to_string())
    }

    /// Sets the faults of a stand-in.
    pub(crate) fn set_faults(standin: &str, faults: &str) {
        let response = ureq::post(format!("http://{standin}/faults")).send(faults);
        assert_eq!(response.expect("the stand-in responds").status().as_u16(), 200);
    }

    /// Sets the faults of the platform.
    pub(crate) fn set_platform_faults(&self, faults: &str) {
        Self::set_faults(&self.platform.addrs()[0], faults);
    }

    /// Returns the number of commits that the platform has received.
    pub(crate) fn commit_count(&self) -> u64 {
        let url = format!("http://{}/counts", self.platform.addrs()[0]);
        let mut response = ureq::get(url).call().expect("the platform responds");
        let counts: serde_json::Value = response.body_mut().read_json().expect("the counts are JSON");
        counts["commits"].as_u64().expect("the number of commits is an integer")
    }

    /// Waits until the first entry reports an agent with a running call and returns its index.
    pub(crate) fn wait_for_busy_agent(&self) -> usize {
        let mut found = None;
        wait::until("an agent runs a call", || {
            let status = self.status(0);
            let agents = status["agents"].as_array().map(Vec::as_slice).unwrap_or_default();
            let busy = agents.iter().find(|a| a["running"].as_u64() > Some(0));
            found = busy.and_then(|a| {
                self.agents
                    .iter()
                    .position(|node| a["endpoint"] == node.endpoint.as_str())
            });
            found.is_some()
        });
        found.expect("an agent runs a call")
    }
}

fn declarations(endpoints: &[(String, String)], proxies: &[fault_proxy::FaultProxy]) -> String {
    let mut yaml = format!(
        "services:\n\
         - name: assistant\n  kind: model\n  routes:\n  - path: /v1/completions\n    methods: [POST]\n    idempotent: true\n\
         - name: ledger\n  kind: plain\n  max_body_bytes: 4096\n  routes:\n  - path: /bookings\n    methods: [POST]\n\
         {0}- path: '/accounts/{{account}}'\n    methods: [GET]\n\
         groups:\n- name: drafts\n  service: assistant\n  failure_domain: {DOMAIN}\n  ranks: {RANKS}\n  experts: 16\n  slots: 8\n\
         organisations:\n- name: small\n  calls_per_second: 2\n  burst: 2\nendpoints:\n",
        "  ",
    );
    for (index, ((name, _), proxy)) in endpoints.iter().zip(proxies).enumerate() {
        let service = if index < RANKS { "assistant" } else { "ledger" };
        let address = proxy.addr();
        // Writing to a string can't fail.
        let _result = write!(
            yaml,
            "- name: {name}\n  service: {service}\n  failure_domain: {DOMAIN}\n  address: {address}\n  slots: 16\n"
        );
        if index < RANKS {
            yaml.push_str("  features: [resume, cancel]\n");
            let _result = writeln!(yaml, "  rank_of: {{ group: drafts, rank: {index} }}");
        }
    }
    yaml
}
