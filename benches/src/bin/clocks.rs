//! Prints the encoded sizes of counters that can order events between nodes: store revisions,
//! per-owner counters and vector clocks.

use serde::Serialize;

/// Configuration changes per day; each increments the revision.
const CHANGES_A_DAY: u64 = 24_000;
/// Days of operation that the counters have counted.
const DAYS: u64 = 365;
/// Ordered messages between nodes, per owner and second: one health lease for each probe.
const ORDERED_MESSAGES_PER_SECOND: u64 = 1;

/// Counters in a health lease: the owner's fencing number and the group's incarnation.
#[derive(Serialize)]
struct OwnerCounter {
    fencing_number: u64,
    incarnation: u64,
}

fn main() {
    let count = CHANGES_A_DAY * DAYS;
    let revision = size(&count);
    let owner = size(&OwnerCounter { fencing_number: count / 100, incarnation: count / 100 });
    println!("store revision: {revision} bytes; per-owner counters: {owner} bytes");
    println!("nodes  whole vector  changed entries only (1, a tenth, all)  bytes/s whole");
    for nodes in [7_u64, 350] {
        let per_node = count / nodes;
        let whole = size(&vec![per_node; nodes as usize]);
        let sparse = |changed: u64| size(&vec![(nodes - 1, per_node); changed as usize]);
        println!(
            "{nodes:>5}  {whole:>6} bytes  {} / {} / {} bytes  {}",
            sparse(1),
            sparse(nodes.div_ceil(10)),
            sparse(nodes),
            whole as u64 * ORDERED_MESSAGES_PER_SECOND * nodes,
        );
    }
}

fn size<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).expect("integers serialize to postcard").len()
}
