//! Processes of the system's programs.

use super::*;

use rustix::process::{Pid, Signal, kill_process};

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A program of the system, run as a process of its own and killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: Name,
}

/// Program that a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// `oleanderstage-entry`.
    Entry,
    /// `oleanderstage-scheduler`.
    Scheduler,
}

impl Process {
    /// Starts `program` in `role`. Writes `settings` to a file in `directory`, where its log goes
    /// too.
    pub fn start(
        program: &Path,
        role: Role,
        name: &Name,
        directory: &Path,
        settings: &impl Serialize,
    ) -> Result<Self, Error> {
        let path = directory.join(format!("{name}.jsonc"));
        fs::write(&path, serde_json::to_vec_pretty(settings)?)?;
        let log = directory.join(format!("{name}.log"));
        let log = fs::File::options().append(true).create(true).open(log)?;
        let child = Command::new(program)
            .arg(role.as_str())
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child, name: name.clone() })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM, which makes the program drain and end.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Waits at most `timeout` for the end of the process.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Error> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::new(format!("stop `{}`", self.name), format!("it still runs after {timeout:?}")))
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let step = format!("send {signal:?} to `{}`", self.name);
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| Error::new(&step, "its process ID is not valid"))?;
        kill_process(pid, signal).map_err(|cause| Error::new(&step, cause))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Scheduler => "scheduler",
        }
    }
}
