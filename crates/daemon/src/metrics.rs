//! Metrics in the Prometheus text format.

use headlatch_core::direct::{admission::urgency::UrgencyRank, size_class::SizeClass};
use headlatch_types::{RunVerdict, store::StoreEra};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.5, 10.0, 60.0];

/// A stage or the final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStep {
    /// Received from a caller.
    Received,
    /// Admitted and assigned to a server.
    Admitted,
    /// Completed, with the first byte within the latency objective.
    InTime,
    /// Completed, with the first byte later than the latency objective.
    Late,
    /// Refused without having run.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// The response started but ended before it was complete.
    Truncated,
}

impl RequestStep {
    /// The `step` label value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Received => "came",
            Self::Admitted => "admitted",
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Truncated => "cut",
        }
    }
}

/// Metrics of one node.
#[derive(Debug, Clone)]
pub struct NodeMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    steps: IntCounterVec,
    urgencies: IntCounterVec,
    first_byte: HistogramVec,
    chunk_bytes: IntCounterVec,
    chunk_failures: IntCounterVec,
    manifests: IntCounterVec,
    gossip_bytes: IntCounterVec,
    revision: IntGauge,
    store_era: IntGauge,
    store_events: IntCounterVec,
    nodes: IntGaugeVec,
    fact_ages: IntGaugeVec,
    unknown_headers: IntCounterVec,
    unknown_fields: IntCounterVec,
    invalid_fields: IntCounterVec,
    unread_parts: IntCounter,
    quarantined: IntGaugeVec,
    liveness_checks: IntCounterVec,
    server_signals: IntCounterVec,
    malformed_signals: IntCounterVec,
    rate_limits: IntGauge,
    cold_servers: IntGauge,
    slow_servers: IntGauge,
    excluded_servers: IntCounterVec,
    in_progress: IntGauge,
    waiting: IntGaugeVec,
    queue_outcomes: IntCounterVec,
    closed_callers: IntCounterVec,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counter.expect("names of metrics are fixed and valid"))
        };
        let requests = counter("headlatch_requests_total", "Requests by verdict.", &["verdict"]);
        let refusals = counter("headlatch_refusals_total", "Refusals by cause.", &["cause"]);
        let steps = counter(
            "headlatch_requests_by_size_total",
            "Requests by route, size within the route, and step.",
            &["route", "size", "step"],
        );
        let urgencies = counter(
            "headlatch_requests_by_urgency_total",
            "Requests of services that distinguish urgencies, by service, rank (0 to 9, 0 the most urgent) and step.",
            &["service", "rank", "step"],
        );
        let chunk_bytes =
            counter("headlatch_chunk_bytes_total", "Bytes of chunks by way.", &["way"]);
        let chunk_failures =
            counter("headlatch_chunk_failures_total", "Failed fetches by cause.", &["cause"]);
        let manifests = counter(
            "headlatch_manifests_total",
            "Manifests of weights read from the origin or an agent, by what became of them.",
            &["outcome"],
        );
        let gossip_bytes =
            counter("headlatch_gossip_bytes_total", "Bytes of gossip by way.", &["way"]);
        let unknown_headers = counter(
            "headlatch_unknown_headers_total",
            "Unknown headers in answers of servers, by name.",
            &["header"],
        );
        let unknown_fields = counter(
            "headlatch_unknown_fields_total",
            "Unknown fields of facts from the store and of reports of servers, by path.",
            &["field"],
        );
        let invalid_fields = counter(
            "headlatch_invalid_fields_total",
            "Fields of facts from the store with an invalid value, by path.",
            &["field"],
        );
        let liveness_checks = counter(
            "headlatch_server_liveness_checks_total",
            "Checks of servers that closed a connection: after what, whether by identity, and the result.",
            &["after", "identified", "result"],
        );
        let server_signals = counter(
            "headlatch_server_signals_total",
            "Signals in answers of servers that change routing, by kind.",
            &["signal"],
        );
        let malformed_signals = counter(
            "headlatch_malformed_signals_total",
            "Malformed signals in answers of servers, by kind.",
            &["signal"],
        );
        let excluded_servers = counter(
            "headlatch_servers_excluded_total",
            "Servers excluded by their signals, or as cold, when a request was refused, by kind.",
            &["signal"],
        );
        let store_events = counter(
            "headlatch_store_events_total",
            "Events at the store of facts, by kind.",
            &["event"],
        );
        let queue_outcomes = counter(
            "headlatch_queue_outcomes_total",
            "Requests that left the admission queue, by service, rank and outcome.",
            &["service", "rank", "outcome"],
        );
        let closed_callers = counter(
            "headlatch_caller_connections_closed_total",
            "Connections of callers that this process closed, by the limit that they met.",
            &["limit"],
        );
        let latency = HistogramOpts::new("headlatch_first_byte_seconds", "Time to the first byte.")
            .buckets(LATENCY_BUCKETS.to_vec());
        let first_byte = HistogramVec::new(latency, &["kind"]);
        let first_byte = register(&registry, first_byte.expect("the name is fixed and valid"));
        let nodes = IntGaugeVec::new(Opts::new("headlatch_nodes", "Nodes known."), &["state"]);
        let nodes = register(&registry, nodes.expect("the name is fixed and valid"));
        let waiting = Opts::new(
            "headlatch_waiting_requests",
            "Requests in the admission queue, by service and rank.",
        );
        let waiting = IntGaugeVec::new(waiting, &["service", "rank"]);
        let waiting = register(&registry, waiting.expect("the name is fixed and valid"));
        let ages = Opts::new(
            "headlatch_fact_age_milliseconds",
            "Time since the store last said that nothing of a topic is missing.",
        );
        let ages = IntGaugeVec::new(ages, &["topic"]);
        let fact_ages = register(&registry, ages.expect("the name is fixed and valid"));
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("names of metrics are fixed and valid");
            register(&registry, gauge)
        };
        let revision = gauge("headlatch_revision", "Revision of the configuration in force.");
        let store_era = gauge(
            "headlatch_store_era",
            "Newest known era of the store: rises when it is rolled back.",
        );
        let rate_limits = gauge("headlatch_rate_limited_servers", "Servers with a rate limit.");
        let cold_servers =
            gauge("headlatch_cold_servers", "Cold servers whose request rate is limited.");
        let slow_servers = gauge("headlatch_slow_servers", "Servers that count as slow.");
        let unread_parts = IntCounter::new(
            "headlatch_unread_prompt_parts_total",
            "Listed parts of prompts that could not be read, or were too many.",
        );
        let unread_parts = register(&registry, unread_parts.expect("the name is fixed and valid"));
        let quarantined = Opts::new(
            "headlatch_quarantined",
            "Quarantined contents of requests and prompt parts, by kind.",
        );
        let quarantined = IntGaugeVec::new(quarantined, &["kind"]);
        let quarantined = register(&registry, quarantined.expect("the name is fixed and valid"));
        let in_progress = gauge("headlatch_in_progress", "Requests in progress.");
        Self {
            registry,
            requests,
            refusals,
            steps,
            urgencies,
            first_byte,
            chunk_bytes,
            chunk_failures,
            manifests,
            gossip_bytes,
            revision,
            store_era,
            store_events,
            nodes,
            fact_ages,
            unknown_headers,
            unknown_fields,
            invalid_fields,
            unread_parts,
            quarantined,
            liveness_checks,
            server_signals,
            malformed_signals,
            rate_limits,
            cold_servers,
            slow_servers,
            excluded_servers,
            in_progress,
            waiting,
            queue_outcomes,
            closed_callers,
        }
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("every metric is registered once");
    metric
}

