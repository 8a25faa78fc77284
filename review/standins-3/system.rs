//! The system under test with its stand-ins: gateways as the deploy file starts them, replicas, the store, and the record.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::replica::{Options, unix_ms};
use crate::store::Store;

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-counter-7";
/// Bounds of the site, in milliseconds.
pub const CONTACT_MS: u64 = 3_000;

static PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that is free for TCP and UDP, below the ephemeral ports.
pub fn free_addr() -> SocketAddr {
    let first = (std::process::id() % 100) as u16 * 110;
    loop {
        let port = 20_000 + (first + PORT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

pub struct Replica {
    pub options: Options,
    pub service: String,
    pub zone: String,
    /// The address in its entry.
    pub listed: SocketAddr,
    pub born: u64,
    child: Child,
}

/// An answer that a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub attempt: String,
    pub kind: &'static str,
    pub gateway: usize,
    /// Unix milliseconds.
    pub sent_at: u64,
    pub ended_at: u64,
    /// `None` if the connection ended without a head.
    pub message: Option<http::Message>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.message.as_ref().map_or(0, http::Message::status)
    }
}

pub struct System {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub replicas: Vec<Replica>,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    pub has_trouble: bool,
    /// Further fields of `listen` in the gateways' settings, each after a comma.
    pub more_listen_fields: &'static str,
    record: Arc<Mutex<File>>,
    temp: PathBuf,
    next_attempt: Arc<AtomicUsize>,
    pending: Arc<AtomicUsize>,
}

impl System {
    /// Creates the system. What happens is written to `record.txt` in `case`.
    pub fn new(case: &str) -> Self {
        let temp = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        let record = File::create(PathBuf::from(case).join("record.txt")).expect("the record");
        let system = Self {
            store: Store::start(),
            gateways: Vec::new(),
            replicas: Vec::new(),
            answers: Arc::default(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            more_listen_fields: "",
            record: Arc::new(Mutex::new(record)),
            temp,
            next_attempt: Arc::default(),
            pending: Arc::default(),
        };
        system.note(&format!("trouble: {}", system.has_trouble));
        system
    }

    pub fn note(&self, text: &str) {
        println!("{text}");
        let line = format!("{} {text}\n", unix_ms());
        let _written = self.record.lock().expect("no panic under the lock").write_all(line.as_bytes());
    }

    /// Writes the configuration: bookings and lookups go to `ledger`, questions to `model`.
    pub fn configure(&self) {
        self.configure_with(7, &[KEY]);
    }

    /// Writes this version of the configuration, with these keys of the one tenant.
    pub fn configure_with(&self, version: u64, keys: &[&str]) {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64| {
            let is_stream = kind == "streaming";
            format!(
                r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","type":"{kind}","timeoutMs":{timeout},"targetLatencyMs":400,"priority":1,"service":"{service}","maxAttempts":2,"public":false,"stickySessions":{is_stream},"streamResume":{is_stream},"targetGapMs":120}}"#
            )
        };
        let routes = [
            route("ask", "/ask/", "streaming", "model", 8_000),
            route("book", "/book/", "unsafe", "ledger", 4_000),
            route("look", "/look/", "safe", "ledger", 4_000),
        ];
        let config = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"model","healthPath":"/healthz","maxConnections":248,"protocol":"h1","tls":false}},{{"name":"ledger","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"counter-7","apiKeys":[{keys}],"priority":1}}]}}"#,
            routes.join(","),
            keys = keys.join(","),
        );
        self.store.put("op", "config", Some(&config));
    }

    /// Starts gateways with the command of the deploy file, in three zones by turns, and waits until they are ready.
    pub fn start_gateways(&mut self, count: usize) -> bool {
        for index in 0..count {
            let (front, ready, peers) = (free_addr(), free_addr(), free_addr());
            let zone = ["nl-west-a", "nl-west-b", "nl-west-c"][index % 3];
            let settings = format!(
                r#"{{"nodeName":"front-{zone}-{index}","role":"gateway","machineClass":"front","serves":["front"],"ip":"127.0.0.1","zone":"{zone}","region":"nl-west","zones":{{"nl-west-a":"nl-west","nl-west-b":"nl-west","nl-west-c":"nl-west"}},"listen":{{"front":"{front}","ready":"{ready}"{more}}},"portRange":[{port},{port}],"seeds":[],"bootstrap":true,"countsAsLoss":false,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4200,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"],"faultTolerance":{{"machines":1,"zones":1,"regions":0}},"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"downgradeSlackMs":250,"outerMs":5000,"revokeStrict":true,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetExtra":88,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":1500,"requireFencing":true}},"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":8.0,"partWritesS":150,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}}}}"#,
                more = self.more_listen_fields,
                port = peers.port(),
                store = self.store.addr,
            );
            let path = self.temp.join(format!("boot-{index}.json"));
            fs::write(&path, settings).expect("the settings");
            let log = self.temp.join(format!("gateway-{index}.log"));
            let Ok(child) = spawn_gateway(&path, &log) else {
                self.note("the gateway can't be started");
                return false;
            };
            self.gateways.push(Gateway { front, ready, settings: path, log, child });
        }
        let is_ready = |g: &Gateway| http::wait_for_200(g.ready, "/readyz", Duration::from_secs(10));
        let all = self.gateways.iter().all(is_ready);
        self.note(&format!("{count} gateways, ready: {all}"));
        all
    }

    /// Returns the exit code of a gateway whose process has ended by itself.
    pub fn gateway_exit(&mut self, index: usize) -> Option<i32> {
        self.gateways[index].child.try_wait().ok().flatten()?.code()
    }

    /// Kills the process of a gateway.
    pub fn kill_gateway(&mut self, index: usize) {
        let child = &mut self.gateways[index].child;
        let _killed = child.kill();
        let _ended = child.wait();
    }

    /// Starts a gateway again, as a machine of a running system.
    pub fn restart_gateway(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let settings = fs::read_to_string(&gateway.settings).expect("the settings");
        fs::write(&gateway.settings, settings.replace(r#""bootstrap":true"#, r#""bootstrap":false"#)).expect("the settings");
        gateway.child = spawn_gateway(&gateway.settings, &gateway.log).expect("the gateway starts");
    }

    /// Starts a replica that is listed under `listed`, or under its own address.
    pub fn start_replica(&mut self, service: &str, options: Options, listed: Option<SocketAddr>) -> usize {
        let zone = ["nl-west-a", "nl-west-b", "nl-west-c"][self.replicas.len() % 3].to_owned();
        let options = Options { log: self.temp.join("replicas.log").display().to_string(), ..options };
        let own: SocketAddr = options.addr.parse().expect("an address");
        let child = spawn_replica(&options);
        let replica = Replica {
            service: service.to_owned(),
            zone,
            listed: listed.unwrap_or(own),
            born: unix_ms(),
            options,
            child,
        };
        wait_until_listening(own);
        self.replicas.push(replica);
        self.replicas.len() - 1
    }

    /// Starts the site's twelve replicas of the model, which these cases send nothing to.
    pub fn start_idle_models(&mut self) {
        for number in 0..12 {
            let options = Options {
                id: format!("model-{number}"),
                addr: free_addr().to_string(),
                work_ms: 60,
                pieces: 26,
                gap_ms: 10,
                form: "events".to_owned(),
                ..Options::default()
            };
            let index = self.start_replica("model", options, None);
            self.register(index, "ready");
        }
    }

    /// Kills the process of a replica.
    pub fn kill_replica(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        let _killed = replica.child.kill();
        let _ended = replica.child.wait();
    }

    /// Returns whether the process of a replica has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        self.replicas[index].child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Starts the replica again at its address, with the identifier `id`.
    pub fn restart_replica(&mut self, index: usize, id: &str) {
        let replica = &mut self.replicas[index];
        replica.options.id = id.to_owned();
        replica.child = spawn_replica(&replica.options);
        replica.born = unix_ms();
        wait_until_listening(replica.options.addr.parse().expect("an address"));
    }

    /// Writes the entry of a replica.
    pub fn register(&self, index: usize, state: &str) {
        let r = &self.replicas[index];
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":12,"state":"{state}","coldRemainingMs":0,"sequence":0,"born":{}}}"#,
            r.service, r.listed, r.zone, r.born
        );
        self.store.put("servers", &r.options.id, Some(&entry));
    }

    /// Sends a request on a new connection in the background. `headers` end with a line break each.
    pub fn send(&self, kind: &'static str, gateway: usize, method: &str, path: &str, deadline_ms: u64, headers: &str) -> String {
        self.send_with_key(kind, gateway, method, path, deadline_ms, headers, KEY)
    }

    /// Sends a POST request with this body, or with one of its own.
    pub fn send_body(&self, kind: &'static str, gateway: usize, path: &str, deadline_ms: u64, headers: &str, body: Option<&str>) -> String {
        self.send_all(kind, gateway, "POST", path, deadline_ms, headers, KEY, body)
    }

    /// The same with another key.
    #[allow(clippy::too_many_arguments)]
    pub fn send_with_key(
        &self,
        kind: &'static str,
        gateway: usize,
        method: &str,
        path: &str,
        deadline_ms: u64,
        headers: &str,
        key: &str,
    ) -> String {
        self.send_all(kind, gateway, method, path, deadline_ms, headers, key, None)
    }

    #[allow(clippy::too_many_arguments)]
    fn send_all(
        &self,
        kind: &'static str,
        gateway: usize,
        method: &str,
        path: &str,
        deadline_ms: u64,
        headers: &str,
        key: &str,
        body: Option<&str>,
    ) -> String {
        let attempt = format!("{kind}-{:05}", self.next_attempt.fetch_add(1, Ordering::SeqCst));
        let own_body = || if method == "GET" { String::new() } else { format!("slip={attempt}&cents=25") };
        let body = body.map_or_else(own_body, str::to_owned);
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (addr, answers, id) = (self.gateways[gateway].front, Arc::clone(&self.answers), attempt.clone());
        let pending = Arc::clone(&self.pending);
        pending.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            let sent_at = unix_ms();
            let message = http::call(addr, &text, Duration::from_millis(deadline_ms + 500));
            let answer = Answer { attempt: id, kind, gateway, sent_at, ended_at: unix_ms(), message };
            answers.lock().expect("no panic under the lock").push(answer);
            pending.fetch_sub(1, Ordering::SeqCst);
        });
        attempt
    }

    /// Waits until all clients have their answers.
    pub fn wait_for_clients(&self) {
        let end = Instant::now() + Duration::from_secs(12);
        while self.pending.load(Ordering::SeqCst) > 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns what replicas noted: Unix milliseconds, replica, what, attempt.
    pub fn replica_notes(&self) -> Vec<(u64, String, String, String)> {
        let text = fs::read_to_string(self.temp.join("replicas.log")).unwrap_or_default();
        let line = |line: &str| {
            let mut words = line.split(' ').map(str::to_owned);
            Some((words.next()?.parse().ok()?, words.next()?, words.next()?, words.next()?))
        };
        text.lines().filter_map(line).collect()
    }

    /// Writes all answers and all that replicas noted to the record.
    pub fn write_record(&self) {
        let mut lines: Vec<(u64, String)> = Vec::new();
        for a in self.answers.lock().expect("no panic under the lock").iter() {
            let (len, complete) = a.message.as_ref().map_or((0, false), |m| (m.body.len(), m.complete));
            let signature = a.message.as_ref().and_then(|m| m.header("x-replica-signature")).unwrap_or("-");
            lines.push((a.sent_at, format!("client sends {} to gateway {}", a.attempt, a.gateway)));
            lines.push((
                a.ended_at,
                format!("client has {}: status {} body {len} complete {complete} signature {signature}", a.attempt, a.status()),
            ));
        }
        for (at, id, what, attempt) in self.replica_notes() {
            lines.push((at, format!("replica {id} {what} {attempt}")));
        }
        lines.sort();
        let mut record = self.record.lock().expect("no panic under the lock");
        for (at, line) in lines {
            let _written = writeln!(record, "{at} {line}");
        }
    }

    /// Returns the number of answers by kind and status.
    pub fn summary(&self) -> String {
        let mut counts: HashMap<(&str, u16), usize> = HashMap::new();
        for a in self.answers.lock().expect("no panic under the lock").iter() {
            *counts.entry((a.kind, a.status())).or_default() += 1;
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_unstable();
        let texts: Vec<String> = counts.into_iter().map(|((kind, status), n)| format!("{kind} {status}: {n}")).collect();
        texts.join(", ")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let gateways = self.gateways.iter_mut().map(|g| &mut g.child);
        for child in gateways.chain(self.replicas.iter_mut().map(|r| &mut r.child)) {
            let _killed = child.kill();
            let _ended = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.temp);
        } else {
            println!("kept {}", self.temp.display());
        }
    }
}

/// Starts a gateway with the command of the deploy file.
fn spawn_gateway(settings: &PathBuf, log: &PathBuf) -> std::io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/sycamorestile-hosted")
        .arg("gateway")
        .env("SYCAMORESTILE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn spawn_replica(options: &Options) -> Child {
    Command::new(std::env::current_exe().expect("the own program"))
        .arg("replica")
        .args(options.to_args())
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the replica starts")
}

fn wait_until_listening(addr: SocketAddr) {
    let end = Instant::now() + Duration::from_secs(5);
    while std::net::TcpStream::connect(addr).is_err() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
}
