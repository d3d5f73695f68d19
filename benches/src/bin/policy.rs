//! Prints the results of the policy next to those of a naive baseline.

use bpaf::Bpaf;
use mangocross_benches::policy::Case;
use mangocross_benches::policy::CaseOutcome;
use mangocross_benches::policy::Comparison;
use mangocross_benches::policy::User;
use mangocross_benches::policy::compare;

/// Compares the policy with a naive version over the same seeded faults.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON
    json: bool,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(20))]
    seeds: u64,
    /// One case only
    #[bpaf(argument("NAME"))]
    case: Option<Case>,
}

fn main() {
    let options = options().run();
    let cases = options.case.map_or_else(|| Case::ALL.to_vec(), |it| vec![it]);
    let runs = cases.iter().flat_map(|case| User::ALL.map(|user| (*case, user)));
    let comparisons: Vec<Comparison> =
        runs.map(|(case, user)| compare(case, user, options.seeds)).collect();
    if options.json {
        let text =
            serde_json::to_string_pretty(&comparisons).expect("comparisons serialize to JSON");
        println!("{text}");
        return;
    }
    print_table(&comparisons, options.seeds);
}

fn print_table(comparisons: &[Comparison], seeds: u64) {
    println!("means over {seeds} seeds, with the smallest and the largest");
    for it in comparisons {
        println!();
        println!(
            "{} at {}'s weights (downtime {}, stranded {}): downtime and slow service {:.2}, stranded {:.2} of naive",
            it.case,
            it.user,
            it.weight_group_downtime,
            it.weight_stranded_accelerator,
            it.downtime_ratio(),
            it.stranded_ratio(),
        );
        println!(
            "  over the {} seeds under which both place all groups: {:.2}, stranded {:.2}",
            it.all_placed.seeds, it.all_placed.downtime_ratio, it.all_placed.stranded_ratio,
        );
        print_outcome("naive", &it.naive);
        print_outcome("project", &it.project);
        print_outcome("no events", &it.without_events);
    }
}

fn print_outcome(name: &str, it: &CaseOutcome) {
    println!(
        "  {name:<9} group downtime {:>7.0} s ({:.0}..{:.0})  slow {:>6.0} s  stranded {:>9.0} acc-s ({:.0}..{:.0})  moves {:>5.1}",
        it.group_downtime_s.mean,
        it.group_downtime_s.min,
        it.group_downtime_s.max,
        it.slow_s.mean,
        it.stranded_accelerator_s.mean,
        it.stranded_accelerator_s.min,
        it.stranded_accelerator_s.max,
        it.moves.mean,
    );
    println!(
        "           first token p50 {:>4.0} ms, p95 {:>5.0} ms ({:.0}..{:.0})  cached {:.3}  within 1.6 s {:.3} of admitted, {:.3} of asked  refused tries {:.0} large {:.0} small  given up {:.0}  failed {:.1}  retries {:.1}",
        it.first_token_p50_ms.mean,
        it.first_token_p95_ms.mean,
        it.first_token_p95_ms.min,
        it.first_token_p95_ms.max,
        it.cached_share.mean,
        it.first_token_kept_share.mean,
        it.good_share.mean,
        it.refused_large.mean,
        it.refused_small.mean,
        it.given_up.mean,
        it.failed.mean,
        it.retries.mean,
    );
    let rows = it.first_tokens.iter().map(|it| {
        format!("{} {} {}/{} ms {:.2}", it.class, it.kind, it.p50_ms, it.p95_ms, it.good_share)
    });
    println!("           p50/p95, within 1.6 s of asked: {}", rows.collect::<Vec<_>>().join(" | "));
}
