//! Runs the proxy's event loop and the fakes around it in the process of a test.
//!
//! Most functions panic on errors, because a test would do nothing else with them. A test can pause
//! the event loop, cause several events, and resume the event loop. The proxy then finds all these
//! events at the same time.

use crate::fake_cache::FakeCacheServer;
use crate::fake_event_bus::{cache_entry, endpoint_state, origin_entry, FakeEventBus};
use crate::fastcgi_client::FastCgiClient;
use crate::sample_deployment::{interconnect_config, sample_settings};
use crate::scripted_server::ScriptedServer;
use crate::Response;
use edge_proxy::config::Config;
use edge_proxy::event_loop::{ControlHandle, EventLoop};
use edge_proxy::limits::Limits;
#[cfg(feature = "fault-injection")]
use edge_proxy::sys::fault::FaultInjector;
use serde_json::{json, Value};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// Time budget of a request that is answered immediately or after a short delay.
pub const REQUEST_BUDGET_MS: u64 = 2500;
/// Time budget of a request that must not run out of time during a test.
pub const LONG_BUDGET_MS: u64 = 60_000;
/// Time budget of a request that is meant to run out of time.
pub const SHORT_BUDGET_MS: u64 = 300;
/// A timeout that must not be reached during a test.
pub const LONG_TIMEOUT_US: u64 = 60_000_000;

/// A proxy on loopback and the fakes around it.
pub struct ProxyFixture {
    /// Address on which the proxy accepts FastCGI clients.
    pub fastcgi_address: SocketAddr,
    /// Address on which the proxy accepts peer CDNs.
    pub interconnect_address: SocketAddr,
    /// Stops or reloads the event loop, as signals to the proxy's process do.
    pub control: ControlHandle,
    /// The content of the configuration file that the proxy reads when it reloads.
    pub config_file: Arc<Mutex<Value>>,
    /// The event bus that the proxy subscribes to.
    pub event_bus: FakeEventBus,
    /// The cache servers, in the order of the ids in [`ProxyFixtureBuilder::caches`].
    pub caches: Vec<FakeCacheServer>,
    /// The origin.
    pub origin: FakeCacheServer,
    event_loop: JoinHandle<io::Result<()>>,
    pause_gate: PauseGate,
}

impl ProxyFixture {
    /// Starts a proxy with one cache server and an origin.
    pub fn start() -> Self {
        Self::builder().start()
    }

    /// Returns a builder, whose defaults are those of [`ProxyFixture::start`].
    pub fn builder<'a>() -> ProxyFixtureBuilder<'a> {
        ProxyFixtureBuilder {
            cache_ids: &["s-0a"],
            scripted_server: None,
            change_config: Box::new(|_| {}),
            change_limits: Box::new(|_| {}),
            #[cfg(feature = "fault-injection")]
            faults: None,
        }
    }

    /// Connects a FastCGI client.
    pub fn connect(&self) -> FastCgiClient {
        FastCgiClient::connect(self.fastcgi_address).expect("failed to connect to the proxy")
    }

    /// Pauses the event loop, and returns once it is paused. Requests a reload in which reading the
    /// configuration blocks until the event loop is to resume. The proxy then finds all events of
    /// the pause at the same time.
    pub fn pause(&mut self) -> PausedEventLoop {
        let (paused, is_paused) = channel();
        let (resume, resumed) = channel();
        self.pause_gate
            .request_pause(PauseRequest { paused, resumed });
        self.control.reload().expect("failed to request a reload");
        is_paused
            .recv()
            .expect("event loop ended before it reloaded");
        PausedEventLoop { resume }
    }

    /// Starts a shutdown as SIGTERM does, and waits for the end of the grace period. The end is
    /// recognized by the proxy closing the connection of an idle client.
    pub fn shut_down_past_grace_period(&mut self) {
        let mut idle_client = self.connect();
        health_status(&mut idle_client);
        self.control.stop().expect("failed to request a shutdown");
        let error = idle_client
            .next_response()
            .expect_err("response without a request");
        assert_eq!(error.kind(), ErrorKind::UnexpectedEof);
    }

    /// Shuts the proxy down as SIGTERM does, and waits until it has exited without an error.
    pub fn shut_down(mut self) {
        self.control.stop().expect("failed to request a shutdown");
        self.wait_for_exit();
    }

    /// Waits until a proxy that is shutting down has exited without an error.
    pub fn wait_for_exit(self) {
        let result = self.event_loop.join().expect("event loop panicked");
        result.expect("event loop returned an error");
    }
}

