use super::MAX_BYTES;
use super::load::single;
use super::problem::Problem;

/// Returns the text of a file.
///
/// # Errors
///
/// Refuses bytes that are not UTF-8, at the position of the first of them. A file that is too
/// long passes up to its bound, and whoever parses it refuses it.
///
/// ```
/// use coriandernotch::document;
///
/// assert_eq!(document::decode("a.jsonc", b"{}"), Ok("{}"));
/// let problems = document::decode("a.jsonc", b"{\n \xff}").unwrap_err();
/// assert_eq!((problems[0].line, problems[0].column), (2, 2));
/// ```
pub fn decode<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a str, Vec<Problem>> {
    std::str::from_utf8(bytes).map_err(|error| {
        let start = error.valid_up_to();
        let text = std::str::from_utf8(&bytes[..start]).unwrap_or_default();
        if start > MAX_BYTES {
            let accepted = format!("at most {MAX_BYTES} bytes");
            return single(
                file,
                "",
                0,
                format!("more than {MAX_BYTES} bytes"),
                accepted,
            );
        }
        let value = format!("byte 0x{:02x}", bytes[start]);
        single(file, text, start, value, "UTF-8 text".to_owned())
    })
}
