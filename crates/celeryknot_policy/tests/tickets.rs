//! A ticket's call runs at most once under any interleaving of submissions.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{Incarnation, SizeBytes};
use celeryknot_policy::affinity::AffinityValue;
use celeryknot_policy::ticket::{Claim, Ticket, TicketError, TicketRegistry, TicketRegistryLimits};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn keys() -> KeyRing {
    KeyRing::new("a current key of some bytes", None)
}

fn registry(limits: TicketRegistryLimits) -> TicketRegistry<u64> {
    TicketRegistry::new("daemon-1".parse().unwrap(), Incarnation(7), limits)
}

fn issue(registry: &mut TicketRegistry<u64>) -> Ticket {
    registry.issue("otaru".parse().unwrap(), "case-svc".parse().unwrap())
}

#[test]
fn ticket_is_valid_only_in_the_incarnation_that_issued_it() {
    let mut registry = registry(TicketRegistryLimits::default());
    let ticket = issue(&mut registry);
    let mut restarted = TicketRegistry::<u64>::new(
        "daemon-1".parse().unwrap(),
        Incarnation(8),
        TicketRegistryLimits::default(),
    );
    issue(&mut restarted);
    assert_eq!(restarted.claim(&ticket, 1), Claim::Gone);
    let never_issued = Ticket {
        counter: 50,
        ..ticket.clone()
    };
    assert_eq!(registry.claim(&never_issued, 1), Claim::Invalid);
    assert_eq!(registry.claim(&ticket, 1), Claim::Run);
}

#[test]
fn ticket_is_reusable_after_not_run_but_not_after_an_unknown_outcome() {
    let mut registry = registry(TicketRegistryLimits::default());
    let ticket = issue(&mut registry);
    assert_eq!(registry.claim(&ticket, 1), Claim::Run);
    assert!(registry.release_not_run(&ticket));
    assert_eq!(registry.claim(&ticket, 2), Claim::Run);
    assert!(registry.mark_unknown(&ticket));
    assert_eq!(registry.claim(&ticket, 2), Claim::Unknown);
    assert!(!registry.complete(&ticket, 5, SizeBytes(1)));
    assert!(!registry.release_not_run(&ticket));
    assert_eq!(registry.claim(&ticket, 2), Claim::Unknown);
}

#[test]
fn stored_responses_are_limited_in_number_and_size() {
    let limits = TicketRegistryLimits {
        answers_max: 3,
        answers_size_max_bytes: SizeBytes(100),
        ..TicketRegistryLimits::default()
    };
    let mut registry = registry(limits);
    let mut run = |size| {
        let ticket = issue(&mut registry);
        assert_eq!(registry.claim(&ticket, 1), Claim::Run);
        registry.complete(&ticket, 9, SizeBytes(size));
        (ticket, registry.answers(), registry.answers_size())
    };
    let (first, ..) = run(10);
    run(10);
    run(10);
    assert_eq!(run(10).1, 3);
    assert_eq!(run(95).2, SizeBytes(95));
    assert_eq!(run(500).1, 0);
    assert_eq!(registry.claim(&first, 1), Claim::AnswerEvicted);
}

#[test]
fn tickets_with_evicted_state_are_refused() {
    let limits = TicketRegistryLimits {
        tickets_max: 2_048,
        answers_max: 0,
        ..TicketRegistryLimits::default()
    };
    let mut registry = registry(limits);
    let unused = issue(&mut registry);
    let used = issue(&mut registry);
    assert_eq!(registry.claim(&used, 1), Claim::Run);
    registry.complete(&used, 1, SizeBytes(1));
    for _ in 0..10_000 {
        let ticket = issue(&mut registry);
        assert_eq!(registry.claim(&ticket, 1), Claim::Run);
        registry.complete(&ticket, 1, SizeBytes(1));
    }
    assert_eq!(registry.claim(&used, 1), Claim::Gone);
    assert_eq!(registry.claim(&unused, 1), Claim::Gone);
}

#[test]
fn concurrent_calls_are_limited() {
    let mut registry = registry(TicketRegistryLimits {
        in_progress_max: 1,
        ..TicketRegistryLimits::default()
    });
    let (one, other) = (issue(&mut registry), issue(&mut registry));
    assert_eq!(registry.claim(&one, 1), Claim::Run);
    assert_eq!(registry.claim(&other, 1), Claim::Busy);
    registry.complete(&one, 1, SizeBytes(1));
    assert_eq!(registry.claim(&other, 1), Claim::Run);
}