impl NodeMetrics {
    /// Counts a request by its verdict.
    pub fn count_request(&self, verdict: RunVerdict) {
        self.requests.with_label_values(&[verdict.as_str()]).inc();
    }

    /// Counts a refusal by its cause.
    pub fn count_refusal(&self, cause: &str) {
        self.refusals.with_label_values(&[cause]).inc();
    }

    /// Counts a step of a request to `route`, with `size` as its size class within the route.
    pub fn count_step(&self, route: &str, size: SizeClass, step: RequestStep) {
        self.steps.with_label_values(&[route, size.as_str(), step.as_str()]).inc();
    }

    /// Number of times `step` was counted for `route` and `size`.
    pub fn steps(&self, route: &str, size: SizeClass, step: RequestStep) -> u64 {
        self.steps.with_label_values(&[route, size.as_str(), step.as_str()]).get()
    }

    /// Counts an unknown field of a fact from the store or of a report of a server.
    pub fn count_unknown_field(&self, path: &str) {
        self.unknown_fields.with_label_values(&[path]).inc();
    }

    /// Number of unknown fields counted under a path.
    pub fn unknown_fields(&self, path: &str) -> u64 {
        self.unknown_fields.with_label_values(&[path]).get()
    }

    /// Counts a field of a fact from the store whose value is invalid.
    pub fn count_invalid_field(&self, path: &str) {
        self.invalid_fields.with_label_values(&[path]).inc();
    }

