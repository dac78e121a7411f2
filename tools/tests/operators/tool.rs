//! Runs one of the tools and keeps what it said.

use std::process::Command;

/// What a finished tool left.
pub struct ToolOutput {
    /// Exit code.
    pub exit_code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs a program to its end.
pub fn run(program: &str, args: &[&str]) -> ToolOutput {
    let output = Command::new(program).args(args).output().unwrap();
    ToolOutput {
        exit_code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

impl ToolOutput {
    /// Standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap()
    }
}
