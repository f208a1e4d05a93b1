//! A TCP stream that can be silenced.

use super::*;

/// A TCP stream that can be silenced: writes then succeed without sending, reads and shutdowns
/// never complete. Its connection counts as open until the stream is dropped.
pub(crate) struct StreamGuard {
    connections: connections::Connections,
    inner: StraightStream<TcpStream>,
    peer: SocketAddr,
}

impl StreamGuard {
    pub(crate) fn new(
        connections: connections::Connections,
        inner: StraightStream<TcpStream>,
        peer: SocketAddr,
    ) -> Self {
        Self { connections, inner, peer }
    }
}

impl AsyncRead for StreamGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        if self.connections.is_silent(self.peer) {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        if self.connections.is_silent(self.peer) {
            buffer.set_filled(before);
            return Poll::Pending;
        }
        poll
    }
}

impl AsyncWrite for StreamGuard {
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        if self.connections.is_silent(self.peer) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        if self.connections.is_silent(self.peer) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connections.is_silent(self.peer) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.connections.close(self.peer);
    }
}
