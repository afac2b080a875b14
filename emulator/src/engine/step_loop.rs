//! The task that runs the core's steps when they are due.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use futures::future::select;

use super::state::State;

/// The longest sleep of an idle engine.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Runs steps forever; a message on `wake_rx` makes it check for an earlier event.
pub(crate) async fn run_step_loop(state: Rc<RefCell<State>>, wake_rx: Receiver<()>) {
    loop {
        let delay = time_to_next_event(&state.borrow());
        let sleep = pin!(compio::time::sleep(delay));
        let wake = pin!(wake_rx.recv_async());
        select(sleep, wake).await;
        state.borrow_mut().advance();
    }
}

fn time_to_next_event(state: &State) -> Duration {
    let micros = state.micros_until(state.core.next_event());
    Duration::from_micros(micros).min(MAX_SLEEP)
}