#[test]
fn altered_ticket_text_is_rejected() {
    let mut registry = registry(TicketRegistryLimits::default());
    let ticket = issue(&mut registry);
    let text = ticket.to_text(&keys());
    assert_eq!(Ticket::parse(&text, &keys()), Ok(ticket.clone()));
    assert_eq!(
        Ticket::parse(&format!("\"{text}\""), &keys()),
        Ok(ticket.clone())
    );
    assert!(
        text.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._~".contains(&b))
    );
    for (name, changed) in [
        ("other customer", text.replace("otaru", "otara")),
        ("other service", text.replace("case-svc", "case-svd")),
        ("truncated", text[..text.len() - 1].to_owned()),
        ("longer", format!("{text}0")),
        ("upper case", text.to_uppercase().replacen("T1", "t1", 1)),
    ] {
        assert_eq!(
            Ticket::parse(&changed, &keys()),
            Err(TicketError::Forged),
            "{name}"
        );
    }
    let own_key = "8e03978e-40d5-43e8-bc93-6894a57f9324";
    assert_eq!(
        Ticket::parse(own_key, &keys()),
        Err(TicketError::NotATicket)
    );
    let rotated = KeyRing::new(
        "a newer key of some bytes",
        Some("a current key of some bytes"),
    );
    assert_eq!(Ticket::parse(&text, &rotated), Ok(ticket));
    let without_old_key = KeyRing::new("a newer key of some bytes", None);
    assert_eq!(
        Ticket::parse(&text, &without_old_key),
        Err(TicketError::Forged)
    );
}

#[test]
fn ticket_does_not_parse_as_affinity_value() {
    let mut registry = registry(TicketRegistryLimits::default());
    let ticket = issue(&mut registry).to_text(&keys());
    assert_eq!(AffinityValue::parse(&ticket, &keys()), None);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Issue,
    Submit(usize, u64),
    Complete(usize),
    Release(usize),
    MarkUnknown(usize),
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Issue),
        6 => (0..8usize, 0..2u64).prop_map(|(at, fingerprint)| Step::Submit(at, fingerprint)),
        3 => (0..8usize).prop_map(Step::Complete),
        1 => (0..8usize).prop_map(Step::Release),
        1 => (0..8usize).prop_map(Step::MarkUnknown),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Model {
    Unused,
    Running(u64),
    Ended,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn ticket_runs_at_most_once(steps in proptest::collection::vec(steps(), 0..80), answers_max in 0..4usize) {
        let mut registry = registry(TicketRegistryLimits { answers_max, ..TicketRegistryLimits::default() });
        let mut tickets = Vec::new();
        let mut models: BTreeMap<usize, Model> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Issue => {
                    models.insert(tickets.len(), Model::Unused);
                    tickets.push(issue(&mut registry));
                }
                Step::Submit(at, fingerprint) => {
                    let Some(ticket) = tickets.get(at) else { continue };
                    let claim = registry.claim(ticket, fingerprint);
                    match models[&at] {
                        Model::Unused => {
                            prop_assert_eq!(claim, Claim::Run);
                            models.insert(at, Model::Running(fingerprint));
                        }
                        Model::Running(running) if running == fingerprint => prop_assert_eq!(claim, Claim::InProgress),
                        Model::Running(_) => prop_assert_eq!(claim, Claim::Mismatched),
                        Model::Ended => prop_assert!(!matches!(claim, Claim::Run | Claim::InProgress), "{:?}", claim),
                    }
                }
                Step::Complete(at) => end(&mut registry, &tickets, &mut models, at, Model::Ended, |registry, ticket| registry.complete(ticket, 1, SizeBytes(1)))?,
                Step::Release(at) => end(&mut registry, &tickets, &mut models, at, Model::Unused, TicketRegistry::release_not_run)?,
                Step::MarkUnknown(at) => end(&mut registry, &tickets, &mut models, at, Model::Ended, TicketRegistry::mark_unknown)?,
            }
            prop_assert!(registry.answers() <= answers_max);
        }
    }

    #[test]
    fn unsigned_text_is_rejected(text in "\\PC{0,400}", prefix in prop_oneof![Just("t1~"), Just("a1~"), Just("")]) {
        let text = format!("{prefix}{text}");
        prop_assert!(Ticket::parse(&text, &keys()).is_err());
        prop_assert!(AffinityValue::parse(&text, &keys()).is_none());
    }

    #[test]
    fn signed_random_text_never_panics_and_other_purposes_are_rejected(body in "[a-z0-9~.-]{0,80}") {
        let signed = |purpose: &str, version: &str| {
            let body = format!("{version}~{body}");
            let code = u128::from_be_bytes(keys().sign(purpose, &[body.as_bytes()]));
            format!("{body}~{code:032x}")
        };
        let _ = Ticket::parse(&signed("ticket", "t1"), &keys());
        let _ = AffinityValue::parse(&signed("affinity", "a1"), &keys());
        prop_assert!(Ticket::parse(&signed("affinity", "t1"), &keys()).is_err());
    }
}

fn end(
    registry: &mut TicketRegistry<u64>,
    tickets: &[Ticket],
    models: &mut BTreeMap<usize, Model>,
    at: usize,
    next: Model,
    call: impl Fn(&mut TicketRegistry<u64>, &Ticket) -> bool,
) -> Result<(), TestCaseError> {
    let Some(ticket) = tickets.get(at) else {
        return Ok(());
    };
    let is_running = matches!(models[&at], Model::Running(_));
    prop_assert_eq!(call(registry, ticket), is_running);
    if is_running {
        models.insert(at, next);
    }
    Ok(())
}
