//! Links to boxes: what becomes of attempts when connections end, and of ids that were given up.

use edge_proxy::limits::Limits;
use edge_proxy::net::{BufferedSocket, IoProgress, SlabKey};
use edge_proxy::protocol::resp;
use edge_proxy::request_table::{
    server_id, AttemptId, ClientRequest, Command, ListedServer, RequestTable, ResponseTarget,
};
use edge_proxy::upstream::{UpstreamConnection, UpstreamEvent};
use edge_routing::{Endpoint, EndpointListMode, EndpointState, Outcome, ServerId};
use edge_testkit::sample_settings;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const NOW: u64 = 1_000_000_000;

struct Rig {
    request_table: RequestTable,
    link: UpstreamConnection,
    conn: BufferedSocket,
    far: TcpStream,
    limits: Limits,
    server: ServerId,
    told: Vec<UpstreamEvent>,
    now: u64,
    last: Vec<(String, AttemptId)>,
}

impl Rig {
    fn new(up: bool) -> Rig {
        Rig::to("here", "box", up)
    }

    /// A connection to a box of this kind, up or begun.
    fn to(zone: &str, kind: &str, up: bool) -> Rig {
        let limits = Limits::for_machine(1024, 192);
        let settings = edge_settings::from_json(&sample_settings()).unwrap();
        let mut request_table = RequestTable::new(settings, 1, &limits).unwrap();
        let server = Endpoint {
            id: server_id("a"),
            zone: zone.into(),
            cell: 0,
            kind: kind.into(),
            weight: 8.0,
            state: EndpointState::Ready,
            started: None,
        };
        let entry = ListedServer {
            endpoint: server,
            uid: "a".into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        request_table.update_endpoints(NOW, EndpointListMode::Snapshot, vec![entry]);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Little fits between the two, so that a side which reads nothing shows soon.
        sockopt::set_socket_recv_buffer_size(&listener, 4096).unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        sockopt::set_socket_send_buffer_size(&near, 4096).unwrap();
        let (far, server) = (listener.accept().unwrap().0, server_id("a"));
        let conn = BufferedSocket::new(
            near,
            up,
            limits.input_buffer_bytes,
            limits.output_buffer_bytes,
        )
        .unwrap();
        Rig {
            request_table,
            link: UpstreamConnection::new(server, &limits, NOW),
            conn,
            far,
            limits,
            server,
            told: Vec::new(),
            now: NOW,
            last: Vec::new(),
        }
    }

    fn send(&mut self, id: &str) -> AttemptId {
        self.send_with(id, Vec::new())
    }

    fn send_with(&mut self, id: &str, body: Vec<u8>) -> AttemptId {
        self.send_in(id, body, 0)
    }

    fn send_in(&mut self, id: &str, body: Vec<u8>, group: u64) -> AttemptId {
        let asked = ClientRequest {
            group,
            body,
            id: id.into(),
            class: "photo".into(),
            object: format!("{id}-object"),
            size_kb: 40.0,
            remaining_us: 2_000_000,
            ..ClientRequest::default()
        };
        // The request_table takes no two of one id: the one before is over by now.
        for (_, attempt) in self.last.iter().filter(|(last, _)| last == id) {
            self.request_table
                .client_disconnected(self.now, attempt.request_key);
            self.request_table
                .attempt_ended(self.now, *attempt, Outcome::Cancelled.into());
        }
        self.request_table.take_commands();
        self.request_table
            .admit(
                self.now,
                ResponseTarget {
                    connection: SlabKey::from_u64(0),
                    stream: 0,
                },
                asked,
            )
            .unwrap();
        let attempt = self.pass_on();
        self.last.push((id.to_owned(), attempt));
        attempt
    }

    /// Hands the attempt that the module has sent to the connection.
    fn pass_on(&mut self) -> AttemptId {
        let sent = |c: Command| {
            if let Command::SendAttempt(attempt) = c {
                Some(attempt)
            } else {
                None
            }
        };
        let attempt = self
            .request_table
            .take_commands()
            .into_iter()
            .find_map(sent)
            .unwrap();
        self.link.enqueue(attempt);
        self.pump();
        attempt
    }

    fn room_for(&self, id: &str) -> Option<usize> {
        self.link
            .load_if_available(id, &self.request_table, &self.limits)
    }

    fn pump(&mut self) -> bool {
        self.link.flush(
            self.now,
            &mut self.conn,
            &self.request_table,
            &self.limits,
            &mut self.told,
        )
    }

    fn give_up(&mut self, attempt: AttemptId) {
        assert!(self
            .link
            .cancel(self.now, attempt, &mut self.conn, &mut self.told));
        self.pump();
        self.now += self.limits.cancel_settle_us;
        self.pump();
    }

    /// What reached the other side so far, which is `marks` frames of this word.
    fn reached(&mut self, word: &str, marks: usize) -> String {
        let (mut text, mut bytes) = (String::new(), [0; 4096]);
        while text.matches(word).count() < marks {
            let got = self.far.read(&mut bytes).unwrap();
            text += &String::from_utf8_lossy(&bytes[..got]);
        }
        text
    }

    fn ends(&mut self) -> Vec<(AttemptId, Outcome)> {
        let end = |t| {
            if let UpstreamEvent::AttemptEnded(attempt, ended) = t {
                (attempt, ended.outcome)
            } else {
                panic!("{t:?}")
            }
        };
        self.told.drain(..).map(end).collect()
    }
}

#[test]
fn what_never_arrived_whole_has_not_run_and_what_did_may_have() {
    let mut rig = Rig::new(true);
    let (written, given_up) = (rig.send("01"), rig.send("02"));
    rig.give_up(given_up);
    assert_eq!(
        rig.ends(),
        [(given_up, Outcome::Cancelled)],
        "once the word of it is written"
    );
    rig.conn.connected = false;
    let queued = rig.send("03");
    let mut told = Vec::new();
    rig.link
        .close(rig.conn.connected, rig.conn.bytes_written, &mut told);
    let outcome = |t: &UpstreamEvent| {
        if let UpstreamEvent::AttemptEnded(attempt, e) = t {
            Some((*attempt, e.outcome))
        } else {
            None
        }
    };
    let ends: Vec<_> = told.iter().filter_map(outcome).collect();
    assert_eq!(
        ends,
        [(queued, Outcome::ConnectFailed), (written, Outcome::Reset)]
    );
}

#[test]
fn nothing_is_written_of_what_is_given_up_or_withdrawn_before_the_connection_is_up() {
    let mut rig = Rig::new(false);
    let (given_up, kept, withdrawn) = (rig.send("01"), rig.send("02"), rig.send("03"));
    rig.give_up(given_up);
    assert_eq!(rig.ends(), [(given_up, Outcome::Cancelled)]);
    rig.conn.connected = true;
    rig.pump();
    let text = rig.reached("fetch", 2);
    assert!(
        !text.contains("01-object") && text.contains("02-object") && text.contains("03-object")
    );
    // The list says that the box drains: what still waits for it comes back unsent.
    rig.conn.connected = false;
    let waiting = rig.send("04");
    assert!(rig
        .link
        .drain_server(rig.server, &mut rig.conn, &rig.request_table, &mut rig.told));
    assert_eq!(rig.ends(), [(waiting, Outcome::NotSent)]);
    assert!(![kept, withdrawn].contains(&waiting) && !rig.link.is_idle());
}

#[test]
fn what_was_given_up_is_over_only_once_the_word_of_it_has_had_its_way() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    assert!(rig.link.cancel(NOW, attempt, &mut rig.conn, &mut rig.told));
    rig.pump();
    assert_eq!(
        rig.ends(),
        [],
        "written, but a further attempt might overtake it"
    );
    assert_eq!(
        rig.link.next_cancellation_report(&rig.limits),
        Some(NOW + rig.limits.cancel_settle_us)
    );
    assert_eq!(rig.room_for("01"), None);
    rig.now += rig.limits.cancel_settle_us;
    rig.pump();
    assert_eq!(rig.ends(), [(attempt, Outcome::Cancelled)]);
    // A further attempt here comes behind the word of it, on the same connection.
    assert!(rig.link.cancelled_recently("01") && rig.room_for("01").is_some());
    rig.link
        .forget_old_streams(NOW + rig.limits.stream_memory_us + 1, &rig.limits);
    assert!(!rig.link.cancelled_recently("01"));
}

