//! The response type of the FastCGI and HTTP clients.

/// A response of the proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers as pairs of name and value. Names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Vec<u8>,
    /// Whether the connection delivered bytes after the end of the response. Always false for a
    /// FastCGI response.
    pub has_surplus_bytes: bool,
}

impl Response {
    /// Returns the value of the header with this name in lower case, or None if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the Unix time in milliseconds at which the copy in the body was created. A
    /// [`FakeCacheServer`](crate::fake_cache::FakeCacheServer) puts this time at the end of each
    /// body. Returns None if the body does not end with a time.
    pub fn copy_created_at_ms(&self) -> Option<u64> {
        let body = std::str::from_utf8(&self.body).ok()?;
        let (_, created_at_ms) = body.rsplit_once('@')?;
        created_at_ms.parse().ok()
    }
}
