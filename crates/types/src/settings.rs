//! Settings of the daemons, read from JSON and checked.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    direct_settings::{
        DirectAgentSettings, DirectEntrySettings, RawDirect, check_direct, check_direct_agent,
        check_direct_entry,
    },
    id::{BoxId, DomainId, RegionId, ServiceName},
    quantity::{ByteRate, ByteSize},
    reading::{InputError, from_json, parse_at},
};

/// Settings of either daemon as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Id of this box.
    #[serde(rename = "box")]
    pub box_id: String,
    /// Failure domain of this box.
    pub domain: String,
    /// Region of this box.
    pub region: String,
    /// Address for other boxes of the system: TCP and UDP on one port.
    pub control: String,
    /// Address for health checks and metrics.
    pub admin: String,
    /// Base URL of the platform's object API.
    pub platform: String,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Trace export; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traces: Option<TraceSettings>,
    /// Drain time for requests in progress on shutdown, in seconds.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
    /// Settings of an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<RawEntry>,
    /// Settings of an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub agent: Option<RawAgent>,
    /// Direct mode: servers are called without an agent in between; none if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<RawDirect>,
}

/// Settings of an entry, as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// Address for callers.
    pub listen: String,
    /// Limits on callers.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Settings of an agent, as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgent {
    /// The endpoint on this box.
    pub endpoint: RawEndpoint,
    /// Base URL of the origin of weights; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<String>,
    /// Base URL of the weight store; none if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<String>,
    /// This box's link.
    #[serde(default)]
    pub link: LinkSettings,
    /// Rate of the origin's link, shared by all boxes.
    #[serde(default = "default_origin_rate")]
    pub origin_rate: ByteRate,
    /// Memory limit for chunks.
    #[serde(default = "default_chunk_memory")]
    pub chunk_memory: ByteSize,
}

/// An endpoint as written in JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "kebab-case")]
pub enum RawEndpoint {
    /// A model engine.
    Engine {
        /// Address of its API.
        address: String,
        /// Largest number of concurrent requests.
        #[serde(default = "default_slots")]
        slots: u32,
        /// Service it belongs to, in direct mode.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        service: Option<String>,
    },
    /// A plain service.
    Service {
        /// Address of its API.
        address: String,
        /// Service it belongs to, as the fleet file names it.
        service: String,
        /// Largest number of concurrent requests.
        #[serde(default = "default_slots")]
        slots: u32,
    },
}

/// Logging.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is logged.
    #[serde(default)]
    pub level: LogLevel,
    /// Format of a line.
    #[serde(default)]
    pub format: LogFormat,
}

/// Lowest level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only problems that need an operator.
    Error,
    /// Also problems that may need an operator.
    Warn,
    /// Also events of normal operation.
    #[default]
    Info,
    /// Also every decision.
    Debug,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Export of traces.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSettings {
    /// URL of an OTLP collector that accepts gRPC.
    pub collector: String,
}

/// Limits on callers; every one has a default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest body of a request.
    pub body: ByteSize,
    /// Largest head of a request.
    pub head: ByteSize,
    /// Timeout for receiving the head of a request, in seconds.
    pub head_seconds: u64,
    /// Timeout for receiving the body of a request, in seconds.
    pub body_seconds: u64,
    /// Largest number of open connections.
    pub connections: u32,
    /// Largest number of requests in progress or queued.
    pub requests: u32,
    /// Longest time a request may take, in seconds.
    pub request_seconds: u64,
    /// Longest queueing time for a free endpoint, in milliseconds.
    pub queue_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body: ByteSize::from_mib(4),
            head: ByteSize::from_bytes(32 << 10),
            head_seconds: 10,
            body_seconds: 30,
            connections: 4096,
            requests: 2048,
            request_seconds: 600,
            queue_ms: 1000,
        }
    }
}

/// A box's link and the part of it that weight transfers may use.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Rate of the link; per direction if the link is full duplex.
    pub rate: ByteRate,
    /// Whether both directions share the rate.
    pub duplex: LinkDuplex,
    /// Part kept free for serving traffic.
    pub reserve: Option<ByteRate>,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            rate: ByteRate::from_bytes_per_second(125 << 20),
            duplex: LinkDuplex::Full,
            reserve: None,
        }
    }
}

