//! Measures the slopes behind docs/CAPACITY.md on the real code and prints them.
//!
//! `cargo run --release --example capacity > docs/capacity.txt`
//!
//! `wire`, `zone` or `largest` (the largest zone alone) as an argument prints one part. Processor time is that of threads,
//! not of the wall clock, yet a busy machine still disturbs caches: run it on a quiet one.

use std::error::Error;

mod cpu;
mod wire;
mod zone;

use zone::Zone;

/// A fifth of 330 instances.
const ZONE_INSTANCES: usize = 66;
/// A fifth of 600 replicas.
const ZONE_REPLICAS: usize = 120;
/// 5,100 requests a second over 330 instances.
const RATE_PER_INSTANCE: f64 = 15.5;

fn main() -> Result<(), Box<dyn Error>> {
    let part = std::env::args().nth(1);
    let wanted = |name: &str| part.as_deref().is_none_or(|p| p == name);
    let largest = part.as_deref() == Some("largest");
    if largest {
        let zone = Zone::new(ZONE_INSTANCES, ZONE_REPLICAS);
        println!("{}\n{}", zone::HEADING, zone.measure(RATE_PER_INSTANCE)?);
    }
    if wanted("wire") {
        wire::print()?;
    }
    if wanted("zone") {
        for organisations in [100, 4_300, 7_100] {
            let bytes = zone::table_bytes(organisations);
            println!("table of {organisations} organisations, one key each: {bytes} bytes");
        }
        println!("\nzone: real instances in one process, HTTP and jsonrpsee over loopback");
        println!("{}", zone::HEADING);
        let alone = Zone::new(1, ZONE_REPLICAS);
        for rate in [RATE_PER_INSTANCE, 500.0] {
            println!("{}", alone.measure(rate)?);
        }
        for instances in [8, 16, 33, 44] {
            let replicas = (ZONE_REPLICAS * instances / ZONE_INSTANCES).max(zone::SERVICES);
            println!(
                "{}",
                Zone::new(instances, replicas).measure(RATE_PER_INSTANCE)?
            );
        }
    }
    Ok(())
}
