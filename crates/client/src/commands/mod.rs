//! The commands, one file each.

pub mod apply;
pub mod diff;
pub mod explain;
pub mod manifest;
pub mod shares;
pub mod status;
pub mod validate;

use std::{fs, path::Path, sync::Arc};

use error_stack::Report;
use headlatch_core::config::{FLEET_KEY, FleetObject};
use headlatch_daemon::platform::{HttpStore, SharedStore, StoreError};
use headlatch_types::{
    FleetPlan, InputError, quantity::ConfigRevision, reading::from_json, settings::ServiceUrl,
};

use crate::error::ClientError;

/// Reads and checks a fleet file; returns its text as well.
pub fn read_fleet(path: &Path) -> Result<(String, FleetPlan), Report<ClientError>> {
    let name = path.display();
    let failure = |message: String| Report::new(ClientError::Input(message));
    let text = fs::read_to_string(path)
        .map_err(|error| failure(format!("{name}: cannot be read, {error}; check the path")))?;
    let plan = FleetPlan::parse(&text).map_err(|error| failure(format!("{name}: {error}")))?;
    Ok((text, plan))
}

/// The platform at `url`.
pub fn open_platform(url: &ServiceUrl) -> SharedStore {
    Arc::new(HttpStore::new(url.clone()))
}

/// An error of the platform, with what to do about it.
pub fn platform_error(error: &StoreError) -> Report<ClientError> {
    let message = format!("{error}; check --platform, or try again once it is back");
    Report::new(ClientError::Platform(message))
}

/// The fleet object in force, with its revision; none if there has not been any.
pub async fn read_object(
    store: &SharedStore,
) -> Result<Option<(ConfigRevision, FleetObject)>, Report<ClientError>> {
    let found = store.read(FLEET_KEY).await.map_err(|error| platform_error(&error))?;
    let Some(value) = found else { return Ok(None) };
    let object = from_json(&value.text).map_err(|error: InputError| {
        let message =
            format!("the fleet object in the platform cannot be read, {error}; apply one");
        Report::new(ClientError::Input(message))
    })?;
    Ok(Some((ConfigRevision::new(value.version), object)))
}
