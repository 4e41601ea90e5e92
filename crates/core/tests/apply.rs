//! Applies under every fault of the platform at every call: one winner, no false report.

use headlatch_core::apply::{ApplyEvent, ApplyOutcome, ApplyStep, FleetApply};
use headlatch_types::{id::ApplyId, quantity::ConfigRevision};
use rstest::rstest;

/// What the platform does with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    /// It answers.
    None,
    /// The call never comes.
    Refused,
    /// It acts, and the answer is lost.
    AnswerLost,
    /// Nothing happens, and the caller cannot tell.
    Nothing,
}

/// The platform's fleet object.
#[derive(Debug, Default)]
struct FakePlatform {
    object: Option<(u64, ApplyId)>,
    written: Vec<ApplyId>,
}

impl FakePlatform {
    fn call(&mut self, step: &ApplyStep, id: &ApplyId, fault: CallFault) -> ApplyEvent {
        match (step, fault) {
            (_, CallFault::Refused)
            | (ApplyStep::Read, CallFault::AnswerLost | CallFault::Nothing) => ApplyEvent::Failed,
            (ApplyStep::Read, CallFault::None) => {
                let found = self.object.clone();
                ApplyEvent::Read(found.map(|(version, id)| (ConfigRevision::new(version), id)))
            }
            (ApplyStep::Write(_), CallFault::Nothing) => ApplyEvent::Unclear,
            (ApplyStep::Write(on), fault) => {
                let current = self.object.as_ref().map_or(0, |(version, _)| *version);
                let holds = current == on.number();
                if holds {
                    self.object = Some((current + 1, id.clone()));
                    self.written.push(id.clone());
                }
                match fault {
                    CallFault::AnswerLost => ApplyEvent::Unclear,
                    _ if holds => ApplyEvent::Written(ConfigRevision::new(current + 1)),
                    _ => ApplyEvent::Refused,
                }
            }
            (ApplyStep::Done(_), _) => unreachable!("a finished apply makes no call"),
        }
    }
}

fn id(text: &str) -> ApplyId {
    text.parse().expect("a plain word is a name")
}

/// Every fault at every call of an apply, while nobody else writes.
#[rstest]
fn an_apply_tells_the_truth_whatever_is_lost(
    #[values(1, 2, 3, 4)] at: usize,
    #[values(CallFault::Refused, CallFault::AnswerLost, CallFault::Nothing)] fault: CallFault,
    #[values(1, 3, 20)] times: usize,
) {
    let mut platform = FakePlatform::default();
    let mut apply = FleetApply::new(id("mine"), None);
    let mut step = apply.begin();
    let mut call = 0;
    let outcome = loop {
        if let ApplyStep::Done(outcome) = step {
            break outcome;
        }
        call += 1;
        let struck = call >= at && call < at + times;
        let fault = if struck { fault } else { CallFault::None };
        step = apply.handle(platform.call(&step, &id("mine"), fault));
    };
    let took_effect = platform.written.len();
    assert!(took_effect <= 1, "it was written {took_effect} times");
    match outcome {
        ApplyOutcome::Applied(revision) => {
            assert_eq!(platform.object, Some((revision.number(), id("mine"))));
        }
        ApplyOutcome::NotApplied => assert_eq!(took_effect, 0),
        ApplyOutcome::Unknown => {}
        ApplyOutcome::Conflict { .. } => panic!("nobody else wrote"),
    }
}

/// Two operators race; the second comes in before each call of the first.
#[rstest]
fn of_two_operators_one_wins(
    #[values(1, 2, 3, 4)] at: usize,
    #[values(CallFault::None, CallFault::AnswerLost)] fault: CallFault,
) {
    let mut platform = FakePlatform { object: Some((7, id("earlier"))), written: Vec::new() };
    let mut mine = FleetApply::new(id("mine"), Some(ConfigRevision::new(7)));
    let mut step = mine.begin();
    let mut call = 0;
    let outcome = loop {
        if let ApplyStep::Done(outcome) = step {
            break outcome;
        }
        call += 1;
        if call == at {
            let other = ApplyStep::Write(ConfigRevision::new(7));
            platform.call(&other, &id("theirs"), CallFault::None);
        }
        let struck = matches!(step, ApplyStep::Write(_));
        let fault = if struck { fault } else { CallFault::None };
        step = mine.handle(platform.call(&step, &id("mine"), fault));
    };
    assert_eq!(platform.written.len(), 1, "the other's write and ours cannot both hold");
    match outcome {
        ApplyOutcome::Applied(_) => assert_eq!(platform.written, [id("mine")]),
        ApplyOutcome::Conflict { .. } => assert_eq!(platform.written, [id("theirs")]),
        ApplyOutcome::Unknown => assert_eq!(fault, CallFault::AnswerLost),
        ApplyOutcome::NotApplied => panic!("the platform answered"),
    }
}

/// An operator who was told "unknown" resumes and learns the truth.
#[test]
fn a_lost_answer_is_recognised_on_resuming() {
    let mut platform = FakePlatform::default();
    let write = ApplyStep::Write(ConfigRevision::new(0));
    platform.call(&write, &id("mine"), CallFault::AnswerLost);
    let mut again = FleetApply::new(id("mine"), None);
    let step = again.begin();
    let step = again.handle(platform.call(&step, &id("mine"), CallFault::None));
    assert_eq!(step, ApplyStep::Done(ApplyOutcome::Applied(ConfigRevision::new(1))));
}
