//! The task that carries out the core's steps when they are due.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use futures::future::select;

use super::state::State;

/// The longest sleep, for an engine that has nothing to do.
const IDLE: Duration = Duration::from_millis(500);

/// Carries out steps for ever.
pub(crate) async fn pump(state: Rc<RefCell<State>>, woken: Receiver<()>) {
    loop {
        let pause = next_pause(&state.borrow());
        let sleep = pin!(compio::time::sleep(pause));
        let wake = pin!(woken.recv_async());
        select(sleep, wake).await;
        state.borrow_mut().advance();
    }
}

fn next_pause(state: &State) -> Duration {
    let micros = state.micros_until(state.core.next_event());
    Duration::from_micros(micros).min(IDLE)
}
