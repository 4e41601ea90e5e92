//! Daemons that talk to servers directly: entries, which route requests, and agents, which stage
//! model weights.

pub mod agent;
mod agent_notices;
mod agent_plan;
pub mod answer;
mod answer_reader;
pub mod attempt;
pub mod body_memory;
mod callers;
pub mod change;
pub mod datagram;
pub mod entry;
pub mod entry_notices;
pub mod exchange;
mod fact_update;
pub mod facts;
pub mod front;
pub mod handler;
mod notice_codec;
pub mod notices;
pub mod plan_copy;
pub mod plan_sync;
pub mod quarantine;
mod quarantine_keeper;
pub mod relay;
pub mod relay_mail;
pub mod server_end;
pub mod server_sync;
pub mod stager;
pub mod state;
pub mod transfer;
pub mod transfer_peers;
pub mod unknown_names;
pub mod waiting;
pub mod weights;
