//! Runs a tool and captures its output.

use std::process::Command;

/// Exit code and output of a finished tool.
pub struct ToolOutput {
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program and waits for it to exit.
pub fn run(program: &str, args: &[&str]) -> ToolOutput {
    let output = Command::new(program).args(args).output().unwrap();
    ToolOutput {
        exit_code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

impl ToolOutput {
    /// Parses standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap()
    }
}
