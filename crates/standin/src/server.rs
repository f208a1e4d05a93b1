//! The HTTP server of a stand-in.

use super::*;

/// The HTTP server of a stand-in. Stopping it closes every connection at once.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) connections: connections::Connections,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Listens at `address`. Connections beyond `limit` are marked as excess.
    pub(crate) async fn start(
        address: SocketAddr,
        limit: usize,
        connections: connections::Connections,
        handler: impl Handler,
    ) -> Result<Self, Error> {
        let to_error = |cause| Error { address, cause };
        let listener = tokio::net::TcpListener::bind(address).await.map_err(to_error)?;
        let address = listener.local_addr().map_err(to_error)?;
        let inner = TcpAcceptor::try_from(listener).map_err(to_error)?;
        let acceptor = acceptor::Acceptor { connections: connections.clone(), inner, limit };
        let router = salvo::Router::with_path("{**path}").goal(handler);
        let task = tokio::spawn(salvo::Server::new(acceptor).serve(Service::new(router)));
        Ok(Self { address, connections, task: Mutex::new(Some(task)) })
    }

    /// Stops listening and closes every connection.
    pub(crate) async fn stop(&self) {
        let task = lock(&self.task).take();
        if let Some(task) = task {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
    }
}
