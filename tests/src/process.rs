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

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process in place, as a paused VM would be.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Asks the process for a planned stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the process has ended; returns whether it ended well.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be waited for.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process can be waited for").success()
    }

    /// Starts the process again after it ended or was killed, with empty memory.
    pub fn restart(&mut self) {
        self.kill();
        self.child = start(&self.program, &self.settings, &self.log);
    }

    /// Returns the process's id, for reading its use of the machine.
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
        .unwrap_or_else(|error| panic!("{program} cannot be started: {error}; build it first"))
}

/// Returns the path of a program in the folder of the running test or benchmark, or the one above.
fn binary(program: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the running program knows its path");
    let folders = running.ancestors().skip(1).take(2);
    let mut programs = folders.map(|it| it.join(program));
    programs.find(|it| it.exists()).unwrap_or_else(|| PathBuf::from(program))
}
