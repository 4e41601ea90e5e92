//! Logging in text or JSON lines; each message starts with the name of its component.

use error_stack::{Report, ResultExt};
use headlatch_types::settings::{LogFormat, LogLevel, LogSettings};
use serde_json::json;

use crate::{error::DaemonError, timer::unix_time};

/// Initializes process-wide logging to standard error.
pub fn start(settings: &LogSettings) -> Result<(), Report<DaemonError>> {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("headlatch_daemon", level(settings.level))
        .level_for("headlatch_http", level(settings.level))
        .chain(std::io::stderr());
    let dispatch = match settings.format {
        LogFormat::Text => dispatch.format(write_text),
        LogFormat::Json => dispatch.format(write_json),
    };
    dispatch.apply().change_context(DaemonError::Telemetry("logs"))
}

fn level(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

fn write_text(
    out: fern::FormatCallback<'_>,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) {
    let now = unix_time().as_millis();
    out.finish(format_args!("{}.{:03} {:5} {message}", now / 1000, now % 1000, record.level()));
}

fn write_json(
    out: fern::FormatCallback<'_>,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) {
    let text = message.to_string();
    let (part, sentence) = text.split_once(": ").unwrap_or(("", &text));
    let level = record.level().as_str().to_ascii_lowercase();
    let line = json!({ "time_ms": unix_time().as_millis(), "level": level, "part": part, "message": sentence });
    out.finish(format_args!("{line}"));
}
