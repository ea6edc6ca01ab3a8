//! What the tests of the codecs share: feeding a parser with input that is split anywhere.

use edge_proxy::protocol::{Parser, ProtocolError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fmt::Debug;

/// A configuration with a fixed seed: every run tries the same cases.
pub fn seeded_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x11ae),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// All items that a parser yields for input that arrives split at these places, or the error that
/// ends them.
///
/// A place beyond the input counts modulo its length, so that any number will do.
pub fn parse_all<P: Parser>(
    mut parser: P,
    input: &[u8],
    splits: &[usize],
) -> Result<Vec<P::Item>, ProtocolError> {
    let mut items = Vec::new();
    for fragment in fragments(input, splits) {
        let mut rest = fragment;
        loop {
            let (consumed, item) = parser.parse(rest)?;
            rest = &rest[consumed..];
            let Some(item) = item else {
                assert!(rest.is_empty(), "without an item all input is consumed");
                break;
            };
            items.push(item);
        }
    }
    Ok(items)
}

fn fragments<'a>(input: &'a [u8], splits: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = splits.iter().map(|split| place(*split, input)).collect();
    places.extend([0, input.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|bounds| &input[bounds[0]..bounds[1]])
        .collect()
}

fn place(split: usize, input: &[u8]) -> usize {
    split % (input.len() + 1)
}

/// Asserts that valid input yields the same items whole and split, and that garbage, alone or in
/// the midst of valid input, yields items or an error, never a panic.
///
/// `normalize` removes differences between the items that may come from the splits alone.
pub fn assert_robust<P: Parser>(
    new_parser: impl Fn() -> P,
    valid: &[u8],
    splits: &[usize],
    garbage: &[u8],
    normalize: impl Fn(Vec<P::Item>) -> Vec<P::Item>,
) where
    P::Item: Debug + PartialEq,
{
    let whole = parse_all(new_parser(), valid, &[]).map(&normalize);
    assert!(
        whole.as_ref().is_ok_and(|items| !items.is_empty()),
        "{whole:?}"
    );
    assert_eq!(
        parse_all(new_parser(), valid, splits).map(&normalize),
        whole
    );
    let position = splits.first().map_or(0, |split| place(*split, valid));
    let corrupted = [&valid[..position], garbage, &valid[position..]].concat();
    let _ = parse_all(new_parser(), garbage, splits);
    let _ = parse_all(new_parser(), &corrupted, splits);
}
