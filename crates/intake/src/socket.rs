//! A client's byte stream that tells the intake what is read and written.

use super::*;

/// A client's byte stream. While its client reads no answer, nothing more is read from it.
#[derive(Debug)]
pub struct Socket<S> {
    connection: Arc<Connection>,
    /// Whether the last write waits for the client.
    blocked: bool,
    inner: S,
    /// The reader to wake once the client reads again.
    reader: Option<Waker>,
    /// Bytes read since the connection was opened, up to `WIDE_AFTER_BYTES`.
    read: usize,
}

/// Bytes read from a connection beyond which its read buffer is larger than at first.
const WIDE_AFTER_BYTES: usize = 8 << 10;
/// What a read buffer takes beyond that, in bytes. Parts of it may be held while it is replaced by a larger one.
const WIDE_BYTES: usize = 40 << 10;

impl<S> Socket<S> {
    /// Returns the stream of a connection.
    pub fn new(inner: S, connection: Arc<Connection>) -> Self {
        Self { connection, blocked: false, inner, reader: None, read: 0 }
    }

    /// Records that `bytes` were read.
    fn received(&mut self, bytes: usize) -> io::Result<()> {
        self.connection.received();
        let was_wide = self.read > WIDE_AFTER_BYTES;
        self.read = (self.read + bytes).min(WIDE_AFTER_BYTES + 1);
        if !was_wide && self.read > WIDE_AFTER_BYTES {
            self.connection.grow(WIDE_BYTES)?;
        }
        Ok(())
    }

    /// Records the result of a write, and lets the reader go on once the client reads again.
    fn written(&mut self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.blocked = poll.is_pending();
        self.connection.sent(self.blocked);
        if !self.blocked
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
        poll
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.blocked {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut self.inner).poll_read(cx, buffer) {
            Poll::Ready(Ok(())) => match buffer.filled().len() - before {
                0 => Poll::Ready(Ok(())),
                read => Poll::Ready(self.received(read)),
            },
            poll => poll,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.written(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.written(poll)
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
