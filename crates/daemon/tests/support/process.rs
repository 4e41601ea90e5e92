//! Entries as processes of their own, which can be killed and started anew.

use std::{
    fs::{self, File},
    net::SocketAddr,
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use serde_json::json;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

use super::entries::place;

/// Pause of a caller before it asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time of one request.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry whose process is killed when this is dropped.
pub struct ProcessEntry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    process: Child,
    folder: TempDir,
}

/// A host of its own for each process, so that no other socket takes a port before the process does.
fn next_host() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    place(HOSTS.fetch_add(1, Ordering::Relaxed))
}

impl ProcessEntry {
    /// Starts entries that know each other in front of the servers of the store; `first_start` tells whether the whole
    /// system starts for the first time.
    pub fn start_all(count: usize, store: SocketAddr, first_start: bool) -> Vec<Self> {
        let controls: Vec<SocketAddr> = (0..count).map(|_| next_host()).collect();
        let start = |control: &SocketAddr| Self::start(*control, &controls, store, first_start);
        controls.iter().map(start).collect()
    }

    fn start(
        control: SocketAddr,
        seeds: &[SocketAddr],
        store: SocketAddr,
        first_start: bool,
    ) -> Self {
        let [address, admin] = [8005, 8002].map(|port| SocketAddr::new(control.ip(), port));
        let settings = json!({
            "box": format!("e-{}", control.ip()), "domain": "z1", "region": "r1",
            "control": control, "admin": admin, "platform": format!("http://{store}"),
            "drain_seconds": 8, "entry": { "listen": address },
            "direct": { "zones": { "z1": "r1" }, "seeds": seeds, "first_start": first_start },
        });
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("settings.json");
        fs::write(&path, settings.to_string()).expect("a file");
        let log = File::create(folder.path().join("log")).expect("a file");
        let process = Command::new(env!("CARGO_BIN_EXE_headlatchd"))
            .arg("entry")
            .arg("--settings")
            .arg(&path)
            .stdout(log)
            .spawn()
            .expect("headlatchd starts");
        Self { address, admin, process, folder }
    }

    /// Waits for a line of its decision log with this event, and returns it.
    pub async fn wait_for_line(&self, event: &str, time: Duration) -> String {
        let until = Instant::now() + time;
        let mark = format!(r#""event":"{event}""#);
        loop {
            if let Some(line) = self.log().into_iter().find(|line| line.contains(&mark)) {
                return line;
            }
            assert!(Instant::now() < until, "no {event} in the log:\n{}", self.log().join("\n"));
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Lines of its decision log so far.
    pub fn log(&self) -> Vec<String> {
        let text = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    /// Asks for `path` until the answer is 200; whether that happens in `time`.
    pub async fn serves(&self, path: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let asked = tokio::time::timeout(ASK_TIMEOUT, get(self.address, path)).await;
            if asked.is_ok_and(|asked| asked.is_ok_and(|text| text.starts_with("HTTP/1.1 200"))) {
                return true;
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
        false
    }

    /// Its metrics.
    pub async fn metrics(&self) -> String {
        get(self.admin, "/metrics").await.expect("metrics")
    }
}

impl Drop for ProcessEntry {
    fn drop(&mut self) {
        // It has ended already if the test fails for that.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

async fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nrequest-id: r1\r\ndeadline-ms: 2000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
