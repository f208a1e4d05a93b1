//! Metrics over statsd.

use super::*;

/// Returns a client that sends to `target` over UDP without blocking; without a target it discards
/// all metrics.
pub fn client(program: &str, target: Option<SocketAddr>) -> io::Result<StatsdClient> {
    let Some(target) = target else {
        return Ok(StatsdClient::from_sink(program, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(target, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(program, sink))
}
