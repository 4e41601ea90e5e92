//! The configuration in force on a node, which never goes back.

use std::sync::Arc;

use headlatch_types::{FleetPlan, InputError, quantity::ConfigRevision, reading::from_json};
use serde::{Deserialize, Serialize};

/// Key of the fleet object in the platform.
pub const FLEET_KEY: &str = "fleet";

/// The fleet object: a fleet file and the id of the attempt that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetObject {
    /// Id of the attempt, by which its giver knows it again when the answer was lost.
    pub apply_id: String,
    /// The fleet file, as given.
    pub fleet: String,
}

/// What became of an offered configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Taken,
    /// It is not newer than the one in force.
    Stale,
    /// It cannot be read; the one in force stays.
    Unreadable(InputError),
}

/// One configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Its revision.
    pub revision: ConfigRevision,
    /// The fleet object's text.
    pub text: String,
    /// The checked plan.
    pub plan: FleetPlan,
}

/// Keeps the highest configuration seen.
#[derive(Debug, Clone, Default)]
pub struct ConfigHolder {
    current: Arc<FleetConfig>,
}

impl ConfigHolder {
    /// The configuration in force.
    pub fn current(&self) -> Arc<FleetConfig> {
        self.current.clone()
    }

    /// The revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.current.revision
    }

    /// Takes over a configuration from the platform or a peer, if it is newer and readable.
    pub fn offer(&mut self, revision: ConfigRevision, text: &str) -> OfferOutcome {
        if revision <= self.current.revision {
            return OfferOutcome::Stale;
        }
        let object: Result<FleetObject, InputError> = from_json(text);
        match object.and_then(|object| FleetPlan::parse(&object.fleet)) {
            Ok(plan) => {
                let config = FleetConfig { revision, text: text.to_owned(), plan };
                self.current = Arc::new(config);
                OfferOutcome::Taken
            }
            Err(error) => OfferOutcome::Unreadable(error),
        }
    }
}
