//! Checks that the example deployments are valid and match their documentation.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use celeryknot_settings::{DaemonSettings, ValueText, check_tree};

struct Deployment {
    name: &'static str,
    daemons: usize,
    zones: &'static [&'static str],
    services: &'static [&'static str],
    customers: usize,
}

const DEPLOYMENTS: &[Deployment] = &[
    Deployment {
        name: "kinrin-wakai",
        daemons: 9,
        zones: &["hkd-a", "hkd-b", "hkd-c"],
        services: &["case-svc", "wakai-llm"],
        customers: 10,
    },
    Deployment {
        name: "quayline",
        daemons: 8,
        zones: &["changamwe", "kilindini", "likoni", "shimanzi"],
        services: &["draft-engine", "roster-desk"],
        customers: 10,
    },
];

fn folder(deployment: &Deployment) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment.name)
}

fn list_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(list_files(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

fn read_values(deployment: &Deployment) -> Vec<ValueText> {
    let root = folder(deployment).join("values");
    list_files(&root)
        .iter()
        .map(|file| ValueText {
            path: file
                .strip_prefix(&root)
                .unwrap()
                .to_str()
                .unwrap()
                .to_owned(),
            text: std::fs::read_to_string(file).unwrap(),
        })
        .collect()
}

fn names_in(values: &[ValueText], subtree: &str) -> BTreeSet<String> {
    values
        .iter()
        .filter_map(|value| value.path.rsplit_once('/'))
        .filter(|(folder, _)| folder.ends_with(subtree))
        .map(|(_, name)| name.to_owned())
        .collect()
}

#[test]
fn values_are_valid_and_complete() {
    for deployment in DEPLOYMENTS {
        let values = read_values(deployment);
        assert_eq!(check_tree(&values), [], "{}", deployment.name);
        let to_set = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let zones: BTreeSet<String> = to_set(deployment.zones);
        let services: BTreeSet<String> = to_set(deployment.services);
        assert_eq!(names_in(&values, "/zones"), zones, "{}", deployment.name);
        assert_eq!(
            names_in(&values, "/services"),
            services,
            "{}",
            deployment.name
        );
        let customers = names_in(&values, "/customers").len();
        assert_eq!(customers, deployment.customers, "{}", deployment.name);
    }
}

#[test]
fn daemon_files_are_valid_and_have_unique_names_and_addresses() {
    for deployment in DEPLOYMENTS {
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for file in list_files(&folder(deployment).join("daemons")) {
            let text = std::fs::read_to_string(&file).unwrap();
            let settings = DaemonSettings::parse(&text)
                .unwrap_or_else(|findings| panic!("{}: {findings:#?}", file.display()));
            assert!(
                deployment.zones.contains(&settings.zone.as_str()),
                "{}",
                file.display()
            );
            names.insert(settings.name);
            addresses.insert(settings.callers_address);
        }
        assert_eq!(names.len(), deployment.daemons, "{}", deployment.name);
        assert_eq!(addresses.len(), deployment.daemons, "{}", deployment.name);
    }
}
