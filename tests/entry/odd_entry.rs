//! Entries that another writer may leave in the list of workers.

use coriandernotch::platform::api::{Defect, decode_registration};

use crate::store::MAX_ROW_BYTES;

/// Size of the largest odd value that the store takes, in bytes. Nesting of this length overflows
/// the stack of a recursive parser.
pub(crate) const STORED_BYTES: usize = 60_000;

/// Size of the largest odd value that is decoded, in bytes.
const DECODED_BYTES: usize = 1 << 20;

/// Fields of a valid entry, as JSON. Nothing listens at the address.
const FIELDS: [(&str, &str); 12] = [
    ("service", r#""s""#),
    ("address", r#""127.0.0.1:1""#),
    ("zone", r#""a""#),
    ("state", r#""ready""#),
    ("machine", r#""m-odd""#),
    ("born", "7"),
    ("capacity", r#"{"cpu":4000,"memMb":4000,"gpu":0}"#),
    ("labels", r#"["k","rack-1"]"#),
    ("version", r#""v1""#),
    ("slots", "8"),
    ("coldMs", "0"),
    ("seq", "3"),
];

/// Number of the first fields in [`FIELDS`] that decide something.
const READ_FIELDS: usize = 8;

/// Numbers that no field of an entry holds.
const ODD_NUMBERS: [&str; 8] = [
    "18446744073709551615",
    "18446744073709551616",
    "1e400",
    "-1",
    "-1e400",
    "1.5",
    "99999999999999999999999999999999999999999999",
    r#""7""#,
];

/// An entry of another writer, with a name for messages.
pub(crate) type Entry = (String, Vec<u8>);

/// Returns a valid entry in which a field has another value, or which has one more field.
pub(crate) fn with(field: &str, value: &str) -> Vec<u8> {
    let known = FIELDS.iter().filter(|(name, _)| *name != field);
    let fields = known.copied().chain([(field, value)]);
    let fields: Vec<String> = fields
        .map(|(name, json)| format!("\"{name}\":{json}"))
        .collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn nested_arrays(bytes: usize) -> String {
    let depth = bytes / 2;
    "[".repeat(depth) + &"]".repeat(depth)
}

fn nested_objects(bytes: usize) -> String {
    let depth = bytes / 6;
    r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth)
}

/// Returns an entry that fills a row of the store with the name of a service.
pub(crate) fn full_row() -> Vec<u8> {
    let rest = r#"{"service":"","address":"127.0.0.1:1","zone":"a","state":"ready"}"#;
    let name = "x".repeat(MAX_ROW_BYTES - rest.len());
    rest.replacen(r#""""#, &format!("\"{name}\""), 1).into()
}

/// Entries with fields that are nested deeply, in up to `bytes`.
pub(crate) fn nested_entries(bytes: usize) -> Vec<Entry> {
    let (arrays, objects) = (nested_arrays(bytes), nested_objects(bytes));
    let mut entries: Vec<Entry> = vec![
        ("arrays only".into(), arrays.clone().into()),
        ("open arrays only".into(), "[".repeat(bytes).into()),
        ("objects only".into(), objects.clone().into()),
    ];
    for (field, _) in &FIELDS[..READ_FIELDS] {
        entries.push((format!("arrays in {field}"), with(field, &arrays)));
        if *field != "capacity" {
            entries.push((format!("objects in {field}"), with(field, &objects)));
        }
    }
    entries
}

/// Entries with numbers that are too large, negative or no whole numbers.
pub(crate) fn number_entries() -> Vec<Entry> {
    let mut entries = Vec::new();
    for number in ODD_NUMBERS {
        entries.push((format!("born {number}"), with("born", number)));
        for amount in ["cpu", "memMb", "gpu"] {
            let capacity = format!("{{\"{amount}\":{number}}}");
            let name = format!("{amount} {number}");
            entries.push((name, with("capacity", &capacity)));
        }
    }
    entries
}

/// Entries whose address has a port out of range, or is none.
pub(crate) fn address_entries() -> Vec<Entry> {
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999999",
        "127.0.0.1:-1",
        "127.0.0.1:",
        "127.0.0.1",
        "256.0.0.1:80",
        "::1:80",
        "localhost:80",
        "0.0.0.0:1",
        "[::]:1",
        "255.255.255.255:1",
        "224.0.0.1:1",
        "",
    ];
    let entry = |address: &str| with("address", &format!("\"{address}\""));
    let named = addresses.map(|address| (format!("address {address}"), entry(address)));
    named.into()
}

/// Entries with texts of `bytes` and other content that describes no worker.
pub(crate) fn other_entries(bytes: usize) -> Vec<Entry> {
    let long_text = format!("\"{}\"", "x".repeat(bytes));
    let many_labels = vec![r#""k""#; 10_000].join(",");
    let mut entries: Vec<Entry> = vec![
        ("full row".into(), full_row()),
        ("no UTF-8".into(), vec![0xff, 0xfe]),
        ("no UTF-8 in a text".into(), invalid_text()),
    ];
    let mut add = |field: &str, value: &str| {
        let name = format!("{field} {}", &value[..value.len().min(20)]);
        entries.push((name, with(field, value)));
    };
    for field in ["service", "address", "zone", "state", "machine"] {
        add(field, &long_text);
    }
    add("labels", &format!("[{long_text}]"));
    add("labels", &format!("[{many_labels}]"));
    add("state", r#""gone""#);
    add("service", r#""\ud800""#);
    for (field, _) in &FIELDS[..READ_FIELDS] {
        add(field, &format!("1,\"{field}\":1"));
    }
    let contents = [
        "",
        " ",
        "null",
        "7",
        "[]",
        "{}",
        r#""s""#,
        r#"{"service":"s""#,
    ];
    let in_order = r#"["s","127.0.0.1:1","a","ready",{},["k"],"m",7]"#;
    let contents = contents.into_iter().chain([in_order]);
    entries.extend(contents.map(|content| (content.into(), content.into())));
    entries
}

/// Returns an entry with a text that is not UTF-8.
fn invalid_text() -> Vec<u8> {
    let mut content = with("zone", r#""?""#);
    let position = content.iter().position(|byte| *byte == b'?').unwrap();
    content[position] = 0xff;
    content
}

/// All entries that name no worker, with odd values of up to `bytes`.
pub(crate) fn refused_entries(bytes: usize) -> Vec<Entry> {
    let entries = [
        nested_entries(bytes),
        number_entries(),
        address_entries(),
        other_entries(bytes),
    ];
    entries.into_iter().flatten().collect()
}

/// Entries that are valid in all fields that are read, with odd values of up to `bytes`. Nothing
/// answers at their addresses.
pub(crate) fn harmless_entries(bytes: usize) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut add = |name: String, content: Vec<u8>| entries.push((name, content));
    for field in ["version", "slots", "coldMs", "seq", "other"] {
        add(
            format!("arrays in {field}"),
            with(field, &nested_arrays(bytes)),
        );
        add(
            format!("objects in {field}"),
            with(field, &nested_objects(bytes)),
        );
        for number in ODD_NUMBERS {
            add(format!("{field} {number}"), with(field, number));
        }
    }
    add("address".into(), with("address", r#""[::1]:1""#));
    add("unknown service".into(), with("service", r#""nobody""#));
    add(
        "objects in capacity".into(),
        with("capacity", &nested_objects(bytes)),
    );
    add("no capacity".into(), with("capacity", "{}"));
    add("no labels".into(), with("labels", "[]"));
    add("unknown machine".into(), with("machine", r#""""#));
    add("machine of a worker".into(), with("machine", r#""m-i-1""#));
    add("later process on the machine of a worker".into(), {
        let content = with("machine", r#""m-i-1""#);
        let text = String::from_utf8(content).unwrap();
        text.replace("\"born\":7", "\"born\":1800000000000").into()
    });
    entries
}

/// Keys that the store takes and that no worker has.
pub(crate) fn odd_keys() -> [&'static str; 2] {
    ["\r\nx: y", "\u{202e}\u{0}"]
}

/// Guards against an entry that overflows the stack, or that is taken for a worker although a field
/// has another type or an impossible value.
#[test]
fn takes_no_odd_entry_for_a_worker() {
    assert!(is_worker(&with("zone", r#""a""#)));
    let taken: Vec<String> = refused_entries(DECODED_BYTES)
        .into_iter()
        .filter_map(|(name, content)| is_worker(&content).then_some(name))
        .collect();
    assert!(taken.is_empty(), "taken for workers: {taken:#?}");
    for key in odd_keys() {
        let profile = decode_registration(key, &with("zone", r#""a""#));
        assert_eq!(profile, Err(Defect::Key), "{key:?}");
    }
    for (name, content) in harmless_entries(DECODED_BYTES) {
        assert!(
            is_worker(&content),
            "{name}: fields that are not read decide nothing"
        );
    }
}

fn is_worker(content: &[u8]) -> bool {
    decode_registration("i-9", content).is_ok()
}
