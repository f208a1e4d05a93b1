//! A small HTTP/1.1 server, with a thread for each connection, and a client.

use {
    crate::json::Json,
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// A request as it was received.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The header `Expect-Instance`, if it was sent.
    pub expect_instance: Option<String>,
    pub body: Json,
}

impl Request {
    /// Returns a parameter of the query, or an empty text.
    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// The connection stays open and returns nothing further.
    Silence,
}

/// Serves requests on a listener until the process ends.
pub fn serve(listener: TcpListener, answer: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let serve = move || drop(serve_connection(stream, &*answer));
            if thread::Builder::new().stack_size(256 << 10).spawn(serve).is_err() {
                eprintln!("a connection was dropped: no thread");
            }
        }
    });
}

fn serve_connection(stream: TcpStream, answer: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match answer(request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Silence => {
                // Reads on until the peer closes, so that nothing is reset.
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let headers = read_headers(reader)?;
    let mut body = vec![0; headers.length];
    reader.read_exact(&mut body)?;
    let expect_instance = headers.expect_instance;
    let body = Json::parse(&body);
    Ok(Some(Request { method, path: path.to_owned(), query, expect_instance, body }))
}

#[derive(Default)]
struct Headers {
    length: usize,
    expect_instance: Option<String>,
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::default();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        let Some((name, value)) = line.split_once(':') else { continue };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => headers.length = value.trim().parse().unwrap_or(0),
            "expect-instance" => headers.expect_instance = Some(value.trim().to_owned()),
            _ => {}
        }
    }
}

/// Sends a request over a new connection, and returns the status and the body of its answer.
pub fn call(
    peer: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: Option<&Json>,
    timeout: Duration,
) -> io::Result<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&peer, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let body = body.map(ToString::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + &body).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; headers.length];
    reader.read_exact(&mut body)?;
    Ok((status, Json::parse(&body)))
}
