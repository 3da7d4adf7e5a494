use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a connection. Linux holds up to twice as much, and up to 6 MiB without a size.
const RECEIVE_BYTES: u32 = 32 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener whose connections keep to the charge for what the kernel has received.
///
/// # Errors
///
/// Fails like binding a socket does.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