#[test]
fn a_copy_from_before_a_purge_is_never_passed_on() {
    let mut rig = Rig::new(true);
    rig.request_table
        .purged(NOW, Some("01-object".into()), 0, NOW - 2_000);
    let answered = |rig: &mut Rig, made: u64| {
        let (mut answer, fields) = (Vec::new(), format!("how=local,made={made}"));
        resp::write_array(&mut answer, &[b"01", b"200", fields.as_bytes(), b"x"]);
        rig.far.write_all(&answer).unwrap();
        while rig.conn.read(false) != IoProgress::Advanced {}
        rig.link
            .read(NOW, &mut rig.conn, &rig.request_table, &mut rig.told)
            .unwrap();
        rig.ends()
    };
    let (old, new) = (NOW / 1000 - 100, NOW / 1000);
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, old), [(attempt, Outcome::Error)]);
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, new), [(attempt, Outcome::Ok)]);
    // Behind one that was given up, the answer may be that one's: the further attempt is still out.
    let attempt = rig.send("01");
    rig.give_up(attempt);
    rig.ends();
    let attempt = rig.send("01");
    assert_eq!(answered(&mut rig, old), []);
    assert_eq!(answered(&mut rig, new), [(attempt, Outcome::Ok)]);
}

#[test]
fn a_connection_that_nothing_comes_back_on_takes_no_further_attempts() {
    let mut rig = Rig::new(true);
    let attempt = rig.send("01");
    assert_eq!(rig.room_for("02"), Some(1));
    // Heard last before the attempt was sent: a short silence is a pause, a long one may be the end.
    for (silent_us, room) in [
        (rig.limits.unresponsive_after_us, Some(0)),
        (rig.limits.unresponsive_after_us + 1, None),
    ] {
        rig.link = UpstreamConnection::new(rig.server, &rig.limits, NOW - silent_us);
        rig.link.enqueue(attempt);
        rig.pump();
        rig.give_up(attempt);
        assert_eq!(rig.room_for("02"), room);
    }
}

