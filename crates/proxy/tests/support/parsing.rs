//! Helpers for tests of the codecs, which feed a parser with input split at arbitrary offsets.

use edge_proxy::protocol::{Parser, ProtocolError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fmt::Debug;

/// Returns a configuration with a fixed seed, so that every run tries the same cases.
pub fn seeded_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x11ae),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns all items that a parser yields for input split at the offsets in `splits`, or the error
/// that ends parsing.
///
/// Offsets are reduced modulo the input length plus one, so that any number is a valid offset.
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
                assert!(
                    rest.is_empty(),
                    "the parser yielded no item but left {} bytes of input",
                    rest.len()
                );
                break;
            };
            items.push(item);
        }
    }
    Ok(items)
}

/// Returns the fragments between the given offsets of `input`.
fn fragments<'a>(input: &'a [u8], splits: &[usize]) -> Vec<&'a [u8]> {
    let mut offsets: Vec<usize> = splits
        .iter()
        .map(|split| offset_in(*split, input))
        .collect();
    offsets.extend([0, input.len()]);
    offsets.sort_unstable();
    offsets
        .windows(2)
        .map(|bounds| &input[bounds[0]..bounds[1]])
        .collect()
}

/// Reduces an arbitrary number to an offset within `input`, its end included.
fn offset_in(split: usize, input: &[u8]) -> usize {
    split % (input.len() + 1)
}

/// Asserts that valid input yields the same items whole and split, and that garbage, alone or
/// inserted into valid input, yields items or an error but no panic.
///
/// `normalize` removes differences between items that depend only on where the input is split.
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
        "valid input yielded an error or no items: {whole:?}"
    );
    assert_eq!(
        parse_all(new_parser(), valid, splits).map(&normalize),
        whole,
        "input split at {splits:?} yields other items than whole input"
    );
    let position = splits.first().map_or(0, |split| offset_in(*split, valid));
    let corrupted = [&valid[..position], garbage, &valid[position..]].concat();
    let _ = parse_all(new_parser(), garbage, splits);
    let _ = parse_all(new_parser(), &corrupted, splits);
}
