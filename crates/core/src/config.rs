//! Configuration in force on a node. Its revision never decreases.

use std::sync::Arc;

use headlatch_types::{FleetPlan, InputError, quantity::ConfigRevision, reading::from_json};
use serde::{Deserialize, Serialize};

/// Key of the fleet object in the platform store.
pub const FLEET_KEY: &str = "fleet";

/// Fleet object: a fleet file and the id of the apply that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetObject {
    /// Id of the apply, by which an operator recognises its own write after a lost response.
    pub apply_id: String,
    /// Text of the fleet file.
    pub fleet: String,
}

/// Result of [`ConfigHolder::offer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The configuration is now in force.
    Taken,
    /// The configuration is not newer than the one in force.
    Stale,
    /// The configuration is invalid; the one in force is kept.
    Unreadable(InputError),
}

/// Parsed configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Revision of the fleet object.
    pub revision: ConfigRevision,
    /// JSON text of the fleet object.
    pub text: String,
    /// Validated plan.
    pub plan: FleetPlan,
}

/// Holds the valid configuration with the highest revision seen.
#[derive(Debug, Clone, Default)]
pub struct ConfigHolder {
    current: Arc<FleetConfig>,
}

impl ConfigHolder {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<FleetConfig> {
        self.current.clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.current.revision
    }

    /// Adopts a configuration from the platform or a peer if it is newer and valid.
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
