use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use super::{Limits, Port};

/// Receive buffer of a connection. Linux holds up to twice as much, and up to 6 MiB without a size.
pub(super) const RECEIVE_BYTES: u32 = 32 << 10;

/// Send buffer of a connection. Linux holds up to twice as much, and up to 4 MiB without a size.
const SEND_BYTES: u32 = 32 << 10;

/// Binds the listener of a port, whose connections keep to the charge for what the kernel has
/// received, also while they wait to be accepted, and whose answers are bounded likewise.
///
/// # Errors
///
/// Fails like binding a socket does.
pub fn listen(address: SocketAddr, port: Port, limits: &Limits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.bind(address)?;
    let backlog = limits.backlog_of(port);
    socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
}
