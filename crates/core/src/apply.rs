//! Applying a fleet file: one winner among racing operators, whatever answers are lost.

use headlatch_types::{id::ApplyId, quantity::ConfigRevision};

/// Calls to the platform that one apply makes before it gives up.
const MAX_CALLS: u32 = 12;

/// What the apply wants done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the fleet object.
    Read,
    /// Write it, if it still has this revision; 0 means that there is none.
    Write(ConfigRevision),
    /// Nothing more.
    Done(ApplyOutcome),
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It took effect with this revision.
    Applied(ConfigRevision),
    /// It did not take effect: another file is in force.
    Conflict {
        /// The revision that was expected.
        expected: ConfigRevision,
        /// The revision in force.
        found: ConfigRevision,
    },
    /// Nobody can tell whether it took effect; the same apply may be run again with its id.
    Unknown,
    /// It certainly did not take effect: the platform never took the write.
    NotApplied,
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// The object was read: its revision and the apply that wrote it, if there is one.
    Read(Option<(ConfigRevision, ApplyId)>),
    /// The write took effect.
    Written(ConfigRevision),
    /// The write did not take effect: the revision was another.
    WriteConflict,
    /// The write may have taken effect.
    WriteUnknown,
    /// The call did not reach the platform.
    Failed,
}

/// One apply.
#[derive(Debug, Clone)]
pub struct FleetApply {
    id: ApplyId,
    /// The revision the operator has seen; none to take over whatever is read first.
    expected: Option<ConfigRevision>,
    calls: u32,
    /// Whether some write may have taken effect.
    write_unknown: bool,
}

impl FleetApply {
    /// An apply with its id, on top of `expected` if that is given.
    pub fn new(id: ApplyId, expected: Option<ConfigRevision>) -> Self {
        Self { id, expected, calls: 0, write_unknown: false }
    }

    /// The first step.
    pub fn start(&mut self) -> ApplyStep {
        self.next_call(ApplyStep::Read)
    }

    /// The step after `event`.
    pub fn handle(&mut self, event: ApplyEvent) -> ApplyStep {
        match event {
            ApplyEvent::Read(found) => self.decide(found),
            ApplyEvent::Written(revision) => ApplyStep::Done(ApplyOutcome::Applied(revision)),
            ApplyEvent::WriteConflict => self.next_call(ApplyStep::Read),
            ApplyEvent::WriteUnknown => {
                self.write_unknown = true;
                self.next_call(ApplyStep::Read)
            }
            ApplyEvent::Failed => self.next_call(ApplyStep::Read),
        }
    }

    fn decide(&mut self, found: Option<(ConfigRevision, ApplyId)>) -> ApplyStep {
        let (revision, writer) = match found {
            Some((revision, writer)) => (revision, Some(writer)),
            None => (ConfigRevision::default(), None),
        };
        if writer.as_ref() == Some(&self.id) {
            return ApplyStep::Done(ApplyOutcome::Applied(revision));
        }
        let expected = *self.expected.get_or_insert(revision);
        if revision == expected {
            // Whatever was written before did not take effect, or the revision would have risen.
            return self.next_call(ApplyStep::Write(expected));
        }
        if self.write_unknown {
            // Ours may have taken effect and have been replaced since.
            return ApplyStep::Done(ApplyOutcome::Unknown);
        }
        ApplyStep::Done(ApplyOutcome::Conflict { expected, found: revision })
    }

    fn next_call(&mut self, step: ApplyStep) -> ApplyStep {
        self.calls += 1;
        if self.calls <= MAX_CALLS {
            return step;
        }
        let outcome =
            if self.write_unknown { ApplyOutcome::Unknown } else { ApplyOutcome::NotApplied };
        ApplyStep::Done(outcome)
    }
}
