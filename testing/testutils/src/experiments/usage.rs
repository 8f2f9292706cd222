//! Processor time and memory of a process, read from `/proc`.

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: f64,
}

/// Clock ticks per second in `/proc`, a fixed value on Linux.
const TICKS_PER_S: f64 = 100.0;

impl Usage {
    /// Reads the counters of a process; all are zero if the process does not exist.
    #[must_use]
    pub fn of(process: u32) -> Self {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default()
        };
        let stat = read("stat");
        // The fields after the name in parentheses, since the name can contain spaces.
        let fields: Vec<&str> = stat
            .rsplit_once(')')
            .map(|(_, rest)| rest.split_whitespace().collect())
            .unwrap_or_default();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes =
            resident.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        Self {
            cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S,
            memory_bytes: kilobytes.unwrap_or(0.0) * 1024.0,
        }
    }
}
