//! Runs the servers of `examples/config.json`, two cache servers and an origin, to try out the
//! proxy. Runs until it is stopped.

use edge_testkit::fake_cache::FakeCacheServer;

const SERVERS: [(&str, &str); 3] = [
    ("s-00000001", "127.0.0.1:7001"),
    ("s-00000002", "127.0.0.1:7002"),
    ("s-0000000f", "127.0.0.1:7015"),
];

fn main() -> std::io::Result<()> {
    for (id, address) in SERVERS {
        let server = FakeCacheServer::start_at(id, address)?;
        println!("fake server {} listens on {}", server.id, server.address);
    }
    loop {
        std::thread::park();
    }
}
