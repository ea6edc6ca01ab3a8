//! Clients that send garbage, half requests, floods and far too much, and go.

use crate::deployment::class;
use crate::world::object_key;
use edge_proxy::protocol::fastcgi::{self, record_type};
use edge_testkit::fastcgi_client::FastCgiClient;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Requests of one flood.
const FLOOD: u16 = 200;
/// How long a bad client waits for what it is owed.
const PATIENCE: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(20);

/// Plays bad clients, one after the other, for as long as `goes_on` says.
pub async fn play(address: SocketAddr, mut random: fastrand::Rng, goes_on: impl Fn() -> bool) {
    while goes_on() {
        let kind = random.u32(0..6);
        // Whatever comes of it: only the ordinary clients are judged.
        let _ = timeout(PATIENCE, misbehave(address, kind, &mut random)).await;
        sleep(PAUSE).await;
    }
}

async fn misbehave(address: SocketAddr, kind: u32, random: &mut fastrand::Rng) -> io::Result<()> {
    let mut socket = TcpStream::connect(address).await?;
    let request = encode_request(1, random.u64(..));
    match kind {
        0 => {
            let garbage: Vec<u8> = (0..300).map(|_| random.u8(..)).collect();
            socket.write_all(&garbage).await?;
        }
        1 => {
            let part = random.usize(1..request.len());
            socket.write_all(&request[..part]).await?;
        }
        2 => {
            for stream in 1..=FLOOD {
                let request = encode_request(stream, random.u64(..));
                socket.write_all(&request).await?;
            }
        }
        3 => {
            for stream in 1..=FLOOD {
                let mut bytes = encode_request(stream, random.u64(..));
                fastcgi::write_record(&mut bytes, record_type::ABORT_REQUEST, stream, &[]);
                socket.write_all(&bytes).await?;
            }
        }
        4 => {
            let begin = &request[..16];
            socket.write_all(begin).await?;
            let endless = [b'x'; 8_000];
            for _ in 0..20 {
                let mut bytes = Vec::new();
                fastcgi::write_record(&mut bytes, record_type::PARAMS, 1, &endless);
                socket.write_all(&bytes).await?;
            }
        }
        _ => return socket.set_zero_linger(),
    }
    let mut chunk = [0; 4_096];
    while socket.read(&mut chunk).await? > 0 {}
    Ok(())
}

fn encode_request(stream: u16, id: u64) -> Vec<u8> {
    let (id, key) = (format!("{id:016x}"), object_key(id % 1_000));
    let params = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_BUDGET_MS", "300"),
        ("HTTP_RESOURCE_KEY", &key),
        ("HTTP_FOOTPRINT_KB", "1"),
    ];
    let path = format!("/invoke/{}", class::READ);
    FastCgiClient::encode_request(stream, &path, &params, b"")
}
