//! Decoders of what the users' platform sends, and the boundary around them.

use std::path::Path;

use catalog::{EndpointState, RetrySafety, RolloutState, RolloutStatus};
use platform::{
    DecodeError, Prompt, decode_catalog, decode_endpoint, decode_order, decode_status,
    encode_status, header_names,
};
use proptest::prelude::*;

use crate::util::gateway_harness::configuration;

const ENDPOINT: &str = r#"{"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":17}"#;

#[test]
fn endpoint_is_decoded_by_what_its_fields_hold() {
    let announced = decode_endpoint("e1", ENDPOINT.as_bytes()).unwrap();
    assert_eq!(announced.count, 4);
    assert_eq!(announced.endpoint.born_ms, 17);
    assert_eq!(announced.endpoint.failure_domain, "a");
    assert_eq!(announced.endpoint.state, EndpointState::Ready);
}

#[test]
fn record_of_another_writer_names_no_endpoint() {
    for (from, to) in [
        ("\"slots\":64", "\"slots\":\"64\""),
        ("\"state\":\"ready\"", "\"state\":\"asleep\""),
        ("\"born\":17", "\"born\":1.5"),
        ("\"addr\":\"10.0.0.9:80\"", "\"addr\":\"nowhere\""),
        ("\"service\":\"s\",", ""),
        ("\"zone\":\"a\"", "\"zone\":null"),
        ("{", "["),
    ] {
        let text = ENDPOINT.replacen(from, to, 1);
        assert!(decode_endpoint("e1", text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn configuration_is_decoded_and_what_is_broken_left_out() {
    let text = configuration(3).replace("\"kind\":\"unsafe\"", "\"kind\":\"odd\"");
    let catalog = decode_catalog(text.as_bytes()).unwrap();
    assert_eq!(catalog.version, 3);
    assert_eq!(catalog.routes.len(), 2, "the odd one is left out");
    assert_eq!(catalog.routes[1].retry_safety, RetrySafety::ResumableStream);
    assert_eq!(catalog.limits.body_max_bytes, 1_000);
    assert_eq!(catalog.team_by_key("key-b").unwrap().priority, Some(1));
    assert!(catalog.route("H.example", "/safe/x").is_some());
    assert!(catalog.route("h.example", "/safely").is_none());
    let none = decode_catalog(b"{}");
    assert_eq!(none.unwrap_err(), DecodeError::InvalidField("version"));
}

#[test]
fn longest_prefix_wins() {
    let text = configuration(1).replace("/once/", "/safe/deep/");
    let catalog = decode_catalog(text.as_bytes()).unwrap();
    let named = |path| &catalog.route("h.example", path).unwrap().name;
    assert_eq!(named("/safe/deep/x"), "once");
    assert_eq!(named("/safe/de/x"), "safe");
}

#[test]
fn orders_and_status_are_decoded() {
    let order =
        decode_order(br#"{"service":"s","target":"v2","over_s":1.5}"#, 9).unwrap();
    assert_eq!((order.within_ms, order.offset), (1_500, 9));
    for state in [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ] {
        let status = RolloutStatus {
            state,
            target: "v2".to_owned(),
        };
        assert_eq!(decode_status(&encode_status(&status)).unwrap(), status);
    }
}

#[test]
fn prompt_is_read_from_headers() {
    let names = header_names();
    let mut headers = http::HeaderMap::new();
    headers.insert(&names.tokens, "1460,80".parse().unwrap());
    headers.insert(
        &names.prompt,
        "5c1e07a2:800,91bd3f06:410,x:1".parse().unwrap(),
    );
    let prompt = Prompt::from_headers(&headers, &names);
    assert_eq!((prompt.tokens_in, prompt.tokens_out), (1_460, 80));
    assert_eq!(prompt.parts.len(), 2, "what is malformed is not said");
}

proptest! {
    #[test]
    fn decoders_take_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_catalog(&bytes);
        let _ = decode_endpoint("e", &bytes);
        let _ = decode_order(&bytes, 0);
        let _ = decode_status(&bytes);
    }

    #[test]
    fn decoders_take_any_change_of_a_record(at in 0..ENDPOINT.len(), byte in any::<u8>()) {
        let mut bytes = ENDPOINT.as_bytes().to_vec();
        bytes[at] = byte;
        let _ = decode_endpoint("e", &bytes);
    }
}

/// Names that only the platform uses; its crate alone may know them.
const WIRE_NAMES: &[&str] = &[
    "x-server-seal",
    "x-not-executed",
    "x-target-instance",
    "x-tenant",
    "x-token-usage",
    "x-prompt-prefix",
    "x-confidence",
    "kv-fetch",
    "log-append",
    "log-read",
    "log-newest",
    "cold_left_ms",
    "api_keys",
    "gap_aim_ms",
    "slo_ms",
    "over_s",
    "keyed.",
];

fn sources(dir: &Path, found: &mut Vec<std::path::PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder of the sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn nothing_outside_the_adapter_knows_the_platforms_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    sources(&root.join("crates"), &mut found);
    for path in found {
        let shown = path.display().to_string();
        // The stand-ins speak the platform's side of the wire.
        if shown.contains("crates/standin") {
            continue;
        }
        let text = std::fs::read_to_string(&path)
            .expect("a source")
            .to_lowercase();
        for name in WIRE_NAMES {
            let quoted = format!("\"{name}");
            assert!(!text.contains(&quoted), "{shown} names {name}");
        }
    }
}

#[test]
fn adapter_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    sources(&root.join("platform"), &mut found);
    let lines: usize = found
        .iter()
        .map(|path| {
            std::fs::read_to_string(path)
                .expect("a source")
                .lines()
                .count()
        })
        .sum();
    assert!(lines < 1_500, "{lines}");
}