/// A paused event loop, which resumes when this is dropped.
#[must_use = "the event loop resumes when this is dropped"]
pub struct PausedEventLoop {
    resume: Sender<()>,
}

impl PausedEventLoop {
    /// Resumes the event loop.
    pub fn resume(self) {
        drop(self.resume);
    }
}

/// Pauses the event loop while it reads its configuration for a reload.
#[derive(Clone, Default)]
struct PauseGate(Arc<Mutex<Option<PauseRequest>>>);

struct PauseRequest {
    /// Notifies the test that the event loop is paused.
    paused: Sender<()>,
    /// Disconnects when the event loop is to resume. Nothing is ever sent.
    resumed: Receiver<()>,
}

impl PauseGate {
    fn request_pause(&self, request: PauseRequest) {
        *self.0.lock().unwrap() = Some(request);
    }

    fn pause_if_requested(&self) {
        let request = self.0.lock().unwrap().take();
        if let Some(request) = request {
            request.paused.send(()).unwrap();
            assert!(
                request.resumed.recv().is_err(),
                "message on a channel that is only to be disconnected"
            );
        }
    }
}

/// Configures a proxy and the fakes around it.
pub struct ProxyFixtureBuilder<'a> {
    cache_ids: &'a [&'static str],
    scripted_server: Option<&'a ScriptedServer>,
    change_config: Box<dyn FnOnce(&mut Value) + 'a>,
    change_limits: Box<dyn FnOnce(&mut Limits) + 'a>,
    #[cfg(feature = "fault-injection")]
    faults: Option<FaultInjector>,
}

impl<'a> ProxyFixtureBuilder<'a> {
    /// Replaces the default cache server by one for each id.
    pub fn caches(mut self, ids: &'a [&'static str]) -> Self {
        self.cache_ids = ids;
        self
    }

    /// Gives every server in the endpoint list the address of a scripted server.
    pub fn scripted_server(mut self, server: &'a ScriptedServer) -> Self {
        self.scripted_server = Some(server);
        self
    }

    /// Changes the configuration file. The keys `consul` and `purges` belong to the interconnect
    /// file and are moved to it.
    pub fn config(mut self, change: impl FnOnce(&mut Value) + 'a) -> Self {
        self.change_config = Box::new(change);
        self
    }

    /// Changes the limits, which are otherwise derived from the memory and sockets in the
    /// configuration. A test sets a limit so that it is reached soon, or prolongs a timeout so
    /// that it does not expire during the test.
    pub fn limits(mut self, change: impl FnOnce(&mut Limits) + 'a) -> Self {
        self.change_limits = Box::new(change);
        self
    }

    /// Makes system calls of the proxy fail according to a fault plan, from the proxy's start on.
    #[cfg(feature = "fault-injection")]
    pub fn faults(mut self, injector: &FaultInjector) -> Self {
        self.faults = Some(injector.clone());
        self
    }

    /// Returns what the event loop's thread does before it starts the event loop.
    fn thread_setup(&self) -> Box<dyn FnOnce() + Send> {
        #[cfg(feature = "fault-injection")]
        if let Some(injector) = self.faults.clone() {
            return Box::new(move || injector.install());
        }
        Box::new(|| {})
    }

    /// Starts the fakes and the proxy.
    pub fn start(self) -> ProxyFixture {
        let set_up_thread = self.thread_setup();
        let event_bus = FakeEventBus::start().unwrap();
        let caches: Vec<FakeCacheServer> = self
            .cache_ids
            .iter()
            .map(|id| FakeCacheServer::start(id).unwrap())
            .collect();
        let origin = FakeCacheServer::start("s-0f").unwrap();
        let mut config_file = proxy_config(&event_bus, &caches, &origin);
        if let Some(server) = self.scripted_server {
            set_server_addresses(&mut config_file, server.address);
        }
        (self.change_config)(&mut config_file);
        let interconnect_file = interconnect_file(&mut config_file);
        let mut config = Config::from_json(&config_file).unwrap();
        (self.change_limits)(&mut config.limits);
        config.apply_deployment(&interconnect_file).unwrap();

        let config_file = Arc::new(Mutex::new(config_file));
        let pause_gate = PauseGate::default();
        let running = spawn_event_loop(
            config,
            config_file.clone(),
            pause_gate.clone(),
            set_up_thread,
        );
        ProxyFixture {
            fastcgi_address: running.fastcgi_address,
            interconnect_address: running.interconnect_address,
            control: running.control,
            config_file,
            event_bus,
            caches,
            origin,
            event_loop: running.thread,
            pause_gate,
        }
    }
}

