//! A small deployment on loopback addresses: the store, servers, entries, and the record of a case.

use std::{
    env,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Call},
    server::time_ms,
    store::Store,
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Time for which a process may finish after SIGTERM, as on the small deployments.
pub const GRACE: Duration = Duration::from_secs(8);

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn note(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{} {text}", time_ms());
    }
}

/// An entry or an agent, which is ended when this is dropped.
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// A server, which is ended when this is dropped.
pub struct Server {
    pub address: SocketAddr,
    child: Child,
}

/// Sends a signal to a process that the case started.
fn send_signal(child: &Child, signal: i32) {
    // SAFETY: `kill` takes two numbers; the process is a child that has not been waited for.
    unsafe { kill(child.id() as i32, signal) };
}

impl Entry {
    pub fn signal(&self, signal: i32) {
        send_signal(&self.child, signal);
    }

    /// Whether the process has ended by now.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let call = Call { method: "GET", path: "/ready", headers: &[], body: b"", time: Duration::from_millis(900) };
        http::call(self.ready, &call).status == 200
    }

    fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
        let log = File::options().create(true).append(true).open(log).expect("the log of an entry");
        let mut run = Command::new("target/release/headlatchd");
        run.args([role, "--settings"]).arg(settings).stdin(Stdio::null());
        run.stdout(log.try_clone().expect("a log")).stderr(log);
        run.spawn().expect("headlatchd starts")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Server {
    /// Kills the process, as in a crash, and waits until it is gone.
    pub fn crash(&mut self) {
        send_signal(&self.child, SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment with a folder of its own.
pub struct Rig {
    pub store: Store,
    pub record: Record,
    pub folder: PathBuf,
    pub servers_record: PathBuf,
    store_address: SocketAddr,
    control: u16,
}

/// A free address on `ip`.
pub fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Rig {
    /// Starts the store and writes the configuration; the record goes to `case`.
    pub fn new(case: &Path) -> Self {
        let folder = env::temp_dir().join(format!("headlatch-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let record = File::create(case.join("record.txt")).expect("record.txt");
        let (store, store_address) = Store::start("127.0.0.1");
        let servers_record = folder.join("servers.txt");
        // The same port of every machine is for what entries say to each other.
        let control = free("127.0.0.1").port();
        Self { store, record: Record(Arc::new(Mutex::new(record))), folder, servers_record, store_address, control }
    }

    /// Starts entry `number` on a loopback address of its own, at the first start of the whole system.
    pub fn entry(&self, number: u8, seeds: &[u8]) -> Entry {
        self.entry_with(number, seeds, true)
    }

    /// Starts entry `number`; `is_first` tells whether the whole system starts for the first time.
    pub fn entry_with(&self, number: u8, seeds: &[u8], is_first: bool) -> Entry {
        let (own, name) = (format!("127.0.1.{number}"), format!("front-{number}"));
        let (address, ready) = (free(&own), free(&own));
        let part = format!(
            r#""entry": {{ "listen": "{address}" }},
  "direct": {{ "retry": {{ "ratio": 0.2, "slack": 102, "window_seconds": 10 }}, "memory": "260MiB","#
        );
        self.start("entry", &own, name, (address, ready), &part, (seeds, is_first))
    }

    /// Starts the agent beside the model server at `server`.
    pub fn agent(&self, own: &str, server: SocketAddr, seeds: &[u8], is_first: bool) -> Entry {
        let admin = free(own);
        let part = format!(
            r#""agent": {{ "endpoint": {{ "kind": "engine", "address": "{server}", "service": "llm" }}, "link": {{ "rate": "7.3Mbit/s" }} }},
  "direct": {{"#
        );
        self.start("agent", own, format!("side-{}", server.port()), (admin, admin), &part, (seeds, is_first))
    }

    /// Starts a process with settings as the templates of the deploy file give them.
    fn start(
        &self,
        role: &str,
        own: &str,
        name: String,
        (address, ready): (SocketAddr, SocketAddr),
        part: &str,
        (seeds, is_first): (&[u8], bool),
    ) -> Entry {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"127.0.1.{seed}:{}\"", self.control)).collect();
        let text = format!(
            r#"{{ "box": "{name}", "domain": "zone-a", "region": "region-a", "control": "{own}:{}", "admin": "{ready}",
  "platform": "http://{}", "log": {{ "level": "info", "format": "json" }}, "drain_seconds": {},
  {part} "zones": {{"zone-a": "region-a"}}, "seeds": [{}], "weights_ms": 8000, "server_pace": true,
    "first_start": {is_first} }} }}
"#,
            self.control,
            self.store_address,
            GRACE.as_secs(),
            seeds.join(","),
        );
        let (settings, log) = (self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.log")));
        fs::write(&settings, text).expect("settings");
        let child = Entry::spawn(role, &settings, &log);
        Entry { name, address, ready, child }
    }

    /// Starts a server; `address` is free, or that of a server that has ended.
    pub fn server(&self, service: &str, id: &str, address: SocketAddr) -> Server {
        let own = env::current_exe().expect("the path of this program");
        let mut run = Command::new(own);
        run.arg("server").arg(address.to_string()).arg(id).arg(&self.servers_record).stdin(Stdio::null());
        let child = run.spawn().expect("a server starts");
        let until = Instant::now() + Duration::from_secs(3);
        while std::net::TcpStream::connect(address).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        self.register(service, id, address, "ready", 1);
        self.record.note(&format!("server {id} of {service} listens at {address}"));
        Server { address, child }
    }

    /// Writes a server's entry in the store.
    pub fn register(&self, service: &str, id: &str, address: SocketAddr, state: &str, sequence: u32) {
        self.store.put(
            "servers",
            id,
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":16,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence}}}"#
            ),
        );
    }

    /// Writes a configuration with an unsafe, a safe and a streaming route, which may not be resumed, to the service
    /// `api`.
    pub fn configure(&self, version: u32) {
        let route = |name: &str, path: &str, kind: &str, times: (u32, u32, u32), attempts: u32| {
            let (timeout, objective, pause) = times;
            format!(
                r#"{{"name":"{name}","host":"review.example","path_prefix":"{path}","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{objective},"priority":1,"service":"api","max_attempts":{attempts},"allow_anonymous":false,"sticky_sessions":false,"resume_streams":false,"gap_target_ms":{pause}}}"#
            )
        };
        let routes = [
            route("r-once", "/once/", "unsafe", (2000, 300, 0), 1),
            route("r-safe", "/safe/", "safe", (2000, 300, 0), 2),
            route("r-stream", "/stream/", "streaming", (6000, 500, 400), 1),
        ];
        let service = |name: &str| {
            format!(r#"{{"name":"{name}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}"#)
        };
        self.store.put(
            "config",
            "main",
            &format!(
                r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-a","api_keys":["key-of-tenant-a"],"priority":1}}]}}"#,
                routes.join(","),
                service("api"),
            ),
        );
    }

    /// Writes a configuration with a streaming route, which may be resumed, to the model servers `llm`, whose weights
    /// come from `origin`.
    pub fn configure_model(&self, version: u32, origin: SocketAddr) {
        let model = crate::model::MODEL;
        let engine = format!(
            r#"{{"slots":16,"kv_capacity":317000,"kv_token_bytes":262144,"link_mbps":400000.0,"stride":5,"models":[{{"name":"{model}","pace":1.0,"load_s":4.0,"warm_s":0.3}}],"size_mb":149000.0,"adapter_slots":8,"loads_per_s":0.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{{"prompt":979,"answer":92}},"layers":16,"layer_mb":4090.0,"act_bytes":16384,"pipe_mbps":0.0,"chunks":96,"chunk_bytes":24576}}"#
        );
        self.store.put(
            "config",
            "main",
            &format!(
                r#"{{"version":{version},"routes":[{{"name":"r-llm","host":"review.example","path_prefix":"/llm/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2,"allow_anonymous":false,"sticky_sessions":true,"resume_streams":true,"gap_target_ms":400}}],"services":[{{"name":"llm","health_path":"/health","max_connections":424,"protocol":"h1","tls":false,"engine":{engine}}},{{"name":"weights","origin":"{origin}","zone":"zone-a","link_mbps":7.3,"max_connections":48}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-a","api_keys":["key-of-tenant-a"],"priority":1}}]}}"#
            ),
        );
    }

    /// Waits until all entries are ready; returns whether they are.
    pub fn wait_ready(&self, entries: &[Entry]) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while !entries.iter().all(Entry::is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Sends one request as a client does, and records it.
    pub fn request(&self, to: SocketAddr, method: &str, path: &str, id: &str, deadline: Duration) -> Answer {
        self.request_with(to, method, path, id, deadline, &[])
    }

    /// As [`Self::request`], with further headers.
    pub fn request_with(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        further: &[(&str, &str)],
    ) -> Answer {
        let deadline_ms = deadline.as_millis().to_string();
        let mut headers = vec![
            ("Host", "review.example"),
            ("Request-Id", id),
            ("Deadline-Ms", deadline_ms.as_str()),
            ("Api-Key", "key-of-tenant-a"),
        ];
        headers.extend(further);
        self.record.note(&format!("client sends {id}: {method} {path} to {to}"));
        let answer = http::call(to, &Call { method, path, headers: &headers, body: b"", time: deadline });
        let stamp = http::value(&answer.headers, "response-stamp").unwrap_or("none").to_owned();
        self.record.note(&format!(
            "client has for {id}: status {}, {} bytes, ended as whole: {}, stamp {stamp}, after {} ms {}",
            answer.status,
            answer.body.len(),
            answer.whole,
            answer.ended.duration_since(answer.sent).as_millis(),
            answer.error,
        ));
        answer
    }

    /// What the servers have recorded.
    pub fn server_lines(&self) -> Vec<String> {
        fs::read_to_string(&self.servers_record).unwrap_or_default().lines().map(str::to_owned).collect()
    }

    /// Appends the servers' record and the entries' logs, and removes the folder.
    pub fn finish(&self) {
        let mut record = self.record.0.lock().unwrap();
        for line in self.server_lines() {
            let _ = writeln!(record, "{line}");
        }
        let logs = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        for log in logs.filter(|log| log.path().extension().is_some_and(|kind| kind == "log")) {
            let _ = writeln!(record, "-- log of {}", log.file_name().to_string_lossy());
            let _ = record.write_all(&fs::read(log.path()).unwrap_or_default());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
