//! Settings of daemons in direct mode, which call servers without an agent in between and read plan and
//! servers from an external store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, RegionId},
    quantity::{ByteRate, ByteSize},
    reading::{InputError, parse_at},
    settings::{LinkSettings, NodeSettings, RawEndpoint, RawSettings},
};

/// Settings of direct mode, as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDirect {
    /// Region of each failure domain.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses of other headlatch processes; the port is replaced by that of `control`.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Retry budget of all entries together.
    #[serde(default)]
    pub retry: RawRetry,
    /// Time in which all servers should switch to new weights, in milliseconds.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
    /// Time after which a failure domain that is being evacuated receives no new requests, in milliseconds.
    /// If left out, evacuations are disabled and not read from the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuate_ms: Option<u64>,
    /// Memory limit of the process. Request bodies, responses, and connections of callers may each use a fifth
    /// of it.
    #[serde(default = "default_memory")]
    pub memory: ByteSize,
    /// Largest number of open descriptors; the limit of the operating system if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<usize>,
    /// Time over which a caller's connection is closed if its response is read more slowly than at
    /// `min_read_rate`, in milliseconds.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
    /// Rate of reading below which a caller's connection is closed after `stall_ms`, per second.
    #[serde(default = "default_min_read_rate")]
    pub min_read_rate: ByteRate,
    /// Rate of reading or sending below which a caller's connection is closed as soon as others lack memory or a
    /// server because of it, per second.
    #[serde(default = "default_yield_rate")]
    pub yield_rate: ByteRate,
    /// Largest event of a stream.
    #[serde(default = "default_max_event")]
    pub max_event: ByteSize,
    /// Whether the whole system starts for the first time. No caller waits yet, so the processes discover
    /// each other before they read the store.
    #[serde(default)]
    pub first_start: bool,
    /// Largest number of processes that exchange state in a full mesh; above it, two entries of each failure
    /// domain relay.
    #[serde(default = "default_mesh_limit")]
    pub mesh_limit: usize,
    /// Whether requests are routed by the pace that servers report in addition to their configured
    /// figures. Entries and agents must both have it set.
    #[serde(default)]
    pub server_pace: bool,
    /// Address for metrics; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<String>,
}

/// Retry budget that all entries share, per service.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawRetry {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`.
    pub slack: f64,
    /// Length of the window in which requests and retries are counted, in seconds.
    pub window_seconds: f64,
}

impl Default for RawRetry {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 20.0, window_seconds: 10.0 }
    }
}

/// Smallest accepted `evacuate_ms`: a change in the store takes this long to reach all entries.
const MIN_EVACUATE_MS: u64 = 4_000;

/// Smallest accepted memory limit: the process itself takes 10 MiB, and a request body may have 4 MiB.
const MIN_MEMORY: ByteSize = ByteSize::from_mib(32);

/// Smallest accepted number of descriptors.
const MIN_DESCRIPTORS: usize = 128;

/// Smallest accepted limit on events of streams.
const MIN_EVENT: ByteSize = ByteSize::from_bytes(4 << 10);

/// Divisor of the memory that gives the largest accepted limit on events of streams.
const EVENT_DIVISOR: u64 = 20;

fn default_memory() -> ByteSize {
    ByteSize::from_mib(256)
}

/// Longer than usual request deadlines, so that it closes connections of callers that read nothing, but not of
/// callers that read slowly.
fn default_stall_ms() -> u64 {
    10_000
}

/// Below the rate of a modem. A caller that reads at this rate takes over two hours for the longest response.
fn default_min_read_rate() -> ByteRate {
    ByteRate::from_bytes_per_second(2 << 10)
}

fn default_yield_rate() -> ByteRate {
    ByteRate::from_bytes_per_second(16 << 10)
}

fn default_max_event() -> ByteSize {
    ByteSize::from_mib(1)
}

fn default_weights_ms() -> u64 {
    30_000
}

