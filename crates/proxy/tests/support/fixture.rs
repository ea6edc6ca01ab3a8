//! A daemon on loopback with stand-ins around it, whose loop a test can hold while it arranges what comes next.
#![allow(dead_code)]

use edge_proxy::config::Config;
use edge_proxy::event_loop::{ControlHandle, EventLoop};
use edge_proxy::limits::Limits;
use edge_testkit::fake_cache::FakeCacheServer;
use edge_testkit::fake_event_bus::{cache_entry, origin_entry, FakeEventBus};
use edge_testkit::fastcgi_client::FastCgiClient;
use edge_testkit::sample_settings;
use edge_testkit::scripted_server::ScriptedServer;
use edge_testkit::Response;
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// What the loop waits for where a test holds it: it says that it is held, and goes on when the sender is gone.
type Gate = Arc<Mutex<Option<(Sender<()>, Receiver<()>)>>>;

/// A daemon, and what stands around it.
pub struct Rig {
    pub front: SocketAddr,
    pub cdni: SocketAddr,
    pub control: ControlHandle,
    /// What the daemon reads on SIGHUP.
    pub file: Arc<Mutex<Value>>,
    pub run: JoinHandle<std::io::Result<()>>,
    pub bus: FakeEventBus,
    pub boxes: Vec<FakeCacheServer>,
    pub origin: FakeCacheServer,
    gate: Gate,
}

/// The daemon's loop stands still until this is dropped.
pub struct Held(#[allow(unused)] Sender<()>);

pub const READY: &str = "ready";

impl Rig {
    pub fn start() -> Rig {
        Rig::with(&["s-0a"], |_| {})
    }

    pub fn with(boxes: &[&'static str], change: impl Fn(&mut Value)) -> Rig {
        Rig::bounded(boxes, change, |_| {})
    }

    /// With a puppet in the place of the only box and of the origin.
    pub fn puppet(
        puppet: &ScriptedServer,
        change: impl Fn(&mut Value),
        bound: impl Fn(&mut Limits),
    ) -> Rig {
        let place = |config: &mut Value| {
            let targets = config["known"]["batch"][0]["topology"]["targets"]
                .as_array_mut()
                .unwrap();
            targets
                .iter_mut()
                .for_each(|target| target["endpoint"] = puppet.address.to_string().into());
            change(config);
        };
        Rig::bounded(&["s-0a"], place, bound)
    }

    /// With other limits than those that fit the machine: so that no test waits for, or races with, a time-out.
    pub fn bounded(
        boxes: &[&'static str],
        change: impl Fn(&mut Value),
        bound: impl Fn(&mut Limits),
    ) -> Rig {
        let bus = FakeEventBus::start().unwrap();
        let boxes: Vec<FakeCacheServer> = boxes
            .iter()
            .map(|uid| FakeCacheServer::start(uid).unwrap())
            .collect();
        let origin = FakeCacheServer::start("s-0f").unwrap();
        let mut list: Vec<Value> = boxes.iter().map(|b| cache_entry(b, READY)).collect();
        list.push(origin_entry(&origin, READY));
        let known = json!({"offset": 0, "batch": [
            {"offset": 0, "topology": {"rev": 1, "all": true, "targets": list}},
        ]});
        let mut config = json!({
            "listen": "127.0.0.1:0", "bus": bus.address.to_string(), "known": known, "settings": sample_settings(),
            "limits": {"memory_mb": 192, "sockets": 256},
        });
        change(&mut config);
        let (consul, purges) = (config["consul"].take(), config["purges"].take());
        let file = Arc::new(Mutex::new(config));
        let (gate, source) = (Gate::default(), file.clone());
        let gated = gate.clone();
        let read = move || {
            let held = gated.lock().unwrap().take();
            if let Some((held, go_on)) = held {
                held.send(()).unwrap();
                assert!(go_on.recv().is_err(), "nothing is ever sent");
            }
            Config::from_json(&source.lock().unwrap())
        };
        let mut config = read().unwrap();
        bound(&mut config.limits);
        let cdni = json!({"cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": "http://cdn.example",
            "footprint": ["127.0.0.0/8"], "neighbours": [], "purges": purges}, "consul": consul});
        config.apply_interconnect(&cdni).unwrap();
        // A daemon stays on the thread that started it.
        let (tell, told) = channel();
        let run = std::thread::spawn(move || {
            let mut daemon = EventLoop::start(config, Box::new(read)).unwrap();
            let addresses = (daemon.address().unwrap(), daemon.cdni_address().unwrap());
            tell.send((addresses, daemon.control().unwrap())).unwrap();
            daemon.run()
        });
        let ((front, cdni), control) = told.recv().unwrap();
        Rig {
            front,
            cdni,
            control,
            file,
            run,
            bus,
            boxes,
            origin,
            gate,
        }
    }

    pub fn web(&self) -> FastCgiClient {
        FastCgiClient::connect(self.front).unwrap()
    }

    /// Holds the daemon's loop: what happens until it is let go is seen by it at once, in the order in which it
    /// happened.
    pub fn hold(&mut self) -> Held {
        let ((held, is_held), (go_on, goes_on)) = (channel(), channel());
        *self.gate.lock().unwrap() = Some((held, goes_on));
        self.control.reload().unwrap();
        is_held.recv().unwrap();
        Held(go_on)
    }

    /// Has it end as by SIGTERM, and waits until the grace after it is over: one that rests is ended then.
    pub fn end_grace(&mut self) {
        let mut resting = self.web();
        resting
            .send(&FastCgiClient::encode_request(1, "/_health", &[], b""))
            .unwrap();
        resting.next_response().unwrap();
        self.control.stop().unwrap();
        assert_eq!(
            resting.next_response().unwrap_err().kind(),
            ErrorKind::UnexpectedEof
        );
    }

    /// Stops the daemon, which must end well.
    pub fn stop(mut self) {
        self.control.stop().unwrap();
        self.run.join().unwrap().unwrap();
    }
}

/// Asks for one object and waits for the answer.
pub fn one(web: &mut FastCgiClient, class: &str, object: &str) -> Response {
    web.request_object(1, class, object, 2500).unwrap();
    web.next_response().unwrap().1.expect("an answer")
}

pub fn object(n: u64) -> String {
    format!("{n:016x}")
}
