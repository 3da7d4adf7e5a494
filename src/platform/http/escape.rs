use std::fmt::Write;

/// Escapes a key or name for use in a path; `/` separates its parts and stays.
pub(in crate::platform) fn path(text: &str) -> String {
    escape(text, b"-._~/")
}

/// Escapes a value for use in a query.
pub(in crate::platform) fn query(text: &str) -> String {
    escape(text, b"-._~")
}

fn escape(text: &str, plain: &[u8]) -> String {
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
