//! The response type that both clients return.

/// A response of the proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Vec<u8>,
    /// Whether bytes followed the response that belong to no response.
    pub has_surplus_bytes: bool,
}

impl Response {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The Unix time in milliseconds at which the copy in the body left the fake origin. A
    /// [`FakeCacheServer`](crate::fake_cache::FakeCacheServer) ends its bodies with it.
    pub fn copy_created_at_ms(&self) -> Option<u64> {
        let body = std::str::from_utf8(&self.body).ok()?;
        let (_, created_at_ms) = body.rsplit_once('@')?;
        created_at_ms.parse().ok()
    }
}
