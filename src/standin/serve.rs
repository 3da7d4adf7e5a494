use std::future::Future;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Accepts connections and runs a task for each, until dropped, which ends the tasks too.
///
/// `standin` is the name of the server in log lines.
pub(super) async fn serve<F>(
    listener: TcpListener,
    standin: &'static str,
    connection: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream));
                }
                Err(error) => log::warn!("standin={standin} step=accept error={error:?}"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}
