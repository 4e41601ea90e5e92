//! Applies a fleet file with optimistic concurrency control.
//!
//! Of several concurrent applies one wins, even if responses of the platform are lost.

use headlatch_types::{id::ApplyId, quantity::ConfigRevision};

/// Maximum number of platform calls per apply.
const MAX_CALLS: u32 = 12;

/// Next step of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the fleet object.
    Read,
    /// Write the fleet object if it still has this revision; 0 means that no object exists.
    Write(ConfigRevision),
    /// The apply has finished.
    Done(ApplyOutcome),
}

/// Result of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The file is in force under this revision.
    Applied(ConfigRevision),
    /// The file was not applied: another revision is in force.
    Conflict {
        /// The revision that was expected.
        expected: ConfigRevision,
        /// The revision in force.
        found: ConfigRevision,
    },
    /// It is not known whether the file was applied. The apply can be repeated with the same id.
    Unknown,
    /// The file was not applied: the platform accepted no write.
    NotApplied,
}

/// Result of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyEvent {
    /// The object was read: its revision and the apply that wrote it, or `None` if it does not
    /// exist.
    Read(Option<(ConfigRevision, ApplyId)>),
    /// The write succeeded.
    Written(ConfigRevision),
    /// The write was rejected because the revision differed.
    WriteConflict,
    /// It is not known whether the write succeeded.
    WriteUnknown,
    /// The call failed without effect.
    Failed,
}

/// State machine of one apply.
#[derive(Debug, Clone)]
pub struct FleetApply {
    id: ApplyId,
    /// Revision that the operator based the file on; if `None`, the revision read first.
    expected: Option<ConfigRevision>,
    calls: u32,
    /// Whether the result of an earlier write is unknown.
    write_unknown: bool,
}

impl FleetApply {
    /// Creates an apply with an id, based on revision `expected` if given.
    pub fn new(id: ApplyId, expected: Option<ConfigRevision>) -> Self {
        Self { id, expected, calls: 0, write_unknown: false }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ApplyStep {
        self.next_call(ApplyStep::Read)
    }

    /// Returns the step that follows `event`.
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
            // An earlier write cannot have succeeded, since it would have raised the revision.
            return self.next_call(ApplyStep::Write(expected));
        }
        if self.write_unknown {
            // The earlier write may have succeeded and been replaced since.
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
