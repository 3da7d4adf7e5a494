use std::sync::Arc;
use std::time::Duration;

use eyre::{Report, WrapErr};

use crate::peer::{Backoff, Member};
use crate::platform::{Condition, Error, Platform, Row, Write};

/// Writes the member row of this start of the instance, with a new incarnation, and returns it.
///
/// Waits while the store is down: without a new incarnation the instance cannot be distinguished
/// from its previous incarnation, whose permits and vote may still count.
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

/// Makes one attempt to write the member row with the next incarnation.
///
/// After a lost answer the next attempt may skip an incarnation, which is harmless.
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

/// Returns the incarnation that is known to have ended because this process has bound its peer
/// address.
fn find_replaced(row: &Row, member: &Member) -> Option<u64> {
    let former: Member = serde_json::from_str(&row.value).ok()?;
    if former.incarnation == member.incarnation && former.name == member.name {
        // An earlier attempt of this process took effect although its answer was lost.
        return member.replaced;
    }
    (former.peers == member.peers).then_some(former.incarnation)
}

/// Returns the incarnation of a row, or the row's version if that is higher.
///
/// The version is at least the incarnation, so it also serves for a row that cannot be decoded.
fn read_incarnation(row: &Row) -> u64 {
    serde_json::from_str::<Member>(&row.value)
        .map_or(row.version, |m| m.incarnation.max(row.version))
}

/// Marks the member row as left, unless a newer incarnation wrote it.
pub(super) async fn leave(platform: &Platform, member: &Member) -> Result<(), Report> {
    let key: Arc<str> = Member::key(&member.name).into();
    let row = platform
        .table
        .read(key.clone())
        .await
        .wrap_err("step=leave")?;
    let Some(row) = row else { return Ok(()) };
    let is_own = serde_json::from_str::<Member>(&row.value).is_ok_and(|m| m == *member);
    if is_own {
        // The row stays, without an address, so that the next start gets a higher incarnation.
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
