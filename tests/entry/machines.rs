use std::time::Duration;

use coriandernotch::platform::api::Fleet;
use serde_json::{Value, json};

use crate::standin::{Call, serve};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a stand-in of the machine service that returns `pages`, of which each names the next one.
async fn fleet(pages: Vec<(u16, Value)>) -> Fleet {
    let address = serve(move |call: Call| {
        let page = pages[call.number("pageToken") as usize].clone();
        async move { Some(page) }
    })
    .await;
    Fleet::new(address, "entry-1")
}

fn page(names: &[&str], next: &str) -> Value {
    let machine = |name: &&str| json!({"machine": name, "pool": "s", "state": "up", "zone": "a"});
    let machines: Vec<Value> = names.iter().map(machine).collect();
    json!({"machines": machines, "nextToken": next})
}

/// A machine that is missing from a list counts as gone, so its tasks start elsewhere.
#[tokio::test]
async fn lists_the_machines_of_all_pages() {
    let fleet = fleet(vec![
        (200, page(&["m-0", "m-1"], "1")),
        (200, page(&["m-2"], "")),
    ])
    .await;
    let machines = fleet.list(TIMEOUT).await.unwrap();
    let names: Vec<&str> = machines.iter().map(|machine| &*machine.name).collect();
    assert_eq!(names, ["m-0", "m-1", "m-2"]);
}

/// An incomplete list is no list: the machines that it lacks would count as gone.
#[tokio::test]
async fn returns_no_part_of_a_list() {
    for (case, second) in [
        ("refused", (429, json!({}))),
        ("without machines", (200, json!({}))),
        ("not a list", (200, json!({"machines": "none"}))),
    ] {
        let fleet = fleet(vec![(200, page(&["m-0"], "1")), second]).await;
        let list = fleet.list(TIMEOUT).await;
        assert!(list.is_err(), "{case}: {list:?}");
    }
}

/// A machine without a state or pool would count as switched off or moved, and its worker as ended.
#[tokio::test]
async fn rejects_a_list_with_an_incomplete_machine() {
    for missing in ["machine", "pool", "state"] {
        let mut list = page(&["m-0"], "");
        list["machines"][0].as_object_mut().unwrap().remove(missing);
        let fleet = fleet(vec![(200, list)]).await;
        let list = fleet.list(TIMEOUT).await;
        assert!(list.is_err(), "without {missing}: {list:?}");
    }
}
