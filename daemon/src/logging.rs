//! Log output: one line of plain text or one JSON object per message.

use chervilwharf_lib::settings::LogSettings;
use log::LevelFilter;
use serde_json::json;

use crate::metrics::since_epoch;

/// Starts logging to standard error.
///
/// # Errors
///
/// When a logger is already installed.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let json = settings.json;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("chervilwharf_daemon", level)
        .format(move |out, message, record| {
            let at_ms = since_epoch().as_millis();
            if json {
                let line = json!({
                    "at_ms": at_ms,
                    "level": record.level().as_str(),
                    "target": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let level = record.level();
                let target = record.target();
                out.finish(format_args!("{at_ms} {level} {target} {message}"));
            }
        })
        .chain(std::io::stderr())
        .apply()
}
