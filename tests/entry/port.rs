use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::Mutex;

/// Ports of test instances. They lie below the range from which Linux takes the ports of outgoing
/// connections (32,768 to 60,999), so that no connection takes a port before its instance does.
const PORTS: Range<u16> = 20_000..32_000;

/// UDP sockets on the ports that this process has taken. Instances use only TCP; the sockets show
/// other test processes that a port is taken, also before its instance has started.
static TAKEN: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns an address for an instance that is about to start. No other test process gets it until
/// this process ends.
pub(crate) fn free_address() -> SocketAddr {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    PORTS
        .map(address)
        .find(|address| take(*address))
        .expect("a free port")
}

/// Takes an address unless it is in use.
fn take(address: SocketAddr) -> bool {
    let Ok(socket) = UdpSocket::bind(address) else {
        return false;
    };
    let is_free = TcpListener::bind(address).is_ok();
    if is_free {
        TAKEN.lock().unwrap().push(socket);
    }
    is_free
}
