//! Handle to a control thread: facts to tell, questions to ask.

use crossbeam::channel::Sender;
use tokio::sync::oneshot;

/// Sender of messages to one control thread.
#[derive(Debug)]
pub(crate) struct Mailbox<M> {
    tx: Sender<M>,
}

impl<M> Mailbox<M> {
    pub(crate) fn new(tx: Sender<M>) -> Self {
        Self { tx }
    }

    /// Tells a fact that must not be lost.
    pub(crate) fn send(&self, message: M) {
        // The control thread ends only with the process, after which nobody is left to be told.
        let _sent = self.tx.send(message);
    }

    /// Tells a fact that may be lost under pressure; `false` when it was.
    pub(crate) fn try_send(&self, message: M) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Asks a question; `None` when the control thread is gone.
    pub(crate) async fn request<T, F>(&self, make_message: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> M,
    {
        let (reply_tx, reply) = oneshot::channel();
        self.tx.send(make_message(reply_tx)).ok()?;
        reply.await.ok()
    }

    /// Asks a question from a thread that may wait; `None` when the control thread is gone.
    pub(crate) fn request_blocking<T, F>(&self, make_message: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> M,
    {
        let (reply_tx, reply) = oneshot::channel();
        self.tx.send(make_message(reply_tx)).ok()?;
        reply.blocking_recv().ok()
    }
}
