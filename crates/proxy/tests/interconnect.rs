//! The interconnect interface (CDNI) for peer CDNs.

use edge_testkit::http_client::{exchange, request};
use edge_testkit::proxy_fixture::ProxyFixture;
use edge_testkit::sample_deployment::{
    content_url, interconnect_path, object_key, PEER_PROVIDER, PROXY_PROVIDER,
};
use edge_testkit::Response;
use serde_json::{json, Value};

const TRIGGERS_PATH: &str = "/cdni/triggers";
const REDIRECTION_PATH: &str = "/cdni/redirect";

/// Posts a JSON document to the interconnect listener.
fn post(proxy: &ProxyFixture, path: &str, body: &Value) -> Response {
    let address = proxy.interconnect_address;
    request(address, "POST", path, &body.to_string()).unwrap()
}

/// Gets a resource from the interconnect listener.
fn get(proxy: &ProxyFixture, path: &str) -> Response {
    request(proxy.interconnect_address, "GET", path, "").unwrap()
}

fn json_body(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap()
}

/// Returns the trigger command of a peer CDN.
fn trigger(action: &str, selector: &str, value: &str) -> Value {
    json!({"trigger": {"type": action, selector: [value]}, "cdn-path": [PEER_PROVIDER]})
}

/// Posts a trigger, and checks its status resource from creation through reading to deletion.
fn check_trigger(
    proxy: &ProxyFixture,
    command: &Value,
    expected_status: &str,
    expected_error: Option<&str>,
) {
    let created = post(proxy, TRIGGERS_PATH, command);
    assert_eq!(created.status, 201, "{command}");
    let status = json_body(&created);
    assert_eq!(
        status["status"].as_str(),
        Some(expected_status),
        "{command}"
    );
    let error = status["errors"][0]["error"].as_str();
    assert_eq!(error, expected_error, "{command}");

    let status_path = interconnect_path(created.header("location").unwrap()).unwrap();
    assert_eq!(get(proxy, status_path).body, created.body);
    let deleted = request(proxy.interconnect_address, "DELETE", status_path, "").unwrap();
    assert_eq!(deleted.status, 204);
    assert_eq!(get(proxy, status_path).status, 404);
}

/// Requests the redirection of a client and returns the response. The CDN path names `provider`
/// alone.
fn redirect(proxy: &ProxyFixture, http: Value, provider: &str) -> Value {
    let body = json!({"http": http, "cdn-path": [provider]});
    json_body(&post(proxy, REDIRECTION_PATH, &body))
}

/// Malformed requests, loops between CDNs, foreign URLs and unsupported triggers must get the
/// status or error code that CDNI specifies, because peer CDNs act on them.
#[test]
fn peers_get_the_statuses_and_errors_of_the_specification() {
    let proxy = ProxyFixture::start();
    let address = proxy.interconnect_address;
    let url = content_url(&object_key(1));

    // Malformed requests.
    assert_eq!(exchange(address, b"what?\r\n\r\n").unwrap().status, 400);
    let wrong_method = request(address, "PUT", TRIGGERS_PATH, "").unwrap();
    assert_eq!(wrong_method.status, 405);
    let without_selector = json!({"trigger": {"type": "purge"}});
    assert_eq!(post(&proxy, TRIGGERS_PATH, &without_selector).status, 400);
    let loop_to_itself = json!({
        "trigger": {"type": "purge", "content.urls": [url]},
        "cdn-path": [PROXY_PROVIDER],
    });
    assert_eq!(post(&proxy, TRIGGERS_PATH, &loop_to_itself).status, 403);

    // Triggers.
    let purge = trigger("purge", "content.urls", &url);
    check_trigger(&proxy, &purge, "complete", None);
    let invalidation = trigger("invalidate", "content.ccid", "17");
    check_trigger(&proxy, &invalidation, "complete", None);
    let foreign_url = trigger("purge", "content.urls", "http://elsewhere.example/x");
    check_trigger(&proxy, &foreign_url, "failed", Some("ereject"));
    let pattern = trigger("purge", "content.patterns", "*");
    check_trigger(&proxy, &pattern, "failed", Some("ereject"));
    let prepositioning = trigger("preposition", "content.urls", &url);
    check_trigger(&proxy, &prepositioning, "failed", Some("ereject"));

    // Redirections.
    let client = |ip: &str| json!({"c-ip": ip, "cs-uri": url, "cs-method": "GET"});
    let redirection = redirect(&proxy, client("127.0.0.1"), PEER_PROVIDER);
    assert_eq!(redirection["http"]["sc-(location)"], format!("{url}/0"));
    let outside_footprint = redirect(&proxy, client("10.0.0.1"), PEER_PROVIDER);
    assert_eq!(outside_footprint["error"]["error-code"], 504);
    let loop_to_itself = redirect(&proxy, client("127.0.0.1"), PROXY_PROVIDER);
    assert_eq!(loop_to_itself["error"]["error-code"], 502);
    let without_client = redirect(&proxy, json!({}), PEER_PROVIDER);
    assert_eq!(without_client["error"]["error-code"], 400);

    // Footprint and unknown content.
    let footprint = String::from_utf8(get(&proxy, "/cdni/footprint").body).unwrap();
    assert!(footprint.contains("127.0.0.0/8"), "{footprint}");
    assert_eq!(get(&proxy, "/content/photo/nothing").status, 404);
    proxy.shut_down();
}

/// A request of a peer CDN must carry its class, part and a trace id to the cache server, and must
/// allow revalidation of the copy that the client already has.
#[test]
fn content_requests_of_peers_are_routed_like_those_of_clients() {
    const TRACE_ID_DIGITS: usize = 16;
    let proxy = ProxyFixture::start();
    let cache = &proxy.caches[0];
    let get_with_headers = |headers: &str| {
        let key = object_key(1);
        let message = format!(
            "GET /content/photo/{key}/3?kb=40 HTTP/1.1\r\n{headers}Connection: close\r\n\r\n"
        );
        exchange(proxy.interconnect_address, message.as_bytes()).unwrap()
    };

    let response = get_with_headers("");
    assert_eq!(response.status, 200);
    assert!(!response.has_surplus_bytes);
    let fetch = cache.wait_for_fetch().unwrap();
    assert_eq!(fetch.field("class"), Some("photo"));
    assert_eq!(fetch.field("part"), Some("3"));
    assert_eq!(fetch.request_id.len(), TRACE_ID_DIGITS);

    let etag = response.header("etag").unwrap();
    get_with_headers(&format!("If-None-Match: {etag}\r\n"));
    let client_copy = etag.trim_matches('"');
    let revalidation = cache.wait_for_command(|command| command.field("have") == Some(client_copy));
    assert!(
        revalidation.is_some(),
        "the cache server was not asked to revalidate the client's copy"
    );
    proxy.shut_down();
}
