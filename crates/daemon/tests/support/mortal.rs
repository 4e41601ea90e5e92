//! Servers whose process ends when it begins to run a certain request.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
};

use super::{header, paced::EventPace, read_head, server::Responder};

/// Time from the head of a harmful request's answer to the end of the server.
const HARM_TIME: Duration = Duration::from_millis(30);

/// What the path of a harmful request contains.
pub const HARMFUL: &str = "harmful";

/// The part of a prompt that makes a request harmful.
pub const HARMFUL_PART: &str = "bad";

/// A server that ends, with everything that it runs, once it has begun a harmful request.
#[derive(Debug)]
pub struct MortalServer {
    /// Where it listens until then.
    pub address: SocketAddr,
    life: Arc<ServerLife>,
}

#[derive(Debug, Default)]
struct ServerLife {
    ended: AtomicBool,
    ends: Notify,
    /// Heads of the requests that have come.
    seen: Mutex<Vec<String>>,
}

impl MortalServer {
    /// Starts a server on a free port that answers sound requests at this pace.
    pub async fn start(pace: EventPace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let life = Arc::new(ServerLife::default());
        tokio::spawn(live(listener, pace, life.clone()));
        Self { address, life }
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.life.ended.load(Ordering::Relaxed)
    }

    /// Ends it.
    pub fn end(&self) {
        self.life.end();
    }

    /// Heads of the requests that have come.
    pub fn seen(&self) -> Vec<String> {
        self.life.seen.lock().expect("no test panics with it").clone()
    }
}

impl ServerLife {
    fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.ends.notify_one();
    }
}

/// Serves until the server ends: then the port and all connections close at once.
async fn live(listener: TcpListener, pace: EventPace, life: Arc<ServerLife>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = life.ends.notified() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                connections.spawn(serve(stream, pace, life.clone()));
            }
        }
    }
}

fn is_harmful(head: &str) -> bool {
    let has_part = |parts: &str| parts.split(',').any(|part| part == HARMFUL_PART);
    head.lines().next().unwrap_or_default().contains(HARMFUL)
        || header(head, "x-parts").is_some_and(has_part)
}

async fn serve(mut stream: TcpStream, pace: EventPace, life: Arc<ServerLife>) {
    let Some(head) = read_head(&mut stream).await else { return };
    life.seen.lock().expect("no test panics with it").push(head.clone());
    if !is_harmful(&head) {
        // A caller that has gone reads nothing; that is its own affair.
        let _ = pace.answer(&mut stream, &head).await;
        let _ = stream.shutdown().await;
        return;
    }
    let id = header(&head, "x-id").unwrap_or_default();
    let _ = stream.write_all(pace.begin(id).as_bytes()).await;
    tokio::time::sleep(HARM_TIME).await;
    if !pace.listens_on.is_zero() {
        drop(stream);
        tokio::time::sleep(pace.listens_on).await;
    }
    life.end();
}