/// Above this many processes, a full mesh exceeds the CPU time allowed for control traffic.
fn default_mesh_limit() -> usize {
    96
}

/// Settings of direct mode, checked.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Region of each failure domain.
    pub zones: HashMap<DomainId, RegionId>,
    /// Addresses of other headlatch processes.
    pub seeds: Vec<SocketAddr>,
    /// Retry budget of all entries together.
    pub retry: RawRetry,
    /// Time in which all servers should switch to new weights.
    pub weights_time: Duration,
    /// Memory limit of the process.
    pub memory: ByteSize,
    /// Largest number of open descriptors; the limit of the operating system if `None`.
    pub descriptors: Option<usize>,
    /// Time over which a caller's connection is closed if it reads more slowly than at `min_read_rate`.
    pub stall: Duration,
    /// Rate of reading below which a caller's connection is closed after `stall`.
    pub min_read_rate: ByteRate,
    /// Rate below which a caller's connection is closed as soon as others lack memory or a server because of it.
    pub yield_rate: ByteRate,
    /// Largest event of a stream.
    pub max_event: ByteSize,
    /// Whether evacuations of failure domains are read from the store.
    pub reads_evacuations: bool,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Largest number of processes that exchange state in a full mesh.
    pub mesh_limit: usize,
    /// Whether requests are routed by the pace that servers report.
    pub server_pace: bool,
    /// Address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of an entry that calls servers directly.
#[derive(Debug, Clone)]
pub struct DirectEntrySettings {
    /// Settings common to all nodes.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Settings of direct mode.
    pub direct: DirectSettings,
}

/// Settings of an agent that stages weights piece by piece.
#[derive(Debug, Clone)]
pub struct DirectAgentSettings {
    /// Settings common to all nodes.
    pub node: NodeSettings,
    /// Address of the server on this box.
    pub server: SocketAddr,
    /// Service that the server belongs to, if known.
    pub service: Option<String>,
    /// Link of this box.
    pub link: LinkSettings,
    /// Settings of direct mode.
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
        let message = "0 leaves no time to change weights; give 1 ms or more";
        return Err(InputError::new("direct.weights_ms", message));
    }
    if raw.memory < MIN_MEMORY {
        let message = format!("{} is too little memory; give {MIN_MEMORY} or more", raw.memory);
        return Err(InputError::new("direct.memory", message));
    }
    check_caller_limits(raw)?;
    if raw.stall_ms == 0 {
        let message = "0 leaves callers no time to read; give 1 ms or more";
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
        descriptors: raw.descriptors,
        stall: Duration::from_millis(raw.stall_ms),
        min_read_rate: raw.min_read_rate,
        yield_rate: raw.yield_rate,
        max_event: raw.max_event,
        reads_evacuations: raw.evacuate_ms.is_some(),
        first_start: raw.first_start,
        mesh_limit: raw.mesh_limit,
        server_pace: raw.server_pace,
        metrics,
    })
}

fn check_caller_limits(raw: &RawDirect) -> Result<(), InputError> {
    if let Some(descriptors) = raw.descriptors.filter(|count| *count < MIN_DESCRIPTORS) {
        let message =
            format!("{descriptors} are too few descriptors; give {MIN_DESCRIPTORS} or more");
        return Err(InputError::new("direct.descriptors", message));
    }
    if raw.yield_rate < raw.min_read_rate {
        let message = format!(
            "{} is less than direct.min_read_rate; give {} or more",
            raw.yield_rate, raw.min_read_rate
        );
        return Err(InputError::new("direct.yield_rate", message));
    }
    let max_event = ByteSize::from_bytes(raw.memory.bytes() / EVENT_DIVISOR);
    if raw.max_event < MIN_EVENT || raw.max_event > max_event {
        let message = format!(
            "{} is not between {MIN_EVENT} and a twentieth of direct.memory, {max_event}; change it or \
             direct.memory",
            raw.max_event
        );
        return Err(InputError::new("direct.max_event", message));
    }
    Ok(())
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
