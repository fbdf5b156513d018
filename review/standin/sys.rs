//! The few system calls that the standard library has no function for.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

pub const SIGKILL: i32 = 9;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(
        socket: i32,
        level: i32,
        name: i32,
        value: *const i32,
        length: u32,
    ) -> i32;
    fn connect(socket: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: takes two numbers and touches no memory.
    unsafe { kill(pid as i32, number) };
}

/// Size of a client's receive buffer and of its segments, bytes; zero leaves the default.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketSizes {
    pub receive_buffer: i32,
    pub segment: i32,
}

/// Connects with these sizes, which must be set before the handshake.
pub fn connect_with(to: SocketAddr, sizes: SocketSizes) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SockAddrIn {
        family: AF_INET as u16,
        port: to.port().to_be(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are to values that live longer than the calls, with their sizes, and
    // the descriptor is owned by the stream from its creation on.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if sizes.receive_buffer > 0 {
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &sizes.receive_buffer, 4);
        }
        if sizes.segment > 0 {
            setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &sizes.segment, 4);
        }
        let length = std::mem::size_of::<SockAddrIn>() as u32;
        if connect(descriptor, &address, length) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Makes the end of a connection a reset, as that of a process that crashes.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: the pointer is to two numbers that live longer than the call, with their size.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}
