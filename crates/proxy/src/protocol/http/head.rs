//! The head of an HTTP message: the start line and the headers.

/// Prefix of the HTTP version in a start line. All versions 1.x are accepted.
const VERSION_PREFIX: &str = "HTTP/1.";

/// The head of an HTTP message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// Request line or status line (RFC 9112, sections 3 and 4).
    pub start_line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first header with this name, which has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the status code of a response, or `None` if this is not the head of a response.
    pub fn status(&self) -> Option<u16> {
        let version_and_status = self.start_line.strip_prefix(VERSION_PREFIX)?;
        version_and_status.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the method and the target of a request, or `None` if this is not the head of a
    /// request.
    pub fn method_and_target(&self) -> Option<(&str, &str)> {
        let mut words = self.start_line.split(' ');
        let method = words.next()?;
        let target = words.next()?;
        let version = words.next()?;
        let is_request_line = version.starts_with(VERSION_PREFIX) && words.next().is_none();
        is_request_line.then_some((method, target))
    }

    /// Returns whether the sender keeps the connection open after this message (RFC 9112, section
    /// 9.3).
    pub fn keeps_connection_open(&self) -> bool {
        if self.start_line.contains("HTTP/1.0") {
            self.has_connection_option("keep-alive")
        } else {
            !self.has_connection_option("close")
        }
    }

    /// Returns the number of bytes allocated for the start line and the headers.
    pub fn allocated_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.capacity() + value.capacity());
        self.start_line.capacity() + headers.sum::<usize>()
    }

    fn has_connection_option(&self, option: &str) -> bool {
        self.header("connection")
            .unwrap_or("")
            .split(',')
            .any(|known| known.trim().eq_ignore_ascii_case(option))
    }
}
