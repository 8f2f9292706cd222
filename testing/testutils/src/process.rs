//! Child processes of tests, which are killed when they are dropped.

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
    /// The `name=value` pairs of the first line that the process printed.
    pub ready: HashMap<String, String>,
}

/// Path of a binary of the package under test, in the target directory of cargo.
///
/// # Panics
///
/// When the binary is not built, or the test does not run from the target directory.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test binary is known");
    // Test binaries are in target/PROFILE/deps, other binaries in target/PROFILE.
    let folder = test.parent().expect("the binary is in a directory");
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    let path = folder.join(name);
    assert!(path.exists(), "{name} is not built; run the tests of the whole workspace");
    path
}

/// Sends a signal to a child process of this process. Returns whether the child still
/// existed.
///
/// # Panics
///
/// Never, since a process id fits into `pid_t`.
pub fn signal(process: u32, number: libc::c_int) -> bool {
    let id = libc::pid_t::try_from(process).expect("process ids fit into pid_t");
    // SAFETY: `kill` takes no pointers. The process is a child of this one that has not
    // been waited for, so the system cannot have reused its id.
    unsafe { libc::kill(id, number) == 0 }
}

fn append_to(log: &Path) -> std::fs::File {
    let file = std::fs::File::options().create(true).append(true).open(log);
    file.expect("the log file can be written")
}

impl Process {
    /// Starts a program and waits until it prints the line `ready name=value …`. Its
    /// standard error is appended to the log file.
    ///
    /// # Panics
    ///
    /// When the program cannot be started, or ends or prints something else before that
    /// line.
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
        let output = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("the output can be read");
        let ready: HashMap<_, _> = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        assert!(
            line.starts_with("ready"),
            "{} printed {line:?} instead of a ready line",
            program.display()
        );
        Self { child, ready }
    }

    /// Starts a program that prints no `ready` line. Its output is appended to the log
    /// file.
    ///
    /// # Panics
    ///
    /// When the program cannot be started.
    #[must_use]
    pub fn start_without_ready_line(program: &Path, arguments: &[&str], log: &Path) -> Self {
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
        assert!(signal(self.child.id(), number), "cannot send signal {number} to the child");
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Panics
    ///
    /// When the process has exited and was waited for already, or cannot be waited for.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.child.wait().expect("the killed child can be waited for");
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// The exit code of the process, or -1 if a signal ended it; `None` while it runs.
    ///
    /// # Panics
    ///
    /// When the state of the process cannot be read.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the state of the child can be read");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Process id.
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
