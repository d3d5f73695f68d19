//! The search for a server: each history of events ends well, and known ones step by step.

mod histories;
mod steps;
