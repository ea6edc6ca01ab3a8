//! Simulates misbehaving FastCGI clients, which send garbage, incomplete requests, floods of
//! requests or oversized parameters, or reset their connections.

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

/// The number of requests in a flood.
const FLOOD_REQUESTS: u16 = 200;
/// How long a misbehaving client stays connected.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
const PAUSE_BETWEEN_CLIENTS: Duration = Duration::from_millis(20);

/// Runs misbehaving clients one after the other while `is_active` returns true.
pub async fn run_clients(
    address: SocketAddr,
    mut random: fastrand::Rng,
    is_active: impl Fn() -> bool,
) {
    while is_active() {
        let misbehavior = random.u32(0..6);
        // The result is ignored, because the rules apply only to the clients in `crate::client`.
        let _ = timeout(CLIENT_TIMEOUT, misbehave(address, misbehavior, &mut random)).await;
        sleep(PAUSE_BETWEEN_CLIENTS).await;
    }
}

async fn misbehave(
    address: SocketAddr,
    misbehavior: u32,
    random: &mut fastrand::Rng,
) -> io::Result<()> {
    let mut socket = TcpStream::connect(address).await?;
    let request = encode_request(1, random.u64(..));
    match misbehavior {
        // Garbage instead of records.
        0 => {
            let garbage: Vec<u8> = (0..300).map(|_| random.u8(..)).collect();
            socket.write_all(&garbage).await?;
        }
        // An incomplete request.
        1 => {
            let sent_bytes = random.usize(1..request.len());
            socket.write_all(&request[..sent_bytes]).await?;
        }
        // A flood of requests.
        2 => {
            for stream in 1..=FLOOD_REQUESTS {
                let request = encode_request(stream, random.u64(..));
                socket.write_all(&request).await?;
            }
        }
        // A flood of requests that are cancelled at once.
        3 => {
            for stream in 1..=FLOOD_REQUESTS {
                let mut bytes = encode_request(stream, random.u64(..));
                fastcgi::write_record(&mut bytes, record_type::ABORT_REQUEST, stream, &[]);
                socket.write_all(&bytes).await?;
            }
        }
        // Parameters that do not end.
        4 => {
            let begin_record = &request[..16];
            socket.write_all(begin_record).await?;
            let oversized_params = [b'x'; 8_000];
            for _ in 0..20 {
                let mut bytes = Vec::new();
                fastcgi::write_record(&mut bytes, record_type::PARAMS, 1, &oversized_params);
                socket.write_all(&bytes).await?;
            }
        }
        // A connection that is reset without a request.
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