/// Returns a configuration file that already contains the endpoint list.
fn proxy_config(
    event_bus: &FakeEventBus,
    caches: &[FakeCacheServer],
    origin: &FakeCacheServer,
) -> Value {
    let mut endpoint_list: Vec<Value> = caches
        .iter()
        .map(|cache| cache_entry(cache, endpoint_state::READY))
        .collect();
    endpoint_list.push(origin_entry(origin, endpoint_state::READY));
    let known_events = json!({"offset": 0, "batch": [
        {"offset": 0, "topology": {"rev": 1, "all": true, "targets": endpoint_list}},
    ]});
    json!({
        "listen": "127.0.0.1:0",
        "bus": event_bus.address.to_string(),
        "known": known_events,
        "settings": sample_settings(),
        "limits": {"memory_mb": 192, "sockets": 256},
    })
}

/// Replaces the address of every server in the configuration's endpoint list.
pub fn set_server_addresses(config: &mut Value, address: SocketAddr) {
    let servers = &mut config["known"]["batch"][0]["topology"]["targets"];
    for server in servers
        .as_array_mut()
        .expect("configuration contains an endpoint list")
    {
        server["endpoint"] = address.to_string().into();
    }
}

/// Returns the interconnect file. Moves the keys `consul` and `purges` to it from the configuration
/// file.
fn interconnect_file(config_file: &mut Value) -> Value {
    let mut interconnect = interconnect_config();
    interconnect["purges"] = config_file["purges"].take();
    json!({"cdni": interconnect, "consul": config_file["consul"].take()})
}

/// An event loop that runs on a thread of its own.
struct RunningEventLoop {
    fastcgi_address: SocketAddr,
    interconnect_address: SocketAddr,
    control: ControlHandle,
    thread: JoinHandle<io::Result<()>>,
}

fn spawn_event_loop(
    config: Config,
    config_file: Arc<Mutex<Value>>,
    pause_gate: PauseGate,
    set_up_thread: Box<dyn FnOnce() + Send>,
) -> RunningEventLoop {
    let reload_config = move || {
        pause_gate.pause_if_requested();
        Config::from_json(&config_file.lock().unwrap())
    };
    let (sender, started) = channel();
    // The event loop must run on the thread on which it was started.
    let thread = thread::spawn(move || {
        set_up_thread();
        let mut event_loop = EventLoop::start(config, Box::new(reload_config)).unwrap();
        let addresses = (
            event_loop.fastcgi_address().unwrap(),
            event_loop.interconnect_address().unwrap(),
        );
        let control = event_loop.control_handle().unwrap();
        sender.send((addresses, control)).unwrap();
        event_loop.run()
    });
    let ((fastcgi_address, interconnect_address), control) =
        started.recv().expect("event loop did not start");
    RunningEventLoop {
        fastcgi_address,
        interconnect_address,
        control,
        thread,
    }
}

/// Requests an object and waits for the response. No other request may be pending on the
/// connection.
#[track_caller]
pub fn fetch_object(client: &mut FastCgiClient, class: &str, object_key: &str) -> Response {
    let request_id = 1;
    client
        .request_object(request_id, class, object_key, REQUEST_BUDGET_MS)
        .unwrap();
    next_response(client).1
}

/// Waits until any request of the connection is answered. Returns its id and its response.
#[track_caller]
pub fn next_response(client: &mut FastCgiClient) -> (u16, Response) {
    let (request_id, response) = client.next_response().unwrap();
    (
        request_id,
        response.expect("request ended without a response"),
    )
}

/// Waits until any request of the connection is answered. Returns its id and the status of its
/// response.
#[track_caller]
pub fn next_status(client: &mut FastCgiClient) -> (u16, u16) {
    let (request_id, response) = next_response(client);
    (request_id, response.status)
}

/// Sends a health check and returns the status of its response. No other request may be pending on
/// the connection.
#[track_caller]
pub fn health_status(client: &mut FastCgiClient) -> u16 {
    client.request_health_check(1).unwrap();
    next_response(client).1.status
}

/// Waits for a response or the end of the connection. Returns whether the proxy closed the
/// connection without a reset and without another response.
pub fn is_closed(client: &mut FastCgiClient) -> bool {
    client
        .next_response()
        .is_err_and(|error| error.kind() == ErrorKind::UnexpectedEof)
}
