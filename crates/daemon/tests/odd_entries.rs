//! Odd entries that another writer left among those of the servers, read by an entry over the platform's adapter.
//! Guards against entries that end, stop following the list, or do not become ready.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::Connections;
use headlatch_platform::{PlatformHeaders, PlatformStore};
use headlatch_types::traffic::ServerId;
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::Instant,
};

mod support;

use support::{read_head, settings};

const PLAN: &str = r#"{"metadata":{"name":"main","revision":1},"spec":{"version":7,"routes":[{"name":"r","host":"a.example","path_prefix":"/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":1,"traffic_split":[{"service":"s","weight":1}],"max_attempts":3,"allow_anonymous":true}],"services":[{"name":"s"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}}"#;

/// Time within which an entry is ready, and has applied a change of the servers.
const TIME_TO_READ: Duration = Duration::from_secs(5);

fn server(name: &str, revision: u64, state: &str) -> Vec<u8> {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision}}},"spec":{{"service":"s","address":"127.0.0.1:9","zone":"z1","slots":4,"state":"{state}"}}}}"#
    )
    .into_bytes()
}

/// An entry of another writer with `spec` as its content.
fn odd(revision: u64, spec: &[u8]) -> Vec<u8> {
    let head = format!(r#"{{"metadata":{{"name":"m-odd","revision":{revision}}},"spec":"#);
    [head.as_bytes(), spec, b"}"].concat()
}

/// The servers of a store: a list, and the changes since it.
#[derive(Debug, Default)]
struct OddStore {
    listed: Vec<Vec<u8>>,
    events: Mutex<Vec<Vec<u8>>>,
}

impl OddStore {
    fn answer(&self, line: &str) -> Option<Vec<u8>> {
        let path = line.split(' ').nth(1).unwrap_or_default();
        let watched = path.split("watch=").nth(1).and_then(|rest| rest.split('&').next());
        let watched = watched.and_then(|at| at.parse::<usize>().ok());
        if path.starts_with("/objects/config") {
            return watched.is_none().then(|| list(&[PLAN.as_bytes().to_vec()], 1));
        }
        if !path.starts_with("/objects/servers") {
            return watched.is_none().then(|| list(&[], 1));
        }
        let events = self.events.lock().expect("lock is not poisoned");
        let at = events.len() + 1;
        let new = match watched {
            None => return Some(list(&[&self.listed[..], &events[..]].concat(), at)),
            Some(after) if after < at => &events[after - 1..],
            Some(_) => return None,
        };
        let event = |object: &Vec<u8>| [br#"{"gone":false,"object":"#, &object[..], b"}"].concat();
        let new: Vec<Vec<u8>> = new.iter().map(event).collect();
        let end = format!(r#"],"at":{at}}}"#);
        Some([br#"{"events":["#, &new.join(&b","[..])[..], end.as_bytes()].concat())
    }
}

fn list(items: &[Vec<u8>], at: usize) -> Vec<u8> {
    let end = format!(r#"],"more":false,"at":{at}}}"#);
    [br#"{"items":["#, &items.join(&b","[..])[..], end.as_bytes()].concat()
}

async fn serve(store: Arc<OddStore>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, store.clone()));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, store: Arc<OddStore>) {
    let Some(head) = read_head(&mut stream).await else { return };
    let line = head.lines().next().unwrap_or_default();
    let body = loop {
        if let Some(body) = store.answer(line) {
            break body;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let head =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    // The reader may have gone.
    let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
}

async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_true() {
        assert!(begun.elapsed() < TIME_TO_READ, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Content of an odd entry.
fn nested(opening: &str, depth: usize) -> Vec<u8> {
    opening.repeat(depth).into_bytes()
}

fn closed(depth: usize) -> Vec<u8> {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth)).into_bytes()
}

fn field(name: &str, value: &str) -> Vec<u8> {
    let spec = r#"{"service":"s","address":"127.0.0.1:8","zone":"z1","slots":4,"state":"ready","cold_remaining_ms":0,"born":1}"#;
    let begin = format!(r#""{name}":"#);
    let at = spec.find(&begin).expect("it is there") + begin.len();
    let end = at + spec[at..].find([',', '}']).expect("it ends");
    format!("{}{value}{}", &spec[..at], &spec[end..]).into_bytes()
}

#[rstest]
#[case::deep_lists(closed(100_000))]
#[case::deep_lists_that_are_not_closed(nested("[", 100_000))]
#[case::deep_objects_that_are_not_closed(nested("{\"a\":", 100_000))]
#[case::deep_models(field("slots", &format!("4,\"models\":{}", String::from_utf8(closed(100_000)).unwrap())))]
#[case::number_of_many_digits(field("slots", &"9".repeat(200_000)))]
#[case::number_past_every_range(field("born", "1e999"))]
#[case::number_past_64_bits(field("cold_remaining_ms", "18446744073709551616"))]
#[case::largest_cold_time(field("cold_remaining_ms", "18446744073709551615"))]
#[case::largest_birth(field("born", "18446744073709551615"))]
#[case::negative_slots(field("slots", "-1"))]
#[case::port_out_of_range(field("address", "\"127.0.0.1:70000\""))]
#[case::negative_port(field("address", "\"127.0.0.1:-1\""))]
#[case::port_zero(field("address", "\"127.0.0.1:0\""))]
#[case::no_address(field("address", "\"\""))]
#[case::half_a_surrogate(field("service", r#""\ud800""#))]
#[case::control_characters(field("service", "\"\x00\x1b\n\""))]
#[case::name_of_another_type(field("service", "{\"a\":[1]}"))]
#[case::long_zone(field("zone", &format!("\"{}\"", "z".repeat(100_000))))]
#[case::nothing(b"null".to_vec())]
#[case::no_bytes(Vec::new())]
#[tokio::test]
async fn an_odd_entry_neither_hides_servers_nor_stops_the_watch(#[case] spec: Vec<u8>) {
    let listed = vec![server("a", 1, "ready"), odd(1, &spec), server("z", 1, "ready")];
    let store = Arc::new(OddStore { listed, ..OddStore::default() });
    let address = serve(store.clone()).await;
    let facts = Arc::new(PlatformStore::new(address, Arc::new(Connections::default())));
    let entry = DirectEntry::start(settings(), facts, Arc::new(PlatformHeaders)).await;
    let entry = entry.expect("entry starts");
    wait_until("entry is not ready", || entry.state.is_ready()).await;
    let is_draining = |name: &str, draining: bool| {
        let id = ServerId(name.into());
        let servers = entry.state.servers();
        servers.records().any(|record| record.id == id && record.draining == draining)
    };
    assert!(is_draining("a", false) && is_draining("z", false), "servers are hidden");
    // Nothing listens at the servers, but the odd one takes part in the choice if its record is read.
    let asked = support::ask(entry.address, "/x", "k");
    let answered = tokio::time::timeout(TIME_TO_READ, asked).await;
    let status = answered.expect("a request is not answered").expect("response").status;
    assert!(status.is_server_error(), "{status}");
    // The odd entry changes in the same batch as a server, and stays in the history that is watched.
    let changes = [odd(2, &spec), server("z", 3, "draining")];
    store.events.lock().expect("lock is not poisoned").extend(changes);
    wait_until("a change is missed", || is_draining("z", true)).await;
    store.events.lock().expect("lock is not poisoned").push(server("a", 4, "draining"));
    wait_until("a later change is missed", || is_draining("a", true)).await;
}
