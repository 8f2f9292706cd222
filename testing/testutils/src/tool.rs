//! Runs of the command-line tool against a deployment under test.

use std::path::PathBuf;
use std::process::Stdio;

use chervilwharf_lib::config::Config;

use crate::cluster::Cluster;
use crate::process::program;

/// What a run of the tool gave.
#[derive(Clone, Debug)]
pub struct ToolRun {
    /// Its exit code.
    pub code: i32,
    /// What it printed.
    pub output: String,
    /// What it complained about.
    pub errors: String,
}

impl Cluster {
    /// Runs the tool against the store of this deployment.
    ///
    /// # Panics
    ///
    /// When it cannot be started.
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

    /// Writes a configuration to a file in the deployment's folder.
    ///
    /// # Panics
    ///
    /// When it cannot be written.
    #[must_use]
    pub fn write_text(&self, name: &str, config: &Config) -> PathBuf {
        let path = self.folder().join(name);
        let text = serde_json::to_string_pretty(config).expect("plain data");
        std::fs::write(&path, text).expect("the folder can be written");
        path
    }
}
