//! Processes of the program under test, including its stand-ins.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal};

/// The program under test.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_sycamorestile");

/// A running process, killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// JSON line that the process printed once it was ready.
    pub(crate) ready: serde_json::Value,
}

impl Process {
    /// Starts the program and waits for its JSON line.
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        let command = command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.stderr(Stdio::inherit()).spawn().expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints a line");
        let ready = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{args:?} printed {line:?}: {e}"));
        Self { child, ready }
    }

    /// Returns the address under `key` in the JSON line.
    pub(crate) fn addr(&self, key: &str) -> String {
        let addr = self.ready[key].as_str();
        addr.unwrap_or_else(|| panic!("no {key} in {}", self.ready)).to_owned()
    }

    /// Returns the addresses in the JSON line of a stand-in.
    pub(crate) fn addrs(&self) -> Vec<String> {
        let list = self.ready["addrs"].as_array().expect("stand-ins print addrs");
        list.iter()
            .map(|addr| addr.as_str().expect("the address is a string").to_owned())
            .collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the signal is delivered");
    }

    /// Sends SIGTERM, which drains the process.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process with SIGSTOP.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a frozen process with SIGCONT.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("a killed process exits");
    }

    /// Waits until the process exits on its own.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }

    /// Returns the resident memory of the process, in kilobytes.
    pub(crate) fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the process runs");
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .expect("the status has a resident size");
        line.split_whitespace()
            .nth(1)
            .expect("the line has a value")
            .parse()
            .expect("the value is a number")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Runs the program until it exits.
pub(crate) fn run(args: &[&str]) -> std::process::Output {
    Command::new(PROGRAM).args(args).output().expect("the program runs")
}
