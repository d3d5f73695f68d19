//! A process of the system under test.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A running process; it is killed when dropped.
pub struct Process {
    program: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace with a settings file.
    ///
    /// # Panics
    ///
    /// Panics if the program was not built or cannot be started.
    pub fn spawn(program: &str, settings: &Path, log: &Path) -> Self {
        let child = start(program, settings, log);
        Self { program: program.into(), settings: settings.into(), log: log.into(), child }
    }

    /// Kills the process with `SIGKILL`.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with `SIGSTOP`, as on a paused VM.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Requests a planned stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the process has ended; returns whether it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process can be waited for").success()
    }

    /// Kills the process if it still runs, and starts it again with empty memory.
    pub fn restart(&mut self) {
        self.kill();
        self.child = start(&self.program, &self.settings, &self.log);
    }

    /// Returns the process's id, for reading its resource usage.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns everything that the process logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.is_ok_and(|it| it.success()), "signal {signal} was not delivered");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start(program: &str, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be opened");
    Command::new(binary(program))
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| {
            panic!("{program} cannot be started: {error}; build the workspace first")
        })
}

/// Returns the path of a program in the folder of the running test or benchmark, or the one above.
fn binary(program: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the path of the running program is available");
    let folders = running.ancestors().skip(1).take(2);
    let mut programs = folders.map(|it| it.join(program));
    programs.find(|it| it.exists()).unwrap_or_else(|| PathBuf::from(program))
}
