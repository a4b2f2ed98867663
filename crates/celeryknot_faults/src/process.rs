//! Starts, signals and stops one `celeryknotd` process.

use std::fs::File;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// Interval at which an exiting process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon process that is killed on drop.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    name: String,
}

impl DaemonProcess {
    /// Starts the binary with a settings file; the log file lies beside it.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be created or the binary can't be started.
    pub fn start(binary: &Path, name: &str, settings_file: &Path) -> eyre::Result<Self> {
        Self::start_with(binary, name, settings_file, &[])
    }

    /// Starts the binary with additional arguments.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be created or the binary can't be started.
    pub fn start_with(
        binary: &Path,
        name: &str,
        settings_file: &Path,
        arguments: &[&str],
    ) -> eyre::Result<Self> {
        let log_file = settings_file.with_extension("log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_file)
            .wrap_err("creating the log")?;
        let child = Command::new(binary)
            .args(arguments)
            .arg("--settings")
            .arg(settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("starting the daemon")?;
        Ok(Self {
            child,
            name: name.to_owned(),
        })
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Makes the process reload its settings with SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn reload(&self) -> eyre::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Shuts the process down gracefully with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails when it has not exited within the timeout.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> eyre::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                return Err(eyre!("{} has not ended after {timeout:?}", self.name));
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).wrap_err_with(|| format!("signalling {}", self.name))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both fail without harm if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Environment variable that prevents the removal of run folders, which hold the daemons' logs.
pub const KEEP_RUNS_VARIABLE: &str = "CELERYKNOT_KEEP_RUNS";

/// The folder for the settings and logs of one run; removed on drop unless
/// [`KEEP_RUNS_VARIABLE`] is set.
#[derive(Debug)]
pub struct RunFolder {
    path: PathBuf,
}

impl RunFolder {
    /// Creates a folder that only this run uses.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be created.
    pub fn create(label: &str) -> eyre::Result<Self> {
        let name = format!("celeryknot-{}-{label}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).wrap_err("creating the folder of the run")?;
        Ok(Self { path })
    }

    /// Returns the folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        // If the removal fails, the system's cleanup of temporary files takes over.
        if std::env::var_os(KEEP_RUNS_VARIABLE).is_none() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns the loopback address of a daemon, derived from the process id and the run so that
/// concurrent runs on one machine use different ones.
///
/// All daemons listen on the same fixed ports, so a replacement has the same address as its
/// predecessor.
pub fn loopback_address(run: u16, daemon: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let hash = pid.wrapping_mul(0x9e37_79b1).wrapping_add(u32::from(run));
    let second = u8::try_from(1 + (hash >> 8) % 250).expect("below 251");
    let third = u8::try_from(hash % 256).expect("below 256");
    Ipv4Addr::new(127, second, third, daemon + 1)
}
