//! Decision logic of entries that call servers directly and of agents that stage weights in pieces:
//! routing, server selection, retries and admission.

pub mod admission;
pub mod answer_silence;
pub mod draining;
pub mod engine_model;
pub mod evacuation;
pub mod event_split;
pub mod fact_age;
pub mod leaving;
pub mod manifest_readings;
pub mod manifest_source;
pub mod origin_outage;
pub mod peers;
pub mod plan_readers;
pub mod plan_source;
pub mod process_limits;
pub mod rate_limits;
pub mod relay_outbox;
pub mod relays;
pub mod request_digest;
pub mod retry_share;
pub mod route_table;
pub mod server_copy;
pub mod server_speed;
pub mod server_table;
pub mod size_class;
pub mod slow_peers;
pub mod staging;
pub mod stream_timing;
pub mod suspect_parts;
pub mod suspects;
pub mod time_limit;
pub mod transfer_rate;
pub mod version_choice;
pub mod weight_deadline;