#[test]
fn requests_of_one_id_never_share_a_connection() {
    for up in [true, false] {
        let mut rig = Rig::new(up);
        rig.send("01");
        assert_eq!(
            (rig.room_for("01"), rig.room_for("02")),
            (None, Some(1)),
            "written: {up}"
        );
    }
}

#[test]
fn an_answer_that_stops_short_ends_its_connection_and_all_on_it_may_have_run() {
    let mut rig = Rig::new(true);
    let attempts = [rig.send("01"), rig.send("02")];
    rig.far
        .write_all(b"*4\r\n$2\r\n01\r\n$3\r\n200\r\n$0\r\n\r\n$9000\r\nbut no mo")
        .unwrap();
    while rig.conn.read(false) != IoProgress::Advanced {}
    rig.link
        .read(NOW, &mut rig.conn, &rig.request_table, &mut rig.told)
        .unwrap();
    assert_eq!(
        rig.link.partial_answer_deadline(&rig.limits),
        Some(NOW + rig.limits.partial_answer_timeout_us)
    );
    rig.now += rig.limits.partial_answer_timeout_us - 1;
    assert!(rig.pump(), "the rest may come yet");
    rig.now += 1;
    assert!(
        !rig.pump(),
        "what comes now would be taken for the rest of it"
    );
    rig.link
        .close(rig.conn.connected, rig.conn.bytes_written, &mut rig.told);
    let outcomes = rig.told.iter().map(|t| {
        if let UpstreamEvent::AttemptEnded(a, e) = t {
            Some((*a, e.outcome))
        } else {
            None
        }
    });
    let ended = attempts.map(|a| Some((a, Outcome::Reset)));
    assert_eq!(outcomes.collect::<Vec<_>>(), ended);
}

#[test]
fn a_connection_reset_when_it_has_just_come_up_is_no_sign_of_a_box_that_is_gone() {
    let mut rig = Rig::new(false);
    let queued = rig.send("01");
    rig.link.close(true, rig.conn.bytes_written, &mut rig.told);
    assert!(
        matches!(&rig.told[..], [UpstreamEvent::AttemptEnded(a, e)] if *a == queued && e.outcome == Outcome::NotSent)
    );
}

