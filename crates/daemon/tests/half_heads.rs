//! Servers that stop in the head of an answer and close. Guards against an answer with the status of that head and an
//! empty or short body, framed as whole.

mod support;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{Route, RouteKind, RouteTarget, ServerRecord, TrafficPlan};
use rstest::rstest;
use support::{TestHeaders, TestStore, ask, header, plan, read_head, record, route, settings};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

const BODY: &str = "id: 1\ndata: piece\n\n";

/// Time within which a request is answered; their deadline is 15 s.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Kinds of routes; requests of the last two may run once.
const KINDS: [RequestKind; 4] = [
    RequestKind { name: "safe", kind: RouteKind::Repeatable, may_repeat: true },
    RequestKind { name: "stream", kind: RouteKind::Stream, may_repeat: true },
    RequestKind { name: "live", kind: RouteKind::Stream, may_repeat: false },
    RequestKind { name: "once", kind: RouteKind::Once, may_repeat: false },
];

#[derive(Debug, Clone, Copy)]
struct RequestKind {
    name: &'static str,
    kind: RouteKind,
    /// Whether another server may be asked; for a stream, whether it may be resumed.
    may_repeat: bool,
}

/// The form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Length,
    Chunked,
    /// Its body ends with the connection.
    UntilClose,
    /// With a length, behind an interim response.
    Interim,
}

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    Fin,
    Reset,
}

/// Head and body of an answer to a request with this id.
fn answer(form: Form, id: &str) -> (String, String) {
    let begin = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\n");
    let length = format!("content-length: {}\r\n\r\n", BODY.len());
    match form {
        Form::Length => (begin + &length, BODY.to_owned()),
        Form::Chunked => (
            begin + "transfer-encoding: chunked\r\n\r\n",
            format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
        ),
        Form::UntilClose => (begin + "\r\n", BODY.to_owned()),
        Form::Interim => (format!("HTTP/1.1 100 Continue\r\n\r\n{begin}{length}"), BODY.to_owned()),
    }
}

/// A server on which requests for `/.../cut-AT` get the first bytes of an answer, and all others a whole one on a
/// connection that stays open.
#[derive(Debug, Clone)]
struct HalfServer {
    address: SocketAddr,
    form: Form,
    /// How it breaks answers off; `None` if all its answers are whole.
    close: Option<Close>,
    /// Requests by path.
    seen: Arc<Mutex<HashMap<String, usize>>>,
    /// Paths of halved answers that were requested on a connection with an answer before.
    reused: Arc<Mutex<Vec<String>>>,
}

impl HalfServer {
    async fn start(form: Form, close: Option<Close>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("listener is bound");
        let server = Self { address, form, close, seen: Arc::default(), reused: Arc::default() };
        let served = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut is_reused = false;
        while let Some(head) = read_head(&mut stream).await {
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let cut_at = path.split("/cut-").nth(1).and_then(|at| at.parse::<usize>().ok());
            let cut = cut_at.zip(self.close);
            *self.seen.lock().expect("lock is not poisoned").entry(path.clone()).or_default() += 1;
            let id = header(&head, "x-id").unwrap_or_default();
            let Some((at, close)) = cut else {
                let (head, body) = answer(Form::Length, id);
                if stream.write_all((head + &body).as_bytes()).await.is_err() {
                    return;
                }
                is_reused = true;
                continue;
            };
            if is_reused {
                self.reused.lock().expect("lock is not poisoned").push(path);
            }
            // The entry may have closed the connection.
            let _ = stream.write_all(&answer(self.form, id).0.as_bytes()[..at]).await;
            if close == Close::Reset {
                // What was sent arrives before the reset.
                tokio::time::sleep(Duration::from_millis(2)).await;
                stream.set_zero_linger().expect("a socket option");
            }
            return;
        }
    }

    fn count(&self, path: &str) -> usize {
        self.seen.lock().expect("lock is not poisoned").get(path).copied().unwrap_or_default()
    }
}

/// One cut of one answer: its route, and the service behind it, which no other play uses. A server rests after it has
/// broken an answer off.
#[derive(Debug)]
struct Play {
    name: String,
    request: RequestKind,
    at: usize,
    is_reused: bool,
    has_second: bool,
}

