//! A client: a web server of the front that speaks FastCGI 1.0.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request for a part of an object.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub object: String,
    pub part: u64,
    pub group: u64,
    pub budget_ms: u64,
    pub size_kb: f64,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// Status 429 or 503, or the protocol status OVERLOADED.
    Refused,
    /// Any other status.
    Failed(String),
    /// The connection ended, or the time was over, without a whole answer.
    None(String),
}

impl Answer {
    pub fn is_final(&self) -> bool {
        !matches!(self, Answer::None(_))
    }
}

fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let (id, length) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    out.extend([1, kind, id[0], id[1], length[0], length[1], 0, 0]);
    out.extend_from_slice(content);
}

fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for text in [name, value] {
        match text.len() {
            short @ 0..=127 => out.push(short as u8),
            long => out.extend((long as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// Encodes a request with KEEP_CONN under a FastCGI number.
pub fn encode(number: u16, script: &str, fields: &[(&str, String)]) -> Vec<u8> {
    encode_with(number, script, fields, &[])
}

/// Encodes a request with a further parameter, a header of the end user's request: `HTTP_REFERER`
/// with this value, if it is not empty.
pub fn encode_with(
    number: u16,
    script: &str,
    fields: &[(&str, String)],
    referer: &[u8],
) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, 1, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut params = Vec::new();
    pair(&mut params, "REQUEST_METHOD", "GET");
    pair(&mut params, "SCRIPT_NAME", script);
    for (name, value) in fields {
        pair(&mut params, name, value);
    }
    if !referer.is_empty() {
        let name = b"HTTP_REFERER";
        params.extend([name.len() as u8, referer.len() as u8]);
        params.extend_from_slice(name);
        params.extend_from_slice(referer);
    }
    record(&mut out, 4, number, &params);
    record(&mut out, 4, number, &[]);
    record(&mut out, 5, number, &[]);
    out
}

impl Request {
    pub fn encode(&self, number: u16) -> Vec<u8> {
        self.encode_with(number, b"")
    }

    /// Encodes the request with a body.
    pub fn encode_with_body(&self, number: u16, body: &[u8]) -> Vec<u8> {
        let mut out = self.encode(number);
        // The empty STDIN record at the end comes behind the body.
        out.truncate(out.len() - 8);
        for piece in body.chunks(60_000) {
            record(&mut out, 5, number, piece);
        }
        record(&mut out, 5, number, &[]);
        out
    }

    /// Encodes the request with a header of the end user's request, `Referer`.
    pub fn encode_with(&self, number: u16, referer: &[u8]) -> Vec<u8> {
        let fields = [
            ("HTTP_REQUEST_ID", self.id.clone()),
            ("HTTP_BUDGET_MS", self.budget_ms.to_string()),
            ("HTTP_RESOURCE_KEY", self.object.clone()),
            ("HTTP_X_PIECE", self.part.to_string()),
            ("HTTP_X_LOT", self.group.to_string()),
            ("HTTP_FOOTPRINT_KB", format!("{:.1}", self.size_kb)),
        ];
        encode_with(number, &format!("/invoke/{}", self.class), &fields, referer)
    }
}

/// A connection to a proxy.
pub struct Client {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    streams: HashMap<u16, Vec<u8>>,
    /// Answers that came while another one was waited for.
    answers: HashMap<u16, Answer>,
    next: u16,
}

impl Client {
    pub fn connect(address: &str) -> std::io::Result<Client> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        Ok(Client {
            socket,
            buffer: Vec::new(),
            streams: HashMap::new(),
            answers: HashMap::new(),
            next: 1,
        })
    }

    /// Whether the proxy has ended the connection, which has no open request.
    pub fn is_ended(&self) -> bool {
        let mut byte = [0; 1];
        let _ = self.socket.set_nonblocking(true);
        let seen = self.socket.peek(&mut byte);
        let _ = self.socket.set_nonblocking(false);
        match seen {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// A new FastCGI number.
    pub fn number(&mut self) -> u16 {
        let number = self.next;
        self.next = if self.next >= 60_000 {
            1
        } else {
            self.next + 1
        };
        number
    }

    /// Sends a request and waits for its answer, for its time and 600 ms more.
    pub fn ask(&mut self, request: &Request) -> Answer {
        let number = self.number();
        if let Err(error) = self.socket.write_all(&request.encode(number)) {
            return Answer::None(format!("the request could not be written: {error}"));
        }
        self.wait(number, Duration::from_millis(request.budget_ms + 600))
    }

    /// Waits for the answer to the request with this number.
    pub fn wait(&mut self, number: u16, time: Duration) -> Answer {
        let deadline = Instant::now() + time;
        loop {
            if let Some(answer) = self.take_answer(number) {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::None("no answer in time".into());
            }
            let _ = self
                .socket
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut bytes = [0; 16384];
            match self.socket.read(&mut bytes) {
                Ok(0) => return Answer::None("the connection ended".into()),
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Answer::None(format!("the connection broke: {e}")),
            }
        }
    }

    /// Waits for the answer to the request with this number, and reads no faster than the client's
    /// link carries.
    pub fn wait_at_pace(&mut self, number: u16, time: Duration, bytes_per_s: usize) -> Answer {
        let deadline = Instant::now() + time;
        let mut bytes = vec![0; bytes_per_s / 100];
        loop {
            if let Some(answer) = self.take_answer(number) {
                return answer;
            }
            if Instant::now() >= deadline {
                return Answer::None("no answer in time".into());
            }
            std::thread::sleep(Duration::from_millis(10));
            let _ = self
                .socket
                .set_read_timeout(Some(Duration::from_millis(10)));
            match self.socket.read(&mut bytes) {
                Ok(0) => return Answer::None("the connection ended".into()),
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Answer::None(format!("the connection broke: {e}")),
            }
        }
    }

    fn take_answer(&mut self, wanted: u16) -> Option<Answer> {
        while self.buffer.len() >= 8 {
            let length = usize::from(u16::from_be_bytes([self.buffer[4], self.buffer[5]]));
            let total = 8 + length + usize::from(self.buffer[6]);
            if self.buffer.len() < total {
                break;
            }
            let bytes: Vec<u8> = self.buffer.drain(..total).collect();
            let number = u16::from_be_bytes([bytes[2], bytes[3]]);
            let content = &bytes[8..8 + length];
            match bytes[1] {
                6 => self
                    .streams
                    .entry(number)
                    .or_default()
                    .extend_from_slice(content),
                3 => {
                    let stream = self.streams.remove(&number).unwrap_or_default();
                    let status = content.get(4).copied().unwrap_or(0);
                    self.answers.insert(number, read_answer(&stream, status));
                }
                _ => {}
            }
        }
        self.answers.remove(&wanted)
    }
}

fn read_answer(stream: &[u8], protocol_status: u8) -> Answer {
    if protocol_status == 2 {
        return Answer::Refused;
    }
    let end = stream.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(end) = end else {
        return Answer::None("an answer that can't be read".into());
    };
    let head = String::from_utf8_lossy(&stream[..end]);
    let status = head
        .lines()
        .find_map(|line| line.strip_prefix("Status: "))
        .unwrap_or("");
    match status.get(..3) {
        Some("200") => Answer::Served(stream[end + 4..].to_vec()),
        Some("429" | "503") => Answer::Refused,
        _ => Answer::Failed(status.to_owned()),
    }
}

/// Whether a health check on a new connection is answered with status 200.
pub fn health(address: &str) -> bool {
    let Ok(mut client) = Client::connect(address) else {
        return false;
    };
    let number = client.number();
    if client
        .socket
        .write_all(&encode(number, "/_health", &[]))
        .is_err()
    {
        return false;
    }
    matches!(
        client.wait(number, Duration::from_millis(500)),
        Answer::Served(_)
    )
}

/// A small source of random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}