    /// Number of invalid fields counted under a path.
    pub fn invalid_fields(&self, path: &str) -> u64 {
        self.invalid_fields.with_label_values(&[path]).get()
    }

    /// Counts a request that was refused, in time or late by its service and urgency. Other steps, and
    /// requests without an urgency, are not counted. Labels are bounded: services of plans, ten ranks and
    /// three steps.
    pub fn count_urgency(&self, service: &str, rank: Option<UrgencyRank>, step: RequestStep) {
        let counted = [RequestStep::Refused, RequestStep::InTime, RequestStep::Late];
        if let Some(rank) = rank.filter(|_| counted.contains(&step)) {
            let labels = [service, &rank.to_string(), step.as_str()];
            self.urgencies.with_label_values(&labels).inc();
        }
    }

    /// Number of requests to `service` with `rank` that were counted for `step`.
    pub fn urgencies(&self, service: &str, rank: UrgencyRank, step: RequestStep) -> u64 {
        let labels = [service, &rank.to_string(), step.as_str()];
        self.urgencies.with_label_values(&labels).get()
    }

    /// Counts listed parts of a prompt that were not read.
    pub fn count_unread_parts(&self, count: usize) {
        self.unread_parts.inc_by(count as u64);
    }

    /// Number of listed parts of prompts that were not read.
    pub fn unread_parts(&self) -> u64 {
        self.unread_parts.get()
    }

    /// Sets the number of quarantines of a kind.
    pub fn set_quarantined(&self, kind: &str, count: usize) {
        self.quarantined.with_label_values(&[kind]).set(count as i64);
    }

    /// Counts an unknown header in a server's response.
    pub fn count_unknown_header(&self, name: &str) {
        self.unknown_headers.with_label_values(&[name]).inc();
    }

    /// Number of unknown headers counted under `name`.
    pub fn unknown_headers(&self, name: &str) -> u64 {
        self.unknown_headers.with_label_values(&[name]).get()
    }

    /// Counts a server signal that affects routing.
    pub fn count_server_signal(&self, signal: &str) {
        self.server_signals.with_label_values(&[signal]).inc();
    }

    /// Counts a check of a server that closed a connection.
    pub fn count_liveness_check(&self, after: &str, is_identified: bool, result: &str) {
        self.liveness_checks
            .with_label_values(&[after, if is_identified { "yes" } else { "no" }, result])
            .inc();
    }

    /// Number of checks of servers with this result.
    pub fn liveness_checks(&self, after: &str, is_identified: bool, result: &str) -> u64 {
        self.liveness_checks
            .with_label_values(&[after, if is_identified { "yes" } else { "no" }, result])
            .get()
    }

    /// Counts a malformed server signal.
    pub fn count_malformed_signal(&self, signal: &str) {
        self.malformed_signals.with_label_values(&[signal]).inc();
    }

    /// Number of malformed signals of this kind.
    pub fn malformed_signals(&self, signal: &str) -> u64 {
        self.malformed_signals.with_label_values(&[signal]).get()
    }

    /// Sets the number of servers that currently have a rate limit.
    pub fn set_rate_limits(&self, count: usize) {
        self.rate_limits.set(count as i64);
    }

    /// Sets the number of cold servers whose request rate is limited.
    pub fn set_cold_servers(&self, count: usize) {
        self.cold_servers.set(count as i64);
    }

    /// Sets the number of servers that currently count as slow.
    pub fn set_slow_servers(&self, count: usize) {
        self.slow_servers.set(count as i64);
    }

    /// Counts servers that were excluded by their signals when a request was refused.
    pub fn count_excluded(&self, signal: &str, count: u32) {
        self.excluded_servers.with_label_values(&[signal]).inc_by(count.into());
    }

