//! Integration tests that run the operator tools as processes.

mod check;
mod check_agrees;
mod examples;
mod fake_nodes;
mod operations_page;
mod promises;
mod request;
mod status;
mod timeline;
mod tool;
