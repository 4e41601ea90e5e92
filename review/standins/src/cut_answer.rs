//! A server crashes in the middle of an answer without a length, and starts again at its address, while the entry
//! stands still.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    rig::{Rig, SIGCONT, SIGSTOP},
    server::{body_of, events_of},
};

pub fn run(case: &Path, trouble: bool) -> Outcome {
    let rig = Arc::new(Rig::new(case));
    rig.configure(1);
    let mut server = rig.server("api", "i-api-1", crate::rig::free("127.0.0.1"));
    let entries = vec![rig.entry(1, &[1])];
    if !rig.wait_ready(&entries) {
        rig.finish();
        return Outcome::NotRun("the entry did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let to = entries[0].address;
    let calls = [
        ("POST", "/once/parts/1200/x", "id-once"),
        ("GET", "/safe/parts/1200/x", "id-safe"),
        ("POST", "/stream/events/1200/x", "id-stream"),
    ];
    let clients: Vec<_> = calls
        .into_iter()
        .map(|(method, path, id)| {
            let rig = rig.clone();
            thread::spawn(move || (id, rig.request(to, method, path, id, Duration::from_secs(4))))
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(2);
    let half = |rig: &Rig| rig.server_lines().iter().filter(|line| line.contains("sent the first half")).count();
    while half(&rig) < calls.len() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    // The first half reaches the entry.
    thread::sleep(Duration::from_millis(100));
    let mut started_again = None;
    if trouble {
        rig.record.note("the entry's machine freezes");
        entries[0].signal(SIGSTOP);
        thread::sleep(Duration::from_millis(100));
        server.crash();
        rig.record.note("server i-api-1 has crashed");
        thread::sleep(Duration::from_millis(400));
        started_again = Some(rig.server("api", "i-api-2", server.address));
        thread::sleep(Duration::from_millis(100));
        entries[0].signal(SIGCONT);
        rig.record.note("the entry's machine wakes");
    }
    let mut broken = false;
    for client in clients {
        let Ok((id, answer)) = client.join() else { continue };
        let whole = if id == "id-stream" { events_of(id) } else { body_of(id) };
        let is_cut = answer.status == 200 && answer.whole && answer.body != whole.as_bytes();
        rig.record.note(&format!(
            "{id}: the server's whole body has {} bytes, the client has {} bytes; a short body ends as whole: {is_cut}",
            whole.len(),
            answer.body.len()
        ));
        broken |= is_cut;
    }
    drop((entries, server, started_again));
    rig.finish();
    if broken { Outcome::Broken } else { Outcome::Held }
}
