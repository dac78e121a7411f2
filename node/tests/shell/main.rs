//! The shell of a node over real processes: command line, signals, log lines, operators' port.

mod admin;
mod command_line;
mod configured;
mod process;
