//! One `celeryknotd` process under the control of a run.

use std::fs::File;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// Time between looks at a process that is to end.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A daemon process; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    name: String,
}

impl DaemonProcess {
    /// Starts the binary with a settings file; its log goes to a file beside that.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be created or the binary can't be started.
    pub fn start(binary: &Path, name: &str, settings_file: &Path) -> eyre::Result<Self> {
        Self::start_with(binary, name, settings_file, &[])
    }

    /// Starts the binary with further arguments.
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

    /// Stops the process where it stands.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn freeze(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a stopped process go on.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn thaw(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Tells the process that its settings have changed.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn reload(&self) -> eyre::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Asks the process to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn terminate(&self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended in time.
    pub fn wait_for_exit(&mut self, time_max: Duration) -> eyre::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > time_max {
                return Err(eyre!("{} has not ended after {time_max:?}", self.name));
            }
            std::thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).wrap_err_with(|| format!("signalling {}", self.name))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Environment variable that keeps the folders of runs, with the daemons' logs.
pub const KEEP_VARIABLE: &str = "CELERYKNOT_KEEP_RUNS";

/// A folder for the settings and logs of one run; removed when dropped, unless
/// [`KEEP_VARIABLE`] is set.
#[derive(Debug)]
pub struct RunFolder {
    path: PathBuf,
}

impl RunFolder {
    /// Creates a folder of its own for the run.
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
        // What can't be removed is left to the system's own cleaning.
        if std::env::var_os(KEEP_VARIABLE).is_none() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Returns a loopback address that no other run of this machine uses.
///
/// Daemons listen on fixed ports, each on an address of its own, so that a
/// replacement gets the address of the daemon that it replaces.
pub fn loopback_address(run: u16, daemon: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let mixed = pid.wrapping_mul(0x9e37_79b1).wrapping_add(u32::from(run));
    let second = u8::try_from(1 + (mixed >> 8) % 250).expect("below 251");
    let third = u8::try_from(mixed % 256).expect("below 256");
    Ipv4Addr::new(127, second, third, daemon + 1)
}
