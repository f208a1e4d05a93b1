//! A small HTTP/1.1 server and client: one thread a connection.

use {
    crate::json::Json,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

/// A request as a server received it.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    /// The instance that the caller means, if it names one.
    pub instance: String,
    pub body: Json,
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// Nothing more is sent on the channel, which stays open.
    Silence,
    /// The channel is closed.
    Close,
}

impl Call {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// Serves every connection of a listener in the background.
pub fn serve(listener: TcpListener, answer: impl Fn(Call) -> Answer + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(stream, answer));
        }
    });
}

fn serve_connection(stream: TcpStream, answer: impl Fn(Call) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let call = read_call(&mut reader)?;
        match answer(call) {
            Answer::Reply(status, body) => {
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                     Content-Length: {length}\r\n\r\n"
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Answer::Silence => {
                // Ends when the caller closes the channel.
                while reader.read(&mut [0; 512]).ok()? > 0 {}
                return None;
            }
            Answer::Close => return None,
        }
    }
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut instance) = (0, String::new());
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "expect-instance" => instance = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Call {
        method,
        path: path.to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), decoded(value))).collect(),
        instance,
        body: Json::parse(&body).unwrap_or(Json::Null),
    })
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a channel of its own, and returns the status and the body; status 0 without an answer.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> (u16, String) {
    exchange(peer, method, path, body, patience).unwrap_or((0, String::new()))
}

fn exchange(
    peer: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&peer, patience).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.set_nodelay(true).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    Some((status, body))
}
