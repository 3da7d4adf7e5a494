use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::hold::Hold;
use crate::instance::wait_until;
use crate::moment::Moment;
use crate::standin::Call;

/// Time between two checks whether a read is still held back.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// All reads that the stand-in of the store holds back, each with the number of calls so far.
#[derive(Clone, Default)]
pub(crate) struct Holds(Arc<Mutex<Vec<(Hold, u64)>>>);

impl Holds {
    /// Holds back the reads that match from now on.
    pub(crate) fn add(&self, hold: Hold) {
        self.0.lock().unwrap().push((hold, 0));
    }

    /// Waits until a call is held back.
    pub(crate) async fn wait_for_call(&self, hold: Hold) {
        let is_called = || {
            let holds = self.0.lock().unwrap();
            let mut holds = holds.iter();
            holds.any(|(known, calls)| *known == hold && *calls > 0)
        };
        wait_until(&format!("{hold:?} is called"), is_called).await;
    }

    /// Releases all reads.
    pub(crate) fn release(&self) {
        self.0.lock().unwrap().clear();
    }

    /// Waits while a call is held back at `moment`.
    pub(crate) async fn wait_for_release(&self, call: &Call, moment: Moment) {
        let matches = |hold: &Hold| hold.moment == moment && hold.matches(call);
        for (hold, calls) in &mut *self.0.lock().unwrap() {
            *calls += u64::from(matches(hold));
        }
        let is_held = || self.0.lock().unwrap().iter().any(|(hold, _)| matches(hold));
        while is_held() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
