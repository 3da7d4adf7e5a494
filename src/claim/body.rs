use std::fmt::Write;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Encoding of a body as text, since rows hold text only.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Body {
    /// Body that is valid UTF-8.
    Text(String),
    /// Any other body, in hexadecimal digits.
    Hex(String),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        match std::str::from_utf8(&bytes) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(bytes.iter().fold(String::new(), |mut hex, byte| {
                write!(hex, "{byte:02x}").expect("writing to a string succeeds");
                hex
            })),
        }
    }
}

impl TryFrom<Body> for Bytes {
    type Error = String;

    fn try_from(body: Body) -> Result<Self, String> {
        let hex = match body {
            Body::Text(text) => return Ok(text.into()),
            Body::Hex(hex) => hex,
        };
        let invalid = || format!("body of {} characters is not valid hexadecimal", hex.len());
        let pairs = (0..hex.len()).step_by(2);
        pairs
            .map(|i| {
                hex.get(i..i + 2)
                    .and_then(|p| u8::from_str_radix(p, 16).ok())
            })
            .collect::<Option<Vec<u8>>>()
            .map(Bytes::from)
            .ok_or_else(invalid)
    }
}
