//! Tests of `sycamore-node` processes: command line, signals, log output and admin endpoints.

mod admin;
mod command_line;
mod configured;
mod late_requests;
mod process;
