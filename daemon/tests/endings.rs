//! The instants in which something ends while something is still owed. Each test forces the bad order: the loop
//! is held, or a puppet waits, until all that is to cross has happened.

mod rig;

use linnetknot_daemon::wire::fastcgi::{self, kind};
use linnetknot_rehearse::clients::WebServer;
use linnetknot_rehearse::puppet::Puppet;
use rig::{object, Rig};
use std::io::ErrorKind;

const MINUTE_US: u64 = 60_000_000;

/// Whether a client's connection was ended by a close, not by a reset.
fn is_closed(web: &mut WebServer) -> bool {
    web.end().is_err_and(|e| e.kind() == ErrorKind::UnexpectedEof)
}

#[test]
fn a_client_that_does_not_keep_its_connection_gets_its_answer_and_then_the_end() {
    let puppet = Puppet::start().unwrap();
    let rig = Rig::puppet(&puppet, |_| {}, |limits| limits.client_idle_us = MINUTE_US);
    let mut web = rig.web();
    let id = object(0x77);
    let once = id.repeat(2);
    let fields = [
        ("HTTP_REQUEST_ID", id.as_str()),
        ("HTTP_RESOURCE_KEY", &id),
        ("HTTP_BUDGET_MS", "60000"),
        ("HTTP_ONCE_KEY", &once),
    ];
    let mut request = WebServer::request(1, "/invoke/post", &fields, b"");
    let mut begin = Vec::new();
    fastcgi::write_record(&mut begin, kind::BEGIN, 1, &[0, 1, 0, 0, 0, 0, 0, 0]);
    request.splice(..begin.len(), begin);
    web.send(&request).unwrap();
    let mut line = puppet.line().unwrap();
    let open = line.frame().unwrap();
    line.answer(&open.id, "200", "how=local,made=1,etag=t1", "all of it").unwrap();
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    assert!(is_closed(&mut web), "it waits for nothing but the end");
    rig.stop();
}
