//! Settings of daemons that call servers directly and take facts from an outside store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, RegionId},
    quantity::ByteSize,
    reading::{InputError, parse_at},
    settings::{LinkSettings, NodeSettings, RawEndpoint, RawSettings},
};

/// What direct mode needs, as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDirect {
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Machines where other processes may be found; the port is `control`'s.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Retries that all entries together may send.
    #[serde(default)]
    pub retry: RawRetry,
    /// Time in which all servers change to new weights, in milliseconds.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
    /// Time after which a failure domain that is to be emptied gets nothing new, in milliseconds; left out,
    /// failure domains are not emptied on order, and the store is not asked for that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuate_ms: Option<u64>,
    /// Memory that the process may take: bodies of requests take a fifth of it at most, those of answers as
    /// much.
    #[serde(default = "default_memory")]
    pub memory: ByteSize,
    /// Time for which a caller may take nothing of its answer before its connection is closed, in
    /// milliseconds.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
    /// The whole system starts for the first time: nobody waits for it yet, so that processes find
    /// each other before they read the store.
    #[serde(default)]
    pub first_start: bool,
    /// Processes up to which everybody tells everybody; beyond, two entries of each failure domain
    /// relay.
    #[serde(default = "default_mesh_limit")]
    pub mesh_limit: usize,
    /// Address for metrics; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<String>,
}

/// Retries that all entries together may send to one service.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawRetry {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides.
    pub slack: f64,
    /// Window in which both are counted, in seconds.
    pub window_seconds: f64,
}

impl Default for RawRetry {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_seconds: 10.0 }
    }
}

/// Least time in which a failure domain is to get nothing new, in milliseconds.
const MIN_EVACUATE_MS: u64 = 4_000;

/// Least memory that a process runs in.
const MIN_MEMORY: ByteSize = ByteSize::from_mib(16);

fn default_memory() -> ByteSize {
    ByteSize::from_mib(256)
}

/// Longer than usual deadlines: who reads slowly is not cut off by it, who reads nothing is.
fn default_stall_ms() -> u64 {
    10_000
}

fn default_weights_ms() -> u64 {
    30_000
}

/// Beyond this many processes a mesh takes more processor time than control may.
fn default_mesh_limit() -> usize {
    96
}

/// What direct mode needs, checked.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Region of each zone.
    pub zones: HashMap<DomainId, RegionId>,
    /// Where other processes may be found.
    pub seeds: Vec<SocketAddr>,
    /// Retries that all entries together may send.
    pub retry: RawRetry,
    /// Time in which all servers change to new weights.
    pub weights_time: Duration,
    /// Memory that the process may take.
    pub memory: ByteSize,
    /// Time for which a caller may take nothing of its answer.
    pub stall: Duration,
    /// Failure domains may be ordered to be emptied.
    pub reads_evacuations: bool,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// Processes up to which everybody tells everybody.
    pub mesh_limit: usize,
    /// Address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of an entry that calls servers directly.
#[derive(Debug, Clone)]
pub struct DirectEntrySettings {
    /// What every node has.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Direct mode.
    pub direct: DirectSettings,
}

/// Settings of an agent that stages weights piece by piece.
#[derive(Debug, Clone)]
pub struct DirectAgentSettings {
    /// What every node has.
    pub node: NodeSettings,
    /// Address of the server on this machine.
    pub server: SocketAddr,
    /// The service it belongs to, if that is known.
    pub service: Option<String>,
    /// This machine's link.
    pub link: LinkSettings,
    /// Direct mode.
    pub direct: DirectSettings,
}

fn address(path: &str, text: &str) -> Result<SocketAddr, InputError> {
    let message =
        || format!("\"{text}\" is not an address; write an IP number and a port, 10.0.0.1:7100");
    text.parse().map_err(|_| InputError::new(path, message()))
}

pub(crate) fn check_direct(
    raw: &RawDirect,
    control: SocketAddr,
) -> Result<DirectSettings, InputError> {
    let mut zones = HashMap::new();
    for (zone, region) in &raw.zones {
        let path = format!("direct.zones.{zone}");
        zones.insert(parse_at(path.clone(), zone)?, parse_at(path, region)?);
    }
    let mut seeds = Vec::new();
    for (index, seed) in raw.seeds.iter().enumerate() {
        let found = address(&format!("direct.seeds[{index}]"), seed)?;
        seeds.push(SocketAddr::new(found.ip(), control.port()));
    }
    let RawRetry { ratio, slack, window_seconds } = raw.retry;
    let figures = [("ratio", ratio), ("slack", slack), ("window_seconds", window_seconds)];
    let bad = figures.iter().find(|(_, figure)| !figure.is_finite() || *figure < 0.0);
    if let Some((name, figure)) = bad {
        let message = format!("{figure} is no amount; give 0 or more");
        return Err(InputError::new(format!("direct.retry.{name}"), message));
    }
    if raw.weights_ms == 0 {
        let message = "0 leaves no time to change weights; give milliseconds";
        return Err(InputError::new("direct.weights_ms", message));
    }
    if raw.memory < MIN_MEMORY {
        let message = format!("{} is too little to run in; give {MIN_MEMORY} or more", raw.memory);
        return Err(InputError::new("direct.memory", message));
    }
    if raw.stall_ms == 0 {
        let message = "0 leaves callers no time to read; give milliseconds";
        return Err(InputError::new("direct.stall_ms", message));
    }
    if let Some(millis) = raw.evacuate_ms.filter(|millis| *millis < MIN_EVACUATE_MS) {
        let message = format!(
            "{millis} ms is less than a change of the store takes to reach all entries; give \
             {MIN_EVACUATE_MS} or more"
        );
        return Err(InputError::new("direct.evacuate_ms", message));
    }
    let metrics = raw.metrics.as_deref().map(|text| address("direct.metrics", text)).transpose()?;
    let weights_time = Duration::from_millis(raw.weights_ms);
    Ok(DirectSettings {
        zones,
        seeds,
        retry: raw.retry,
        weights_time,
        memory: raw.memory,
        stall: Duration::from_millis(raw.stall_ms),
        reads_evacuations: raw.evacuate_ms.is_some(),
        first_start: raw.first_start,
        mesh_limit: raw.mesh_limit,
        metrics,
    })
}

pub(crate) fn check_direct_entry(
    raw: &RawSettings,
    node: NodeSettings,
    direct: DirectSettings,
) -> Result<DirectEntrySettings, InputError> {
    let entry = raw.entry.as_ref();
    let entry = entry.ok_or_else(|| InputError::new("entry", "it is missing; add it"))?;
    Ok(DirectEntrySettings { node, listen: address("entry.listen", &entry.listen)?, direct })
}

pub(crate) fn check_direct_agent(
    raw: &RawSettings,
    node: NodeSettings,
    direct: DirectSettings,
) -> Result<DirectAgentSettings, InputError> {
    let agent = raw.agent.as_ref();
    let agent = agent.ok_or_else(|| InputError::new("agent", "it is missing; add it"))?;
    let (text, service) = match &agent.endpoint {
        RawEndpoint::Engine { address, service, .. } => (address, service.clone()),
        RawEndpoint::Service { address, service, .. } => (address, Some(service.clone())),
    };
    let server = address("agent.endpoint.address", text)?;
    Ok(DirectAgentSettings { node, server, service, link: agent.link.clone(), direct })
}
