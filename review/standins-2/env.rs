//! The processes of a case.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The program of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/sycamorestile-hosted";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the only organisation.
pub const API_KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A gateway. It is killed on drop.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway as the deploy file does.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Option<Self> {
        let (callers, ready, peers) = (free_port(), free_port(), free_port());
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"gateway","machineClass":"front","serves":["front"],"ip":"127.0.0.1","zone":"zone-a","region":"region-a",
"zones":{{"zone-a":"region-a"}},"listen":{{"front":"{callers}","ready":"{ready}"}},"portRange":[{0},{0}],"seeds":[],"bootstrap":true,
"countsAsLoss":false,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"vip","heartbeatMs":1200,"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"downgradeSlackMs":250,"outerMs":5000,"revokeStrict":true,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,
"budgetExtra":92,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"requireFencing":true}},
"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":8.0,"partWritesS":150,"rowBytes":65536,
"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}}}}"#,
            peers.port()
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).ok()?;
        let log = File::create(folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("SYCAMORESTILE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        Some(Self {
            name: name.to_owned(),
            callers,
            ready,
            child,
        })
    }

    /// Returns the answer to the platform's question whether the gateway is ready.
    fn is_ready(&self) -> bool {
        let answer = http::call(
            self.ready,
            "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
            Duration::from_millis(500),
        );
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> bool {
        let killed = Command::new("sh")
            .args(["-c", &format!("kill -TERM {}", self.child.id())])
            .status();
        killed.is_ok_and(|status| status.success())
    }

    /// Returns the code with which the process has ended by itself, if it has.
    fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok()?.map(|status| status.code().unwrap_or(-1))
    }

    /// Waits until the gateway is ready. Returns whether it is within `limit`.
    pub fn wait_until_ready(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end && self.exit_code().is_none() {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Ports for gateways. They lie below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;
/// The number of ports that were tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns an address whose port is free for TCP and UDP, and that this process has not returned before.
fn free_port() -> SocketAddr {
    loop {
        let offset = std::process::id()
            .wrapping_mul(197)
            .wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// What each case needs.
pub struct Case {
    /// A folder for settings and logs.
    pub scratch: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    /// The rule was broken, as described.
    Broken(String),
    /// The case could not run, for this reason.
    NotRun(String),
}

/// Returns a route. `target` is the field that names its service, or those that share its requests.
pub fn route(prefix: &str, kind: &str, timeout_ms: u32, attempts: u32, target: &str) -> String {
    route_of_rank(prefix, kind, timeout_ms, attempts, target, 1)
}

/// Returns a route with this priority.
pub fn route_of_rank(prefix: &str, kind: &str, timeout_ms: u32, attempts: u32, target: &str, priority: u32) -> String {
    let is_stream = kind == "streaming";
    format!(
        r#"{{"name":"r{prefix}","host":"{HOST}","prefix":"{prefix}","type":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":400,"priority":{priority},{target},"maxAttempts":{attempts},"public":false,"stickySessions":{is_stream},"streamResume":{is_stream},"targetGapMs":120}}"#
    )
}

/// Returns the configuration with these routes and services.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{API_KEY}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Returns a configuration with a safe and an unsafe route to the service `ledger`.
pub fn ledger_configuration() -> String {
    let target = r#""service":"ledger""#;
    let routes = [
        route("/lots/", "safe", 2_000, 2, target),
        route("/sign/", "unsafe", 2_000, 1, target),
    ];
    configuration(1, &routes, &["ledger"])
}
