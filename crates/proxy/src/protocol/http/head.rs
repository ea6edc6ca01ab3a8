//! The head of a message: its start line and its headers.

/// What the version in a start line begins with.
const VERSION_PREFIX: &str = "HTTP/1.";

/// A message's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The start line: a request line or a status line (RFC 9112, sections 3 and 4).
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header of a name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(known, _)| known == name)?;
        Some(value)
    }

    /// The status code of a response; none if this is not the head of a response.
    pub fn status(&self) -> Option<u16> {
        let version_and_status = self.start.strip_prefix(VERSION_PREFIX)?;
        version_and_status.split(' ').nth(1)?.parse().ok()
    }

    /// Method and target of a request; none if this is not the head of a request.
    pub fn request(&self) -> Option<(&str, &str)> {
        let mut words = self.start.split(' ');
        let method = words.next()?;
        let target = words.next()?;
        let version = words.next()?;
        let is_request_line = version.starts_with(VERSION_PREFIX) && words.next().is_none();
        is_request_line.then_some((method, target))
    }

    /// Whether the sender keeps the connection open after the message (RFC 9112, section 9.3).
    pub fn keeps_open(&self) -> bool {
        if self.start.contains("HTTP/1.0") {
            self.has_connection_option("keep-alive")
        } else {
            !self.has_connection_option("close")
        }
    }

    fn has_connection_option(&self, option: &str) -> bool {
        self.header("connection")
            .unwrap_or("")
            .split(',')
            .any(|known| known.trim().eq_ignore_ascii_case(option))
    }
}
