//! Filters of the packets that a socket receives, as classic BPF programs.

use std::net::Ipv4Addr;
use std::os::fd::AsFd;

use eyre::WrapErr;
use socket2::{SockFilter, SockRef};

/// Loads four bytes at an absolute offset.
const LOAD_WORD: u16 = 0x20;
/// Skips instructions depending on whether the loaded value equals a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Returns the number of bytes of the packet that pass.
const RETURN: u16 = 0x06;

/// Offset of the IPv4 source address; the base stands for the network header.
const SOURCE_OFFSET: u32 = NETWORK_HEADER + 12;
const NETWORK_HEADER: u32 = 0xfff0_0000;

const ALL_BYTES: u32 = u32::MAX;

/// Returns a program that drops the packets from these addresses; an empty one for none.
pub(super) fn dropping(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    if sources.is_empty() {
        return Vec::new();
    }
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for source in sources {
        // Falls through to a drop if equal, and skips it otherwise.
        program.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, u32::from(*source)));
        program.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    program.push(SockFilter::new(RETURN, 0, 0, ALL_BYTES));
    program
}

/// Sets the program of a socket; an empty one removes it.
pub(super) fn set(socket: &impl AsFd, program: &[SockFilter]) -> eyre::Result<()> {
    let socket = SockRef::from(socket);
    if program.is_empty() {
        // A socket without a program reports an error, and needs nothing.
        drop(socket.detach_filter());
        return Ok(());
    }
    socket
        .attach_filter(program)
        .wrap_err("cannot filter packets")
}
