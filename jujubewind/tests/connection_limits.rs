//! How many connections a server keeps.

use jujubewind::http::ConnectionLimits;
use jujubewind::memory::ProcessMemory;
use jujubewind::types::Bytes;

const MEBIBYTE: u64 = 1 << 20;
const HEAD: Bytes = Bytes(16 * 1_024);

fn limits(memory: u64, descriptors: u64) -> ConnectionLimits {
    ConnectionLimits {
        memory: ProcessMemory(memory * MEBIBYTE).connections(),
        descriptors,
    }
}

#[test]
fn connections_take_a_share_of_the_memory() {
    let most = [160, 192, 260].map(|memory| limits(memory, 2_018).most(HEAD));

    assert_eq!(most, [640, 768, 1_040]);
}

#[test]
fn larger_heads_allow_fewer_connections() {
    let most = limits(160, 2_018).most(Bytes(64 * 1_024));

    assert_eq!(most, 365);
}

#[test]
fn descriptors_bound_connections_too() {
    let most = limits(512, 2_018).most(HEAD);

    assert_eq!(most, 2_018);
}

#[test]
fn some_connections_are_kept_on_the_smallest_machine() {
    let most = limits(1, 0).most(HEAD);

    assert_eq!(most, 16);
}
