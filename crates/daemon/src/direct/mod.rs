//! Daemons that call servers directly: entries that pass requests on, agents that stage weights.

pub mod agent;
mod agent_notices;
mod agent_plan;
pub mod answer;
pub mod attempt;
pub mod change;
pub mod datagram;
pub mod entry;
pub mod entry_notices;
pub mod exchange;
pub mod facts;
pub mod front;
pub mod handler;
mod notice_codec;
pub mod notices;
pub mod plan_copy;
pub mod plan_sync;
pub mod relay;
pub mod relay_mail;
pub mod seats;
pub mod server_end;
pub mod server_sync;
pub mod stager;
pub mod state;
pub mod transfer;
pub mod weights;