#[test]
fn of_what_a_box_does_not_take_nothing_has_begun_that_a_drain_could_still_stop() {
    let mut rig = Rig::new(true);
    // The other side reads nothing: what the sockets between take is all that has begun.
    let (body, mut sent) = (vec![b'.'; 3000], 0);
    while rig.conn.output.is_empty() {
        rig.send_with(&format!("{sent:04}"), body.clone());
        sent += 1;
    }
    (0..20).for_each(|n| {
        rig.send_with(&format!("{:04}", sent + n), body.clone());
    });
    let begun_bytes = rig.conn.bytes_written;
    assert!(rig
        .link
        .drain_server(rig.server, &mut rig.conn, &rig.request_table, &mut rig.told));
    let stopped = rig.ends().len();
    let (mut reached, mut bytes) = (Vec::new(), [0; 65536]);
    while rig.conn.bytes_written > reached.len() as u64 || !rig.conn.output.is_empty() {
        assert!(rig.pump());
        let got = rig.far.read(&mut bytes).unwrap();
        reached.extend_from_slice(&bytes[..got]);
    }
    let at = |text: &[u8]| {
        text.windows(13)
            .filter(|w| w == b"*4\r\n$5\r\nfetch")
            .count()
    };
    assert_eq!(at(&reached) + stopped, sent + 20);
    let begun = usize::try_from(begun_bytes).unwrap();
    assert!(
        at(&reached[begun..]) == 0,
        "{} began after the drain was told",
        at(&reached[begun..])
    );
}

#[test]
fn a_repeat_that_waited_for_its_connection_does_not_begin_behind_its_window() {
    // The window of the settings is 3 s, and the client waits for longer.
    for (fill_ttfb_us, begins) in [(2_900_000, true), (3_000_000, false)] {
        let mut rig = Rig::to("hub", "origin", true);
        let asked = ClientRequest {
            id: "01".into(),
            class: "post".into(),
            object: "01-object".into(),
            once: Some("1".into()),
            remaining_us: 60_000_000,
            ..ClientRequest::default()
        };
        rig.request_table
            .admit(
                NOW,
                ResponseTarget {
                    connection: SlabKey::from_u64(0),
                    stream: 0,
                },
                asked,
            )
            .unwrap();
        let first = rig.pass_on();
        rig.request_table
            .attempt_ended(NOW, first, Outcome::Reset.into());
        rig.link = UpstreamConnection::new(rig.server, &rig.limits, NOW);
        rig.conn.connected = false;
        let repeat = rig.pass_on();
        rig.now += fill_ttfb_us;
        rig.conn.connected = true;
        rig.pump();
        assert_eq!(
            rig.ends(),
            if begins {
                vec![]
            } else {
                vec![(repeat, Outcome::NotSent)]
            },
            "{fill_ttfb_us}"
        );
    }
}

#[test]
fn a_purge_told_while_an_attempt_waits_for_its_connection_bounds_the_age_that_it_asks_for() {
    for (object, group, bounded) in [
        (Some("01-object"), 0, true),
        (None, 7, true),
        (Some("02-object"), 0, false),
        (None, 8, false),
    ] {
        let mut rig = Rig::new(false);
        rig.send_in("01", Vec::new(), 7);
        rig.now += 400_000;
        rig.request_table
            .purged(rig.now, object.map(str::to_owned), group, rig.now - 30_000);
        rig.conn.connected = true;
        rig.pump();
        let text = rig.reached("fetch", 1);
        assert_eq!(
            text.contains("maxage=30"),
            bounded,
            "{object:?} {group}: {text}"
        );
    }
}

#[test]
fn of_what_a_box_does_not_take_nothing_begins_once_it_is_given_up() {
    let mut rig = Rig::new(true);
    let (body, mut sent, mut lying) = (vec![b'.'; 3000], 0, None);
    // The other side reads nothing, until an attempt lies in the ring of which no byte is written.
    while lying.is_none() {
        let before = rig.conn.bytes_written;
        let attempt = rig.send_with(&format!("{sent:04}"), body.clone());
        lying = Some(attempt)
            .filter(|_| rig.conn.bytes_written == before && !rig.conn.output.is_empty());
        sent += 1;
        // One that has begun goes on until the ring is empty again.
        while lying.is_none() && !rig.conn.output.is_empty() {
            assert!(rig.far.read(&mut [0; 64]).is_ok_and(|got| got > 0) && rig.pump());
        }
    }
    let attempt = lying.unwrap();
    assert!(rig
        .link
        .cancel(rig.now, attempt, &mut rig.conn, &mut rig.told));
    assert_eq!(
        rig.ends(),
        [(attempt, Outcome::Cancelled)],
        "at once: no box has seen a byte of it"
    );
    assert!(rig.conn.output.is_empty());
}
