//! All processes are killed right after new weights were named. When they are back, the origin spoils one answer:
//! the manifest of the new weights.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, model,
    rig::{Entry, Rig},
};

/// `recovery_s` of the small deployments.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long requests are counted before the final fault, and after the recovery.
const COUNTED: Duration = Duration::from_secs(8);

/// A request: when it was sent, and whether it was served.
type Tries = Arc<Mutex<Vec<(Instant, bool)>>>;

pub fn run(case: &Path, trouble: bool) -> Outcome {
    let rig = Arc::new(Rig::new(case));
    let spoilt = Arc::new(AtomicUsize::new(0));
    let origin = model::origin(rig.record.clone(), spoilt.clone());
    rig.configure_model(1, origin);
    let side = "127.0.1.11";
    let server = model::engine(side, "llm", "i-llm-1", &rig.store, &rig.record);
    let start = |is_first: bool| -> Vec<Entry> {
        vec![rig.entry_with(1, &[1, 2], is_first), rig.entry_with(2, &[1, 2], is_first), rig.agent(side, server, &[1, 2], is_first)]
    };
    let mut processes = start(true);
    if !rig.wait_ready(&processes[..2]) {
        rig.finish();
        return Outcome::NotRun("the entries did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let targets: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let addresses = |processes: &[Entry]| processes[..2].iter().map(|entry| entry.address).collect::<Vec<_>>();
    *targets.lock().unwrap() = addresses(&processes);
    let (stop, tries): (Arc<AtomicBool>, Tries) = (Arc::default(), Arc::default());
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (rig, targets, stop, tries) = (rig.clone(), targets.clone(), stop.clone(), tries.clone());
            thread::spawn(move || client(&rig, n, &targets, &stop, &tries))
        })
        .collect();
    thread::sleep(COUNTED);
    rig.store.put("versions", model::MODEL, &format!(r#"{{"model":"{}","version":2}}"#, model::MODEL));
    rig.record.note("version 2 is named");
    let fault = Instant::now();
    processes.clear();
    rig.record.note("all processes are killed");
    spoilt.store(usize::from(trouble), Ordering::Relaxed);
    thread::sleep(Duration::from_secs(1));
    let mut processes = start(false);
    *targets.lock().unwrap() = addresses(&processes);
    let back = Instant::now();
    rig.record.note("all processes are back");
    thread::sleep(RECOVERY + COUNTED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let tries = tries.lock().unwrap();
    let share = |from: Instant, until: Instant| {
        let sent: Vec<bool> = tries.iter().filter(|(at, _)| *at >= from && *at < until).map(|(_, ok)| *ok).collect();
        (sent.iter().filter(|ok| **ok).count(), sent.len())
    };
    let (before, after) = (share(fault - COUNTED, fault), share(back + RECOVERY, back + RECOVERY + COUNTED));
    rig.record.note(&format!("served before the final fault: {} of {}", before.0, before.1));
    rig.record.note(&format!("served later than recovery_s after the machines were back: {} of {}", after.0, after.1));
    processes.clear();
    rig.finish();
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Outcome::NotRun("too little was served before the fault, or nothing sent after it".to_owned());
    }
    if after.0 * 4 < after.1 { Outcome::Broken } else { Outcome::Held }
}

fn client(rig: &Rig, client: usize, targets: &Mutex<Vec<SocketAddr>>, stop: &AtomicBool, tries: &Tries) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let to = targets.lock().unwrap()[(client + number) % 2];
        let id = format!("c{client}-{number}");
        let model = [
            ("Model", model::MODEL),
            ("Token-Usage", "600,25"),
            ("Prompt-Prefix", &format!("5c1e07a2:40,{client:x}{number:06x}:560")),
        ];
        let sent = Instant::now();
        let answer = rig.request_with(to, "POST", "/llm/x", &id, Duration::from_secs(6), &model);
        tries.lock().unwrap().push((sent, answer.status == 200 && answer.whole));
        thread::sleep(Duration::from_millis(150));
    }
}
