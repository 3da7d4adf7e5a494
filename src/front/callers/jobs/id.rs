use crate::fleet::Digest;

/// Makes the id of a job, 32 hexadecimal digits, from a text that is unique to it.
pub(super) fn derive(text: &str) -> String {
    let mut digits = Digest::of(text.as_bytes()).to_string();
    digits.truncate(32);
    digits
}