impl LinkSettings {
    /// The rate that weight transfers may use: the link's rate less the reserve, at least 1 % of the link's
    /// rate.
    pub fn usable(&self) -> ByteRate {
        let rate = self.rate.bytes_per_second();
        let reserve = self.reserve.map_or(0, ByteRate::bytes_per_second);
        ByteRate::from_bytes_per_second(rate.saturating_sub(reserve).max(rate / 100))
    }
}

/// Whether the two directions of a link share its rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDuplex {
    /// Each direction has the whole rate.
    #[default]
    Full,
    /// Both directions together have the rate.
    Shared,
}

impl std::str::FromStr for LinkDuplex {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "full" => Ok(Self::Full),
            "shared" => Ok(Self::Shared),
            _ => Err(format!("\"{text}\" is not a duplex; choose full or shared")),
        }
    }
}

fn default_drain_seconds() -> u64 {
    600
}

fn default_slots() -> u32 {
    16
}

fn default_origin_rate() -> ByteRate {
    ByteRate::from_bytes_per_second(250 << 20)
}

fn default_chunk_memory() -> ByteSize {
    ByteSize::from_mib(64 << 10)
}

/// Settings that entries and agents share, checked.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id of this box.
    pub box_id: BoxId,
    /// Failure domain of this box.
    pub domain: DomainId,
    /// Region of this box.
    pub region: RegionId,
    /// Address for other boxes of the system.
    pub control: SocketAddr,
    /// Address for health checks and metrics.
    pub admin: SocketAddr,
    /// The platform's object API.
    pub platform: ServiceUrl,
    /// Logging.
    pub log: LogSettings,
    /// Trace export.
    pub traces: Option<TraceSettings>,
    /// Drain time for requests in progress on shutdown.
    pub drain: Duration,
}

/// Settings of an entry, checked.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings common to all nodes.
    pub node: NodeSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// The endpoint on an agent's box, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Address of its API.
    pub address: SocketAddr,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// The plain service it belongs to; none for a model engine.
    pub service: Option<ServiceName>,
}

/// Settings of an agent, checked.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Settings common to all nodes.
    pub node: NodeSettings,
    /// The endpoint on this box.
    pub endpoint: EndpointSettings,
    /// The origin of weights.
    pub origin: Option<ServiceUrl>,
    /// The weight store.
    pub store: Option<ServiceUrl>,
    /// This box's link.
    pub link: LinkSettings,
    /// Rate of the origin's link.
    pub origin_rate: ByteRate,
    /// Memory limit for chunks.
    pub chunk_memory: ByteSize,
}

/// Base URL of an external system; the host is an IP address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceUrl {
    address: SocketAddr,
    path: String,
}

impl ServiceUrl {
    /// A URL at `address` without a path.
    pub fn at(address: SocketAddr) -> Self {
        Self { address, path: String::new() }
    }

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The URL of `path` below this one.
    pub fn join(&self, path: &str) -> String {
        format!("http://{}{}/{}", self.address, self.path, path.trim_start_matches('/'))
    }
}

impl std::fmt::Display for ServiceUrl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "http://{}{}", self.address, self.path)
    }
}

/// Text that is not a usable URL.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a URL by IP number; write one like http://10.0.0.1:7000")]
pub struct UrlError(String);

impl std::str::FromStr for ServiceUrl {
    type Err = UrlError;
    fn from_str(text: &str) -> Result<Self, UrlError> {
        let fail = || UrlError(text.to_owned());
        let rest = text.strip_prefix("http://").ok_or_else(fail)?;
        let (address, path) = rest.find('/').map_or((rest, ""), |at| rest.split_at(at));
        let address = address.parse().map_err(|_| fail())?;
        Ok(Self { address, path: path.trim_end_matches('/').to_owned() })
    }
}

/// Checked settings of one daemon.
#[derive(Debug, Clone)]
pub enum DaemonSettings {
    /// Of an entry.
    Entry(Box<EntrySettings>),
    /// Of an agent.
    Agent(Box<AgentSettings>),
    /// Of an entry that calls servers directly.
    DirectEntry(Box<DirectEntrySettings>),
    /// Of an agent that stages weights piece by piece.
    DirectAgent(Box<DirectAgentSettings>),
}

