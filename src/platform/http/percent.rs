use std::fmt::Write;

/// Percent-encodes a key or name for use in a URL path, leaving `/` unchanged.
pub(in crate::platform) fn encode_path(text: &str) -> String {
    encode(text, b"-._~/")
}

/// Percent-encodes a value for use in a URL query.
pub(in crate::platform) fn encode_query(text: &str) -> String {
    encode(text, b"-._~")
}

fn encode(text: &str, plain: &[u8]) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || plain.contains(&byte) {
            out.push(char::from(byte));
        } else {
            write!(out, "%{byte:02X}").expect("writing to a string succeeds");
        }
    }
    out
}