impl Play {
    fn path(&self) -> String {
        format!("/{}/cut-{}", self.name, self.at)
    }

    fn route(&self) -> Route {
        let service = self.name.as_str().into();
        let targets = vec![RouteTarget { service, weight: 1 }];
        let RequestKind { kind, may_repeat, .. } = self.request;
        Route { targets, resumable: may_repeat, ..route(&self.name, kind) }
    }

    fn servers(&self, half: SocketAddr, sound: SocketAddr) -> Vec<ServerRecord> {
        let server = |number: u8, address, zone| ServerRecord {
            service: self.name.as_str().into(),
            ..record(&format!("{}-{number}", self.name), address, zone)
        };
        let second = self.has_second.then(|| server(2, sound, "z2"));
        [server(1, half, "z1")].into_iter().chain(second).collect()
    }
}

/// All cuts of the head of an answer with a length, and some of the others.
fn plays(form: Form) -> Vec<Play> {
    let head = answer(form, "r1").0;
    let step = if form == Form::Length { 1 } else { 5 };
    let cuts = (0..head.len()).step_by(step).chain([head.len() - 2, head.len() - 1]);
    let mut plays = Vec::new();
    for at in cuts {
        for request in KINDS {
            for (is_reused, has_second) in
                [(false, false), (true, false), (false, true), (true, true)]
            {
                let name = format!("{}-{}", request.name, plays.len());
                plays.push(Play { name, request, at, is_reused, has_second });
            }
        }
    }
    plays
}

async fn start_entry(plays: &[Play], half: SocketAddr, sound: SocketAddr) -> DirectEntry {
    let store = Arc::new(TestStore::default());
    let plan = TrafficPlan { routes: plays.iter().map(Play::route).collect(), ..plan(5) };
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
    for server in plays.iter().flat_map(|play| play.servers(half, sound)) {
        store.set(FactTopic::Servers, &server.id.to_string(), Fact::Server(server));
    }
    let entry = DirectEntry::start(settings(), store, Arc::new(TestHeaders)).await;
    let entry = entry.expect("entry starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    entry
}

#[rstest]
#[case::length(Form::Length, Close::Fin)]
#[case::length_reset(Form::Length, Close::Reset)]
#[case::chunked(Form::Chunked, Close::Fin)]
#[case::chunked_reset(Form::Chunked, Close::Reset)]
#[case::until_close(Form::UntilClose, Close::Fin)]
#[case::until_close_reset(Form::UntilClose, Close::Reset)]
#[case::interim(Form::Interim, Close::Fin)]
#[case::interim_reset(Form::Interim, Close::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_stops_in_its_head_is_none(#[case] form: Form, #[case] close: Close) {
    let half = HalfServer::start(form, Some(close)).await;
    let sound = HalfServer::start(form, None).await;
    let plays = plays(form);
    let entry = start_entry(&plays, half.address, sound.address).await;
    let mut reused = 0;
    for play in &plays {
        let path = play.path();
        entry.state.connections.retain(|address| *address != half.address);
        if play.is_reused {
            let before = ask(entry.address, &format!("/{}/before", play.name), "k").await;
            assert_eq!(before.expect("answer").status, 200, "{play:?}");
        }
        let asked = tokio::time::timeout(ANSWER_TIME, ask(entry.address, &path, "k")).await;
        let answer = asked.unwrap_or_else(|_| panic!("{play:?}: no answer"));
        let answer = answer.unwrap_or_else(|error| panic!("{play:?}: {error}"));
        let is_whole = answer.status == 200 && answer.body == BODY;
        let is_failure = answer.status == 502 && !answer.headers.contains_key("x-sign");
        let may_repeat = play.request.may_repeat;
        let is_expected = match play.has_second && may_repeat {
            true => is_whole,
            false => is_failure,
        };
        assert!(is_expected, "{play:?}: {answer:?}");
        if !may_repeat {
            assert_eq!(half.count(&path) + sound.count(&path), 1, "{play:?}");
        }
        // What may run once is never sent on a connection with an answer before.
        reused += usize::from(play.is_reused && may_repeat);
    }
    let on_reused = half.reused.lock().expect("lock is not poisoned").len();
    assert_eq!(on_reused, reused);
}
