//! The settings of a machine change at the moment at which it is stopped: SIGHUP and SIGTERM arrive together.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    rig::{Entry, GRACE, Rig, SIGHUP, SIGKILL, SIGTERM},
};

const ENTRIES: u8 = 10;

/// How long a server works on a request.
const WORK: &str = "700";

/// Requests sent within this time after SIGTERM may be excused by the rule.
const EXCUSED: Duration = Duration::from_secs(3);

/// The clients' share of the balancer: the machines that receive new connections.
type Ready = Arc<Mutex<Vec<SocketAddr>>>;

pub fn run(case: &Path, trouble: bool) -> Outcome {
    let rig = Arc::new(Rig::new(case));
    rig.configure(1);
    let servers: Vec<_> =
        (1..=2).map(|n| rig.server("api", &format!("i-api-{n}"), crate::rig::free("127.0.0.1"))).collect();
    let seeds: Vec<u8> = (1..=3).collect();
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(|n| rig.entry(n, &seeds)).collect();
    if !rig.wait_ready(&entries) {
        rig.finish();
        return Outcome::NotRun("the entries did not become ready".to_owned());
    }
    // No disruption in the last `contact_ms`.
    thread::sleep(Duration::from_secs(3));
    let ready: Ready = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let cut: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let mut broken = false;
    for entry in &mut entries {
        *ready.lock().unwrap() = vec![entry.address];
        stop.store(false, Ordering::Relaxed);
        let clients: Vec<_> = (0..6)
            .map(|n| {
                let (rig, ready, stop, cut) = (rig.clone(), ready.clone(), stop.clone(), cut.clone());
                let name = format!("{}-c{n}", entry.name);
                thread::spawn(move || client(&rig, &name, &ready, &stop, &cut))
            })
            .collect();
        thread::sleep(Duration::from_millis(800));
        let stopped = Instant::now();
        stop_machine(&rig, entry, &ready, trouble);
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        let cut = std::mem::take(&mut *cut.lock().unwrap());
        for one in cut {
            let passed_on = rig.server_lines().iter().any(|line| line.contains(&format!("runs {} ", one.id)));
            let after = one.sent.saturating_duration_since(stopped);
            rig.record.note(&format!(
                "{}: sent {} ms after SIGTERM; the connection ended without a complete answer; a server ran it: {passed_on}",
                one.id,
                after.as_millis(),
            ));
            // What is sent sooner may be excused if it is still at work at the end of the grace period.
            broken |= passed_on && after > EXCUSED;
        }
        if broken {
            break;
        }
    }
    drop((entries, servers));
    rig.finish();
    if broken { Outcome::Broken } else { Outcome::Held }
}

/// A request whose connection ended without a complete answer.
struct Cut {
    id: String,
    sent: Instant,
}

/// Sends requests one after the other while the balancer gives a machine.
fn client(rig: &Rig, name: &str, ready: &Ready, stop: &AtomicBool, cut: &Mutex<Vec<Cut>>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let to = ready.lock().unwrap().first().copied();
        let Some(to) = to else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        number += 1;
        let id = format!("{name}-{number}");
        let path = format!("/once/wait/{WORK}/x");
        let answer = rig.request(to, "POST", &path, &id, Duration::from_secs(4));
        if !answer.whole && answer.error != "Connection refused (os error 111)" {
            cut.lock().unwrap().push(Cut { id, sent: answer.sent });
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Stops a machine as the platform does: SIGTERM, and SIGKILL after the grace period. It is asked every second
/// whether it is ready, and receives no new connections after two answers other than 200.
fn stop_machine(rig: &Rig, entry: &mut Entry, ready: &Ready, trouble: bool) {
    if trouble {
        entry.signal(SIGHUP);
    }
    entry.signal(SIGTERM);
    let signals = if trouble { "SIGHUP and SIGTERM" } else { "SIGTERM" };
    rig.record.note(&format!("{} gets {signals}", entry.name));
    let (begun, mut missed, mut next) = (Instant::now(), 0, Instant::now());
    while begun.elapsed() < GRACE && !entry.has_ended() {
        if Instant::now() >= next {
            next += Duration::from_secs(1);
            let is_ready = entry.is_ready();
            missed = if is_ready { 0 } else { missed + 1 };
            rig.record.note(&format!(
                "{} is asked {} ms after SIGTERM, ready: {is_ready}",
                entry.name,
                begun.elapsed().as_millis()
            ));
            if missed >= 2 {
                ready.lock().unwrap().clear();
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    match entry.has_ended() {
        true => rig.record.note(&format!("{} has ended {} ms after SIGTERM", entry.name, begun.elapsed().as_millis())),
        false => {
            rig.record.note(&format!("{} gets SIGKILL {} ms after SIGTERM", entry.name, begun.elapsed().as_millis()));
            entry.signal(SIGKILL);
            thread::sleep(Duration::from_millis(100));
        }
    }
    ready.lock().unwrap().clear();
}
