//! A small deployment: the store and processes of the system.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::{http, record, replica, store};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A port that is free for TCP and UDP, below those of outgoing connections.
pub fn free_port() -> SocketAddr {
    let first = (std::process::id() * 197 % 11_000) as u16;
    loop {
        let port = 20_000 + (first + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % 11_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!(
            "review-{}-{}",
            std::process::id(),
            NEXT_PORT.load(Ordering::Relaxed)
        ));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}

/// A gateway, started with the command of the deploy file. It is killed on drop.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    folder: Folder,
    settings: String,
    child: Option<Child>,
}

impl Gateway {
    pub fn start(name: &str, zone: &str, memory_mb: u64, store: &store::Store) -> Result<Self, String> {
        let (callers, ready, peers) = (free_port(), free_port(), free_port());
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"gateway","machineClass":"front","serves":["front"],"ip":"127.0.0.1","zone":"{zone}",
"region":"{region}","zones":{{"{region}-a":"{region}","{region}-b":"{region}","{region}-c":"{region}"}},
"listen":{{"front":"{callers}","ready":"{ready}"}},"portRange":[{port},{port}],"seeds":[],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{memory_mb},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"],
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"downgradeSlackMs":250,"outerMs":5000,"revokeStrict":true,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"budgetExtra":92,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"requireFencing":true}},
"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":8.0,"partWritesS":150,"rowBytes":65536,
"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}}}}"#,
            region = zone.rsplit_once('-').map_or(zone, |(region, _)| region),
            port = peers.port(),
            store = store.addr
        );
        let mut gateway = Self {
            name: name.to_owned(),
            callers,
            ready,
            folder: Folder::create(),
            settings,
            child: None,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    fn spawn(&mut self) -> Result<(), String> {
        let path = self.folder.0.join("boot.json");
        std::fs::write(&path, &self.settings).map_err(|e| e.to_string())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.0.join("log"));
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new("target/release/sycamorestile-hosted")
            .arg("gateway")
            .env("SYCAMORESTILE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn();
        self.child = Some(child.map_err(|e| format!("the gateway does not start: {e}"))?);
        Ok(())
    }

    /// Starts the process again after its end, as the platform does.
    pub fn restart(&mut self) -> Result<(), String> {
        self.settings = self.settings.replace(r#""bootstrap":true"#, r#""bootstrap":false"#);
        self.spawn()
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |c| c.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain call for a child that has not been waited for.
        unsafe { kill(self.pid(), signal) };
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Memory that the process has in use, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _timeout = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok() && http::read_head(&mut BufReader::new(stream)).is_some_and(|h| h.status() == 200)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(format!("{} is not ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes the entry of a replica.
pub fn register(store: &store::Store, replica: &replica::Replica, service: &str, zone: &str, slots: u32, state: &str) {
    let entry = format!(
        r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":1,"born":1790000000000}}"#,
        replica.addr
    );
    store.put("servers", &replica.id, Some(&entry));
}

/// A route of the configuration: prefix, type, service, time-out and most attempts.
pub type Route<'a> = (&'a str, &'a str, &'a str, u64, u32);

/// Writes a configuration.
pub fn configure(store: &store::Store, record: &record::Record, version: u64, routes: &[Route<'_>], idle_ms: u64) {
    let list: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout, attempts)| {
            let stream = *kind == "streaming";
            format!(
                r#"{{"name":"{prefix}","host":"{}","prefix":"{prefix}","type":"{kind}","timeoutMs":{timeout},"targetLatencyMs":400,"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"stickySessions":{stream},"streamResume":{stream},"targetGapMs":120}}"#,
                crate::client::HOST
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|r| r.2).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(r#"{{"name":"{s}","healthPath":"/healthz","maxConnections":418,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":{idle_ms}}},"tenants":[{{"name":"acme","apiKeys":["{}"],"priority":1}}]}}"#,
        list.join(","),
        services.join(","),
        crate::client::KEY
    );
    store.put("op", "config", Some(&text));
    record.line(&format!("store accepts configuration {version}"));
}
