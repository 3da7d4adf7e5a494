//! Conditions, keys and scans.

use bytes::Bytes;
use coriandernotch::platform::{Condition, Error, Write};
use coriandernotch::standin::Store;

use super::transport::{TRANSPORTS, connect, put};

/// Guards against transactions that are applied partially or although a condition fails, and
/// against conflicts that name the wrong row.
#[tokio::test]
async fn transactions_enforce_conditions() {
    use Condition::{Absent, Any, Version};
    type Case = (Vec<Write>, Result<Vec<u64>, &'static str>);
    for via in TRANSPORTS {
        let store = Store::new();
        let table = connect(via, &store, "a").await.table;
        // Each case starts from the state left by the previous cases.
        let cases: Vec<Case> = vec![
            (vec![put("a", Absent), put("b", Any)], Ok(vec![1, 1])),
            (vec![put("a", Absent)], Err("a")),
            (vec![put("c", Absent), put("b", Version(2))], Err("b")),
            (vec![put("c", Version(1))], Err("c")),
            (vec![put("a", Version(1)), put("c", Absent)], Ok(vec![2, 1])),
            (vec![Write::delete("a", Version(1))], Err("a")),
            (vec![Write::delete("a", Version(2))], Ok(vec![3])),
            (vec![put("a", Absent)], Ok(vec![1])),
            (vec![], Ok(vec![])),
        ];
        for (writes, expected) in cases {
            let result = table.transact(writes.clone()).await;
            match (result, expected) {
                (Ok(versions), Ok(wanted)) => assert_eq!(versions, wanted, "{via:?} {writes:?}"),
                (Err(Error::Conflict { key }), Err(wanted)) => assert_eq!(&*key, wanted),
                (result, wanted) => panic!("{via:?} {writes:?}: {result:?}, wanted {wanted:?}"),
            }
        }
        let row_versions: Vec<_> = store.rows("").iter().map(|r| r.version).collect();
        assert_eq!(row_versions, [1, 1, 1], "{via:?}");
    }
}

/// Guards against keys that are encoded or decoded incorrectly between client and store.
#[tokio::test]
async fn keys_with_reserved_characters() {
    let keys = [
        "claims/workspace 1/ü",
        "a?b=c&d#e",
        "100%",
        "%41",
        "a+b",
        "../x//y",
        "\"\\\n\t{}",
    ];
    for via in TRANSPORTS {
        let store = Store::new();
        let platform = connect(via, &store, "a").await;
        for key in keys {
            platform
                .table
                .transact(vec![Write::put(key, Condition::Absent, key)])
                .await
                .unwrap_or_else(|e| panic!("{via:?} {key:?}: {e}"));
            let row = platform.table.read(key.into()).await.unwrap().unwrap();
            assert_eq!((&*row.key, &*row.value), (key, key), "{via:?}");
            let rows = platform.table.scan(key.into(), "".into(), 9).await.unwrap();
            assert_eq!(rows, [row], "{via:?} {key:?}");
            let conflict = platform
                .table
                .transact(vec![put(key, Condition::Absent)])
                .await;
            let wanted = Error::Conflict { key: key.into() };
            assert_eq!(conflict, Err(wanted), "{via:?}");
            let content = Bytes::from_static(b"\0\xff");
            platform
                .objects
                .put(key.into(), content.clone())
                .await
                .unwrap();
            assert_eq!(
                platform.objects.get(key.into()).await.unwrap(),
                Some(content)
            );
        }
        assert_eq!(platform.table.read("none".into()).await.unwrap(), None);
        assert_eq!(platform.objects.get("none".into()).await.unwrap(), None);
    }
}

/// Guards against rows that are missing from or repeated in the pages of a scan.
#[tokio::test]
async fn scan_returns_each_row_once() {
    for via in TRANSPORTS {
        let store = Store::new();
        let table = connect(via, &store, "a").await.table;
        let keys: Vec<_> = (0..25).map(|n| format!("jobs/q/{n:02}")).collect();
        let mut writes: Vec<_> = keys.iter().map(|k| put(k, Condition::Absent)).collect();
        writes.extend(["jobs/p", "jobs/q", "jobs/q0", "jobs/r"].map(|k| put(k, Condition::Any)));
        table.transact(writes).await.unwrap();
        for limit in [1, 7, 25, 100] {
            let mut scanned: Vec<String> = Vec::new();
            loop {
                let after = scanned.last().map_or("", |k| k).into();
                let page = table.scan("jobs/q/".into(), after, limit).await.unwrap();
                if page.is_empty() {
                    break;
                }
                assert!(page.len() <= limit);
                scanned.extend(page.iter().map(|row| row.key.to_string()));
            }
            assert_eq!(scanned, keys, "{via:?} limit {limit}");
        }
    }
}
