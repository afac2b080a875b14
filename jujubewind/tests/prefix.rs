//! Hashes of a prompt's blocks, and the marks: the sample of them that identifies its prefixes.

use jujubewind::prefix::BLOCK;
use jujubewind::prefix::BYTES_PER_TOKEN;
use jujubewind::prefix::block_hashes;
use jujubewind::prefix::cached_length;
use jujubewind::prefix::marks;
use jujubewind::types::Tokens;

fn text(blocks: u64, letter: &str) -> String {
    let size = usize::try_from(blocks * BLOCK.get() * BYTES_PER_TOKEN).expect("it fits");
    letter.repeat(size)
}

#[test]
fn equal_prefixes_have_equal_hashes_up_to_the_first_difference() {
    let short = block_hashes(&text(3, "a"));
    let long = block_hashes(&(text(3, "a") + &text(2, "b")));
    let other = block_hashes(&(text(2, "a") + &text(3, "b")));

    assert_eq!(short[..], long[..3]);
    assert_eq!(long[..2], other[..2]);
    assert_ne!(long[2..], other[2..]);
}

#[test]
fn a_million_tokens_have_few_marks_with_one_near_the_end_of_every_prefix() {
    let blocks: Vec<u64> = (0..1_000_000 / BLOCK.get()).collect();

    let marks = marks(&blocks);

    assert!(marks.len() <= 48, "{} marks", marks.len());
    for held in 1..=blocks.len() as u64 {
        let estimate = cached_length(&marks, |mark| mark < held).get();
        let actual = held * BLOCK.get();
        assert!(estimate <= actual, "{estimate} of {actual}");
        assert!(
            actual - estimate <= (estimate / 4).max(BLOCK.get()),
            "{estimate} of {actual}"
        );
    }
}

#[test]
fn nothing_is_cached_if_the_first_block_is_missing() {
    let blocks: Vec<u64> = (0..100).collect();

    let estimate = cached_length(&marks(&blocks), |mark| mark > 0);

    assert_eq!(estimate, Tokens::ZERO);
}
