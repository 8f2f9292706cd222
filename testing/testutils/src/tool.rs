//! Runs of the command-line tool against a deployment under test.

use std::path::PathBuf;
use std::process::Stdio;

use chervilwharf_lib::config::Config;

use crate::cluster::Cluster;
use crate::process::program;

/// The result of a run of the tool.
#[derive(Clone, Debug)]
pub struct ToolRun {
    /// Exit code, or -1 if a signal ended the tool.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl Cluster {
    /// Runs the tool against the store of this deployment.
    ///
    /// # Panics
    ///
    /// When the tool cannot be started.
    pub async fn tool(&self, arguments: &[&str]) -> ToolRun {
        let run = tokio::process::Command::new(program("test-chervilwharf"))
            .arg("--store")
            .arg(self.store.url())
            .args(arguments)
            .env("USER", "tester")
            .stdin(Stdio::null())
            .output()
            .await
            .expect("the tool can be started");
        ToolRun {
            code: run.status.code().unwrap_or(-1),
            output: String::from_utf8_lossy(&run.stdout).into_owned(),
            errors: String::from_utf8_lossy(&run.stderr).into_owned(),
        }
    }

    /// Writes a configuration to a file in the directory of the deployment.
    ///
    /// # Panics
    ///
    /// When the file cannot be written.
    #[must_use]
    pub fn write_text(&self, name: &str, config: &Config) -> PathBuf {
        let path = self.folder().join(name);
        let text = serde_json::to_string_pretty(config).expect("the value can be serialized");
        std::fs::write(&path, text).expect("the directory is writable");
        path
    }
}
