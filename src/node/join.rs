use std::sync::Arc;
use std::time::Duration;

use eyre::{Report, WrapErr};

use crate::peer::{Backoff, Member};
use crate::platform::{Condition, Error, Platform, Row, Write};

/// Writes the row of a new life of the instance and returns the life.
///
/// Waits while the store is down: without a new incarnation the instance cannot be told from its
/// former life, whose permits and vote may still count.
pub(super) async fn join(platform: &Platform, mut member: Member) -> Result<Member, Report> {
    let key: Arc<str> = Member::key(&member.name).into();
    let mut backoff = Backoff::new(u64::from(std::process::id()));
    loop {
        match try_join(platform, &key, &mut member).await {
            Ok(()) => return Ok(member),
            Err(Error::Conflict { .. }) => {}
            Err(error) => log::warn!(event = "join-delayed", error:% = error; ""),
        }
        tokio::time::sleep(backoff.next().max(Duration::from_millis(20))).await;
    }
}

/// A write whose answer was lost is followed by another incarnation, which is harmless.
async fn try_join(platform: &Platform, key: &Arc<str>, member: &mut Member) -> Result<(), Error> {
    let row = platform.table.read(key.clone()).await?;
    let condition = row
        .as_ref()
        .map_or(Condition::Absent, |row| Condition::Version(row.version));
    member.replaced = row.as_ref().and_then(|row| find_replaced(row, member));
    member.incarnation = row.map_or(0, |row| read_incarnation(&row)) + 1;
    let value = serde_json::to_string(member).expect("a member has only plain fields");
    platform
        .table
        .transact(vec![Write::put(key, condition, &value)])
        .await
        .map(drop)
}

/// A process that has bound the peer address of a former life proves that this life has ended.
fn find_replaced(row: &Row, member: &Member) -> Option<u64> {
    let former: Member = serde_json::from_str(&row.value).ok()?;
    if former.incarnation == member.incarnation && former.name == member.name {
        // An earlier try of this life took effect although its answer was lost.
        return member.replaced;
    }
    (former.peers == member.peers).then_some(former.incarnation)
}

/// A row that cannot be read still has a version, which never falls behind the incarnation.
fn read_incarnation(row: &Row) -> u64 {
    serde_json::from_str::<Member>(&row.value)
        .map_or(row.version, |m| m.incarnation.max(row.version))
}

/// Removes the row of a life that ends, unless a newer life wrote it.
pub(super) async fn leave(platform: &Platform, member: &Member) -> Result<(), Report> {
    let key: Arc<str> = Member::key(&member.name).into();
    let row = platform
        .table
        .read(key.clone())
        .await
        .wrap_err("step=leave")?;
    let Some(row) = row else { return Ok(()) };
    let ours = serde_json::from_str::<Member>(&row.value).is_ok_and(|m| m == *member);
    if ours {
        // The row stays, without an address, so that the next life gets a higher incarnation.
        let value = serde_json::json!({ "left": member.incarnation }).to_string();
        let write = Write::put(&key, Condition::Version(row.version), &value);
        platform
            .table
            .transact(vec![write])
            .await
            .wrap_err("step=leave")?;
    }
    Ok(())
}
