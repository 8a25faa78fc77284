//! Typed channel to a control thread, for one-way messages and for requests with a reply.

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

    /// Sends a message that must not be lost. Blocks while the queue is full.
    pub(crate) fn send(&self, message: M) {
        // Sending fails only if the control thread has stopped, which happens only when the process exits.
        let _sent = self.tx.send(message);
    }

    /// Sends a message that may be lost under load: it is dropped if the queue is full. Returns whether it was sent.
    pub(crate) fn try_send(&self, message: M) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Sends a request and waits for the reply. Returns `None` if the control thread has stopped.
    pub(crate) async fn request<T, F>(&self, make_message: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> M,
    {
        let (reply_tx, reply) = oneshot::channel();
        self.tx.send(make_message(reply_tx)).ok()?;
        reply.await.ok()
    }

    /// Sends a request and blocks until the reply arrives. Returns `None` if the control thread has stopped.
    pub(crate) fn request_blocking<T, F>(&self, make_message: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> M,
    {
        let (reply_tx, reply) = oneshot::channel();
        self.tx.send(make_message(reply_tx)).ok()?;
        reply.blocking_recv().ok()
    }
}
