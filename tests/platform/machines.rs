//! Orders about machines.

use std::time::Duration;

use coriandernotch::platform::{Action, Command, Instance, State};
use coriandernotch::standin::{Fault, Kind, Store, Target};
use tokio::time::{Instant, sleep};

use super::transport::{TRANSPORTS, connect, error_kind};

/// Guards against late commands of a former manager, a second reboot by a repeated command, a
/// reboot of an incarnation that has ended, and a lost response that is taken for a refusal.
#[tokio::test]
async fn commands_are_fenced_and_idempotent() {
    for via in TRANSPORTS {
        let store = Store::new();
        let target = Target::new();
        store.machines().add("w-1", target);
        store.machines().set_reboot_time(Duration::from_millis(20));
        let listed = |incarnation| Instance {
            name: "w-1".into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            rack: "r".into(),
            state: State::Live,
            incarnation,
        };
        store.set_instances(vec![listed(3)]);
        let platform = connect(via, &store, "a").await;
        let send_command = |token, action| {
            let instance = "w-1".into();
            platform.machines.order(Command {
                instance,
                token,
                action,
            })
        };
        // Each case starts from the state left by the previous cases; the last number counts the
        // reboots so far.
        let cases = [
            (2, Action::Drain, None, Ok(()), 0),
            (1, Action::Drain, None, Err("conflict"), 0),
            (2, Action::Reboot(2), None, Ok(()), 0),
            (
                2,
                Action::Reboot(3),
                Some(Fault::Refuse),
                Err("unavailable"),
                0,
            ),
            (1, Action::Reboot(3), None, Err("conflict"), 0),
            (2, Action::Reboot(3), Some(Fault::Lose), Err("unknown"), 1),
            (2, Action::Reboot(3), None, Ok(()), 1),
        ];
        for (token, action, fault, expected, reboots) in cases {
            store.faults().inject(Kind::Order, fault);
            let result = send_command(token, action).await;
            let label = format!("{via:?} {token} {action:?}");
            assert_eq!(
                result.as_ref().map_err(error_kind).copied(),
                expected,
                "{label}"
            );
            assert_eq!(store.machines().rebooted().len(), reboots, "{label}");
        }
        let listing = &platform.listing;
        let deadline = Instant::now() + Duration::from_secs(5);
        while listing.instances().await.unwrap() != [listed(4)] {
            assert!(
                Instant::now() < deadline,
                "{via:?} w-1 is not listed as restarted"
            );
            sleep(Duration::from_millis(5)).await;
        }
        send_command(2, Action::Reboot(3)).await.unwrap();
        assert_eq!(listing.instances().await.unwrap(), [listed(4)]);
    }
}
