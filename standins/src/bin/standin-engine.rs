//! Stand-in for the platform.

fn main() {}
