//! Checks docs/CAPACITY.md against the measurements in docs/capacity.json.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use serde::Deserialize;

const BYTES_PER_S_MAX: u64 = 8_192;
const CUSTOMERS: u64 = 11_000;

#[derive(Debug, Deserialize)]
struct Measurement {
    members: u64,
    endpoints: u64,
    settings: u64,
    calm_bytes_per_s: u64,
    calm_bytes_per_s_max: u64,
    churn_bytes_per_s: u64,
    churn_bytes_per_s_max: u64,
    processor_us_per_s: u64,
    resident_bytes: u64,
    settings_latency_ms: u64,
    load_latency_ms: u64,
}

impl Measurement {
    fn row(&self) -> String {
        let cells = [
            self.members,
            self.endpoints,
            self.settings,
            self.calm_bytes_per_s,
            self.calm_bytes_per_s_max,
            self.churn_bytes_per_s,
            self.churn_bytes_per_s_max,
            self.processor_us_per_s,
            self.resident_bytes,
            self.settings_latency_ms,
            self.load_latency_ms,
        ];
        let cells: Vec<String> = cells.iter().map(u64::to_string).collect();
        format!("| {} |", cells.join(" | "))
    }
}

fn docs(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(path).unwrap()
}

fn find(measurements: &[Measurement], members: u64, endpoints: u64, settings: u64) -> &Measurement {
    measurements
        .iter()
        .find(|row| (row.members, row.endpoints, row.settings) == (members, endpoints, settings))
        .unwrap()
}

#[test]
fn capacity_page_matches_the_measurements() {
    let measurements: Vec<Measurement> = serde_json::from_str(&docs("capacity.json")).unwrap();
    let page = docs("CAPACITY.md");
    let full = find(&measurements, 320, 600, 50);
    let few = find(&measurements, 64, 100, 50);
    let many = find(&measurements, 64, 100, 2_000);
    let extra_settings = (many.settings - few.settings) as f64;
    let extra_bytes = (many.resident_bytes - few.resident_bytes) as f64;
    let bytes_per_setting = (extra_bytes / extra_settings).round() as u64;
    let mut expected: Vec<String> = measurements.iter().map(Measurement::row).collect();
    expected.extend([
        format!("{bytes_per_setting} bytes each"),
        format!("{} B/s in churn", full.churn_bytes_per_s_max),
        format!(
            "{} of 8,192 B/s",
            BYTES_PER_S_MAX - full.churn_bytes_per_s_max
        ),
        format!(
            "{:.2} % of a core",
            full.processor_us_per_s as f64 / 10_000.0
        ),
        format!("{} kB measured", full.resident_bytes.div_ceil(1_000)),
        format!("about {} kB", bytes_per_setting * CUSTOMERS / 1_000),
    ]);
    for text in expected {
        assert!(page.contains(&text), "docs/CAPACITY.md lacks `{text}`");
    }
    assert_eq!(
        measurements.len(),
        page.matches("\n| 9 |").count()
            + page.matches("\n| 64 |").count()
            + page.matches("\n| 320 |").count()
    );
}