impl DaemonSettings {
    /// Reads and checks settings.
    pub fn parse(text: &str) -> Result<Self, InputError> {
        from_json::<RawSettings>(text)?.try_into()
    }
}

impl TryFrom<RawSettings> for DaemonSettings {
    type Error = InputError;

    fn try_from(raw: RawSettings) -> Result<Self, InputError> {
        let node = check_node(&raw)?;
        if let Some(direct) = &raw.direct {
            let direct = check_direct(direct, node.control)?;
            return match &raw.agent {
                Some(_) => check_direct_agent(&raw, node, direct)
                    .map(|settings| Self::DirectAgent(Box::new(settings))),
                None => check_direct_entry(&raw, node, direct)
                    .map(|settings| Self::DirectEntry(Box::new(settings))),
            };
        }
        match (&raw.entry, &raw.agent) {
            (Some(entry), None) => Ok(Self::Entry(Box::new(check_entry(entry, node)?))),
            (None, Some(agent)) => Ok(Self::Agent(Box::new(check_agent(agent, node)?))),
            (None, None) => Err(InputError::new("", "neither entry nor agent is given; add one")),
            (Some(_), Some(_)) => {
                Err(InputError::new("", "both entry and agent are given; remove one"))
            }
        }
    }
}

fn check_node(raw: &RawSettings) -> Result<NodeSettings, InputError> {
    Ok(NodeSettings {
        box_id: parse_at("box", &raw.box_id)?,
        domain: parse_at("domain", &raw.domain)?,
        region: parse_at("region", &raw.region)?,
        control: parse_address("control", &raw.control)?,
        admin: parse_address("admin", &raw.admin)?,
        platform: parse_at("platform", &raw.platform)?,
        log: raw.log.clone(),
        traces: raw.traces.clone(),
        drain: Duration::from_secs(raw.drain_seconds),
    })
}

fn parse_address(path: &str, text: &str) -> Result<SocketAddr, InputError> {
    let message =
        || format!("\"{text}\" is not an address; write an IP number and a port, 10.0.0.1:7100");
    text.parse().map_err(|_| InputError::new(path, message()))
}

fn check_entry(raw: &RawEntry, node: NodeSettings) -> Result<EntrySettings, InputError> {
    let listen = parse_address("entry.listen", &raw.listen)?;
    let limits = raw.limits.clone();
    let counts = [
        ("connections", limits.connections.into()),
        ("requests", limits.requests.into()),
        ("head_seconds", limits.head_seconds),
        ("body_seconds", limits.body_seconds),
        ("request_seconds", limits.request_seconds),
    ];
    let zero = counts.iter().find(|(_, count): &&(&str, u64)| *count == 0);
    if let Some((name, _)) = zero {
        let path = format!("entry.limits.{name}");
        return Err(InputError::new(path, "0 would refuse everything; give 1 or more"));
    }
    Ok(EntrySettings { node, listen, limits })
}

fn check_agent(raw: &RawAgent, node: NodeSettings) -> Result<AgentSettings, InputError> {
    let endpoint = check_endpoint(&raw.endpoint)?;
    let url = |path: &str, text: &Option<String>| {
        text.as_deref().map(|text| parse_at(path, text)).transpose()
    };
    let origin = url("agent.origin", &raw.origin)?;
    if endpoint.service.is_none() && origin.is_none() {
        return Err(InputError::new(
            "agent.origin",
            "an engine needs an origin of weights; add it",
        ));
    }
    Ok(AgentSettings {
        node,
        endpoint,
        origin,
        store: url("agent.store", &raw.store)?,
        link: raw.link.clone(),
        origin_rate: raw.origin_rate,
        chunk_memory: raw.chunk_memory,
    })
}

fn check_endpoint(raw: &RawEndpoint) -> Result<EndpointSettings, InputError> {
    let (address, slots, service) = match raw {
        RawEndpoint::Engine { address, slots, .. } => (address, *slots, None),
        RawEndpoint::Service { address, service, slots } => {
            (address, *slots, Some(parse_at("agent.endpoint.service", service)?))
        }
    };
    if slots == 0 {
        return Err(InputError::new(
            "agent.endpoint.slots",
            "0 slots would run no request; give 1 or more",
        ));
    }
    let address = parse_address("agent.endpoint.address", address)?;
    Ok(EndpointSettings { address, slots, service })
}
