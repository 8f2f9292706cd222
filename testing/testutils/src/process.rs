//! A child process of a test, ended by its id when dropped.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A running process.
pub struct Process {
    child: Child,
    /// What its first line said, as `name=value`.
    pub ready: HashMap<String, String>,
}

/// Where cargo puts the programs: next to the tests.
///
/// # Panics
///
/// When the test does not run from cargo's target folder.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own path");
    // Tests lie in target/profile/deps, programs one folder above.
    let folder = test.parent().expect("a program lies in a folder");
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    let path = folder.join(name);
    assert!(path.exists(), "{name} is not built; run the tests of the whole workspace");
    path
}

/// Sends a signal to a child of ours. Returns whether it was there to get it.
///
/// # Panics
///
/// Never: process ids fit.
pub fn signal(process: u32, number: libc::c_int) -> bool {
    let id = libc::pid_t::try_from(process).expect("process ids are small");
    // SAFETY: kill takes no pointers. The process is a child of this one that
    // has not been waited for, so its id cannot have been given away.
    unsafe { libc::kill(id, number) == 0 }
}

fn append_to(log: &Path) -> std::fs::File {
    let file = std::fs::File::options().create(true).append(true).open(log);
    file.expect("the log file can be written")
}

impl Process {
    /// Starts a program and waits for its line `ready name=value …`.
    ///
    /// # Panics
    ///
    /// When it cannot be started or ends before that line.
    #[must_use]
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> Self {
        let log = append_to(log);
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log))
            .stdin(Stdio::null())
            .spawn()
            .expect("the program can be started");
        let output = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("its output can be read");
        let ready: HashMap<_, _> = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        assert!(line.starts_with("ready"), "{} said {line:?}", program.display());
        Self { child, ready }
    }

    /// Starts a program that says nothing of its own when it is ready. What it
    /// prints goes to the log.
    ///
    /// # Panics
    ///
    /// When it cannot be started.
    #[must_use]
    pub fn start_quiet(program: &Path, arguments: &[&str], log: &Path) -> Self {
        let child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::from(append_to(log)))
            .stderr(Stdio::from(append_to(log)))
            .stdin(Stdio::null())
            .spawn()
            .expect("the program can be started");
        Self { child, ready: HashMap::new() }
    }

    fn signal(&self, number: libc::c_int) {
        assert!(signal(self.child.id(), number), "signal {number} to our own child");
    }

    /// Ends it at once.
    ///
    /// # Panics
    ///
    /// When it cannot be waited for.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.child.wait().expect("a killed child ends");
    }

    /// Stops it in its tracks.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Whether it has ended, and with which exit code.
    ///
    /// # Panics
    ///
    /// When its state cannot be read.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("a child can be asked");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
