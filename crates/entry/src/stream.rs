//! The byte stream of a caller's connection, which the process can close.

use super::*;
use {
    clients::Clients,
    oleanderstage_intake::{Connection, Socket},
    salvo::conn::StraightStream,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
    tokio_util::sync::WaitForCancellationFutureOwned,
};

/// The byte stream of a caller's connection. Reading and writing fail once the process has to close it.
pub(crate) struct Stream {
    clients: Clients,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    connection: Arc<Connection>,
    from: SocketAddr,
    inner: Socket<StraightStream<TcpStream>>,
}

impl Stream {
    pub(crate) fn new(
        inner: StraightStream<TcpStream>,
        clients: Clients,
        connection: Arc<Connection>,
        from: SocketAddr,
    ) -> Self {
        let closed = Box::pin(connection.closer().cancelled_owned());
        let inner = Socket::new(inner, connection.clone());
        Self { clients, closed, connection, from, inner }
    }

    /// Returns an error once the connection has to be closed, and wakes the task then.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.clients.close(self.from, &self.connection);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