    /// Observes the time to the first byte of a response.
    pub fn observe_first_byte(&self, kind: &str, seconds: f64) {
        self.first_byte.with_label_values(&[kind]).observe(seconds);
    }

    /// Counts chunk bytes received from `origin`, `store` or `peer`, or uploaded to peers (`up`).
    pub fn count_chunk(&self, way: &str, bytes: u64) {
        self.chunk_bytes.with_label_values(&[way]).inc_by(bytes);
    }

    /// Counts a failed chunk fetch by cause.
    pub fn count_chunk_failure(&self, cause: &str) {
        self.chunk_failures.with_label_values(&[cause]).inc();
    }

    /// Number of failed chunk fetches with this cause.
    pub fn chunk_failures(&self, cause: &str) -> u64 {
        self.chunk_failures.with_label_values(&[cause]).get()
    }

    /// Counts a manifest that was read, by what became of it.
    pub fn count_manifest(&self, outcome: &str) {
        self.manifests.with_label_values(&[outcome]).inc();
    }

    /// Number of manifests with this outcome.
    pub fn manifests(&self, outcome: &str) -> u64 {
        self.manifests.with_label_values(&[outcome]).get()
    }

    /// Counts gossip bytes, `in` or `out`.
    pub fn count_gossip(&self, way: &str, bytes: usize) {
        self.gossip_bytes.with_label_values(&[way]).inc_by(bytes as u64);
    }

    /// Sets the active configuration revision.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision as i64);
    }

    /// Sets the newest known era of the store.
    pub fn set_store_era(&self, era: StoreEra) {
        self.store_era.set(era.number().into());
    }

    /// Counts events at the store of facts, by kind.
    pub fn count_store_events(&self, event: &str, count: usize) {
        self.store_events.with_label_values(&[event]).inc_by(count as u64);
    }

    /// Number of events of a kind at the store of facts.
    pub fn store_events(&self, event: &str) -> u64 {
        self.store_events.with_label_values(&[event]).get()
    }

    /// Sets the number of nodes in `state`.
    pub fn set_nodes(&self, state: &str, count: usize) {
        self.nodes.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the age of this process's copy of a store topic, in milliseconds.
    pub fn set_fact_age(&self, topic: &str, millis: u64) {
        self.fact_ages.with_label_values(&[topic]).set(millis as i64);
    }

    /// Sets the number of requests in progress.
    pub fn set_in_progress(&self, count: usize) {
        self.in_progress.set(count as i64);
    }

    /// Changes the number of requests in the admission queue by `change`.
    pub fn add_waiting(&self, service: &str, rank: UrgencyRank, change: i64) {
        self.waiting.with_label_values(&[service, &rank.to_string()]).add(change);
    }

    /// Number of requests in the admission queue.
    pub fn waiting(&self, service: &str, rank: UrgencyRank) -> i64 {
        self.waiting.with_label_values(&[service, &rank.to_string()]).get()
    }

    /// Counts a connection of a caller that was closed for a limit.
    pub fn count_closed_caller(&self, limit: &str) {
        self.closed_callers.with_label_values(&[limit]).inc();
    }

    /// Counts a request that left the admission queue, or was refused on arrival there.
    pub fn count_queue_outcome(&self, service: &str, rank: UrgencyRank, outcome: &str) {
        self.queue_outcomes.with_label_values(&[service, &rank.to_string(), outcome]).inc();
    }

    /// Number of requests that left the admission queue with this outcome.
    pub fn queue_outcomes(&self, service: &str, rank: UrgencyRank, outcome: &str) -> u64 {
        self.queue_outcomes.with_label_values(&[service, &rank.to_string(), outcome]).get()
    }

    /// Number of requests counted with `verdict`.
    pub fn requests(&self, verdict: RunVerdict) -> u64 {
        self.requests.with_label_values(&[verdict.as_str()]).get()
    }

    /// Number of chunk bytes counted under the label `way`.
    pub fn chunk_bytes(&self, way: &str) -> u64 {
        self.chunk_bytes.with_label_values(&[way]).get()
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        encoded
            .map_or_else(|error| error.to_string(), |()| String::from_utf8_lossy(&out).into_owned())
    }
}
