//! What the cases share: processes, settings, a link, and clients.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{End, Head, Peer};

/// What a case was told: the daemon to start, where the record goes, and whether there is trouble.
pub struct Setup {
    pub daemon: PathBuf,
    pub record: Record,
    pub trouble: bool,
    pub folder: PathBuf,
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), begun: Instant::now() })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.3} {}", self.begun.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// A process that ends with the case.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(program: &Path, arguments: &[&str], output: &Path) -> std::io::Result<Self> {
        let output = File::create(output)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        Ok(Self { child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal("CONT");
            self.kill();
        }
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// A free port of an address.
pub fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryPlace {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub control: SocketAddr,
}

impl EntryPlace {
    pub fn new(ip: &str) -> Self {
        Self { listen: free(ip), admin: free(ip), control: free(ip) }
    }
}

/// The settings of an entry, as the template of the deploy file fills them in a small deployment. The seeds are the
/// control addresses of all entries.
pub fn entry_settings(
    name: &str,
    place: EntryPlace,
    all: &[EntryPlace],
    store: SocketAddr,
    first: bool,
) -> String {
    let EntryPlace { listen, admin, control } = place;
    let seeds: Vec<String> = all.iter().map(|one| format!("\"{}\"", one.control)).collect();
    let seeds = seeds.join(", ");
    format!(
        r#"{{
  "box": "{name}",
  "domain": "zone-a",
  "region": "region-a",
  "control": "{control}",
  "admin": "{admin}",
  "platform": "http://{store}",
  "log": {{ "level": "info", "format": "json" }},
  "drain_seconds": 8,
  "entry": {{ "listen": "{listen}" }},
  "direct": {{
    "zones": {{"zone-a":"region-a"}},
    "seeds": [{seeds}],
    "retry": {{ "ratio": 0.2, "slack": 102, "window_seconds": 10 }},
    "memory": "260MiB",
    "descriptors": 4100,
    "weights_ms": 8000,
    "server_pace": true,
    "first_start": {first}
  }}
}}
"#
    )
}

/// Starts an entry as the deploy file does.
pub fn start_entry(
    setup: &Setup,
    name: &str,
    place: EntryPlace,
    all: &[EntryPlace],
    store: SocketAddr,
    first: bool,
) -> Option<Process> {
    let settings = setup.folder.join(format!("{name}.json"));
    fs::write(&settings, entry_settings(name, place, all, store, first)).ok()?;
    let output = setup.folder.join(format!("{name}-{}.log", unix_ms()));
    let settings = settings.display().to_string();
    Process::start(&setup.daemon, &["entry", "--settings", &settings], &output).ok()
}

/// Asks `GET /ready` until the answer is 200; returns whether it was in time.
pub fn wait_ready(admin: SocketAddr, time: Duration) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if ready(admin) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

pub fn ready(admin: SocketAddr) -> bool {
    let Ok(mut peer) = Peer::connect(admin, Duration::from_millis(500)) else { return false };
    let _ = peer.stream.set_read_timeout(Some(Duration::from_millis(1000)));
    let asked = peer.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    asked.is_ok() && peer.head().is_ok_and(|head| head.is_some_and(|head| head.word() == "200"))
}

/// One link between the entry and a server. While it is cut, it keeps what was sent and says nothing.
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    /// Bytes a second from the server; 0 for no limit. Up to 128 KiB are on their way.
    rate: Arc<AtomicUsize>,
    /// Bytes that came back from the server.
    pub returned: Arc<AtomicUsize>,
}

impl Link {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let (cut, returned) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let rate = Arc::new(AtomicUsize::new(0));
        let link =
            Self { address, cut: cut.clone(), rate: rate.clone(), returned: returned.clone() };
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let (cut, returned, rate) = (cut.clone(), returned.clone(), rate.clone());
                std::thread::spawn(move || {
                    pass(&cut);
                    // A dead port resets.
                    let Ok(far) = TcpStream::connect(server) else { return };
                    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (near.try_clone(), far.try_clone()) else { return };
                    let there = cut.clone();
                    let forward = std::thread::spawn(move || copy(from, to, &there, None));
                    match rate.load(Ordering::SeqCst) {
                        0 => copy(far, near, &cut, Some(&returned)),
                        rate => trickle(far, near, rate, &returned),
                    }
                    let _ = forward.join();
                });
            }
        });
        link
    }

    /// Sets the rate of connections that are opened from now on.
    pub fn set_rate(&self, bytes_per_second: usize) {
        self.rate.store(bytes_per_second, Ordering::SeqCst);
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn pass(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Copies until the end, which it passes on as it came: a close as a close.
fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, count: Option<&AtomicUsize>) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer);
        pass(cut);
        match read {
            Ok(0) | Err(_) => break,
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
                if let Some(count) = count {
                    count.fetch_add(length, Ordering::SeqCst);
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Copies at a rate, and goes on with what is on its way when the sender has closed.
fn trickle(mut from: TcpStream, mut to: TcpStream, rate: usize, count: &AtomicUsize) {
    const CHUNK: usize = 2 << 10;
    let (sender, waiting) = std::sync::mpsc::sync_channel::<Vec<u8>>((128 << 10) / CHUNK);
    let reader = std::thread::spawn(move || {
        let mut buffer = [0; CHUNK];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            if sender.send(buffer[..length].to_vec()).is_err() {
                return;
            }
        }
    });
    for chunk in waiting {
        std::thread::sleep(Duration::from_secs_f64(chunk.len() as f64 / rate as f64));
        if to.write_all(&chunk).is_err() {
            break;
        }
        count.fetch_add(chunk.len(), Ordering::SeqCst);
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = reader.join();
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// `None` if the connection ended before an answer began.
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub end: End,
    pub took: Duration,
}

impl Answer {
    pub fn status(&self) -> &str {
        self.head.as_ref().map_or("-", Head::word)
    }

    /// Whether it appears complete to a client.
    pub fn appears_complete(&self) -> bool {
        self.head.is_some() && self.end == End::Framed
    }
}

/// Sends one request over a new connection and reads the answer.
pub fn request(entry: SocketAddr, method: &str, path: &str, headers: &str, body: &[u8]) -> Answer {
    let begun = Instant::now();
    let failed = |took| Answer { head: None, body: Vec::new(), end: End::Broken, took };
    let Ok(mut peer) = Peer::connect(entry, Duration::from_secs(1)) else {
        return failed(begun.elapsed());
    };
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut text = format!("{method} {path} HTTP/1.1\r\n{headers}{length}\r\n").into_bytes();
    text.extend_from_slice(body);
    if peer.send(&text).is_err() {
        return failed(begun.elapsed());
    }
    match peer.head() {
        Ok(Some(head)) => {
            let (body, end) = peer.body(&head, true);
            Answer { head: Some(head), body, end, took: begun.elapsed() }
        }
        _ => failed(begun.elapsed()),
    }
}
