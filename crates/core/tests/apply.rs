//! Applies under every platform fault at every call: one apply wins and no outcome is reported
//! wrongly.

use headlatch_core::apply::{ApplyEvent, ApplyOutcome, ApplyStep, FleetApply};
use headlatch_types::{id::ApplyId, quantity::ConfigRevision};
use rstest::rstest;

/// Fault injected into one platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    /// The platform handles the call and responds.
    None,
    /// The call fails without reaching the platform, and the caller knows it.
    NotDelivered,
    /// The platform handles the call, but the response is lost.
    ResponseLost,
    /// The call has no effect, but the caller cannot tell.
    NoEffect,
}

/// In-memory platform that stores the fleet object and records the writes that succeeded.
#[derive(Debug, Default)]
struct FakePlatform {
    object: Option<(u64, ApplyId)>,
    written: Vec<ApplyId>,
}

impl FakePlatform {
    fn call(&mut self, step: &ApplyStep, id: &ApplyId, fault: CallFault) -> ApplyEvent {
        match (step, fault) {
            (_, CallFault::NotDelivered)
            | (ApplyStep::Read, CallFault::ResponseLost | CallFault::NoEffect) => {
                ApplyEvent::Failed
            }
            (ApplyStep::Read, CallFault::None) => {
                let found = self.object.clone();
                ApplyEvent::Read(found.map(|(version, id)| (ConfigRevision::new(version), id)))
            }
            (ApplyStep::Write(_), CallFault::NoEffect) => ApplyEvent::WriteUnknown,
            (ApplyStep::Write(expected), fault) => {
                let current = self.object.as_ref().map_or(0, |(version, _)| *version);
                let matches = current == expected.number();
                if matches {
                    self.object = Some((current + 1, id.clone()));
                    self.written.push(id.clone());
                }
                match fault {
                    CallFault::ResponseLost => ApplyEvent::WriteUnknown,
                    _ if matches => ApplyEvent::Written(ConfigRevision::new(current + 1)),
                    _ => ApplyEvent::WriteConflict,
                }
            }
            (ApplyStep::Done(_), _) => unreachable!("a finished apply makes no call"),
        }
    }
}

fn id(text: &str) -> ApplyId {
    text.parse().expect("valid apply id")
}

/// Injects every fault at every call of a single apply without concurrent writers.
#[rstest]
fn outcome_is_correct_under_platform_faults(
    #[values(1, 2, 3, 4)] first_faulty_call: usize,
    #[values(CallFault::NotDelivered, CallFault::ResponseLost, CallFault::NoEffect)]
    fault: CallFault,
    #[values(1, 3, 20)] fault_count: usize,
) {
    let mut platform = FakePlatform::default();
    let mut apply = FleetApply::new(id("mine"), None);
    let mut step = apply.start();
    let mut call = 0;
    let outcome = loop {
        if let ApplyStep::Done(outcome) = step {
            break outcome;
        }
        call += 1;
        let is_faulty = call >= first_faulty_call && call < first_faulty_call + fault_count;
        let fault = if is_faulty { fault } else { CallFault::None };
        step = apply.handle(platform.call(&step, &id("mine"), fault));
    };
    let took_effect = platform.written.len();
    assert!(took_effect <= 1, "fleet object was written {took_effect} times");
    match outcome {
        ApplyOutcome::Applied(revision) => {
            assert_eq!(platform.object, Some((revision.number(), id("mine"))));
        }
        ApplyOutcome::NotApplied => assert_eq!(took_effect, 0),
        ApplyOutcome::Unknown => {}
        ApplyOutcome::Conflict { .. } => panic!("conflict reported without a concurrent writer"),
    }
}

/// Two operators apply concurrently: the write of the second takes effect before one of the calls
/// of the first.
#[rstest]
fn concurrent_applies_have_one_winner(
    #[values(1, 2, 3, 4)] competing_call: usize,
    #[values(CallFault::None, CallFault::ResponseLost)] fault: CallFault,
) {
    let mut platform = FakePlatform { object: Some((7, id("earlier"))), written: Vec::new() };
    let mut mine = FleetApply::new(id("mine"), Some(ConfigRevision::new(7)));
    let mut step = mine.start();
    let mut call = 0;
    let outcome = loop {
        if let ApplyStep::Done(outcome) = step {
            break outcome;
        }
        call += 1;
        if call == competing_call {
            let other = ApplyStep::Write(ConfigRevision::new(7));
            platform.call(&other, &id("theirs"), CallFault::None);
        }
        let is_faulty = matches!(step, ApplyStep::Write(_));
        let fault = if is_faulty { fault } else { CallFault::None };
        step = mine.handle(platform.call(&step, &id("mine"), fault));
    };
    assert_eq!(platform.written.len(), 1, "exactly one of the concurrent writes succeeds");
    match outcome {
        ApplyOutcome::Applied(_) => assert_eq!(platform.written, [id("mine")]),
        ApplyOutcome::Conflict { .. } => assert_eq!(platform.written, [id("theirs")]),
        ApplyOutcome::Unknown => assert_eq!(fault, CallFault::ResponseLost),
        ApplyOutcome::NotApplied => panic!("not applied although the platform was reachable"),
    }
}

/// Repeating an apply whose outcome was unknown finds the write that had succeeded.
#[test]
fn resumed_apply_recognises_its_own_write() {
    let mut platform = FakePlatform::default();
    let write = ApplyStep::Write(ConfigRevision::new(0));
    platform.call(&write, &id("mine"), CallFault::ResponseLost);
    let mut resumed = FleetApply::new(id("mine"), None);
    let step = resumed.start();
    let step = resumed.handle(platform.call(&step, &id("mine"), CallFault::None));
    assert_eq!(step, ApplyStep::Done(ApplyOutcome::Applied(ConfigRevision::new(1))));
}
