//! The account of the responses that wait for their callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use sycamorestile_core::direct::response_room;
use sycamorestile_core::time;
use tokio::sync::Notify;

/// The length of a block, in bytes. Memory is freed block by block as a caller reads.
const BLOCK_BYTES: usize = 64 << 10;

/// The bytes of responses that this instance holds, until the HTTP library writes them.
#[derive(Debug, Default)]
pub(crate) struct ResponseAccount {
    total: Cell<usize>,
    /// The part of each organisation that has any, sorted by name. Callers without an organisation share one.
    parts: RefCell<Vec<(Option<Arc<str>>, usize)>>,
    /// The routes with a large response lately, sorted by name, and until when others are expected to be large.
    large_routes: RefCell<Vec<(Arc<str>, time::Time)>>,
    /// Notified when less is held.
    freed: Notify,
}

impl ResponseAccount {
    /// Returns what is held, as far as it concerns `organisation`.
    pub(crate) fn held(&self, organisation: Option<&Arc<str>>) -> response_room::HeldBytes {
        let parts = self.parts.borrow();
        let found = parts.binary_search_by(|(name, _)| name.as_ref().cmp(&organisation));
        response_room::HeldBytes {
            total: self.total.get(),
            of_organisation: found.map_or(0, |at| parts[at].1),
        }
    }

    /// Records that a response of `route` was large.
    pub(crate) fn record_large(&self, route: &Arc<str>, now: time::Time) {
        let until = now + response_room::LARGE_RESPONSE_MEMORY;
        let mut routes = self.large_routes.borrow_mut();
        match routes.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(at) => routes[at].1 = until,
            Err(at) => {
                routes.insert(at, (Arc::clone(route), until));
                routes.retain(|(_, until)| *until > now);
            }
        }
    }

    /// Returns whether the response of a further request to `route` is expected to be large.
    pub(crate) fn expects_large(&self, route: &Arc<str>, now: time::Time) -> bool {
        let routes = self.large_routes.borrow();
        let found = routes.binary_search_by(|(name, _)| name.cmp(route));
        found.is_ok_and(|at| routes[at].1 > now)
    }

    /// Waits until a response of `len` bytes, if that is known, may be read, and sets aside what it takes meanwhile.
    pub(crate) async fn wait_for_room(self: &Rc<Self>, organisation: Option<&Arc<str>>, len: Option<usize>) -> Share {
        while !response_room::may_read(len, self.total.get()) {
            self.freed.notified().await;
        }
        let is_small = response_room::is_small(len);
        Share::new(
            self,
            organisation,
            if is_small {
                0
            } else {
                response_room::OPEN_RESPONSE_BYTES
            },
        )
    }

    fn add(&self, organisation: Option<&Arc<str>>, len: usize) {
        self.total.set(self.total.get() + len);
        let mut parts = self.parts.borrow_mut();
        match parts.binary_search_by(|(name, _)| name.as_ref().cmp(&organisation)) {
            Ok(at) => parts[at].1 += len,
            Err(at) => parts.insert(at, (organisation.cloned(), len)),
        }
    }

    fn remove(&self, organisation: Option<&Arc<str>>, len: usize) {
        self.total.set(self.total.get() - len);
        let mut parts = self.parts.borrow_mut();
        if let Ok(at) = parts.binary_search_by(|(name, _)| name.as_ref().cmp(&organisation)) {
            parts[at].1 -= len;
            if parts[at].1 == 0 {
                parts.remove(at);
            }
        }
        // One response takes more room than most blocks leave.
        self.freed.notify_one();
    }
}

/// A number of bytes that count as held until this is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    account: Rc<ResponseAccount>,
    organisation: Option<Arc<str>>,
    len: usize,
}

impl Share {
    pub(crate) fn new(account: &Rc<ResponseAccount>, organisation: Option<&Arc<str>>, len: usize) -> Self {
        account.add(organisation, len);
        Self {
            account: Rc::clone(account),
            organisation: organisation.cloned(),
            len,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.account.remove(self.organisation.as_ref(), self.len);
    }
}

/// A part of a response, which counts as held until it is taken.
#[derive(Debug)]
pub(crate) struct Block {
    /// What the block takes, unless the share of its response covers it.
    _share: Option<Share>,
    bytes: Bytes,
}

impl Block {
    /// Returns a block that counts by itself.
    fn new(account: &Rc<ResponseAccount>, organisation: Option<&Arc<str>>, bytes: Bytes) -> Self {
        Self {
            _share: Some(Share::new(account, organisation, bytes.len())),
            bytes,
        }
    }

    /// Returns a block of a response that is forwarded while it is read, whose share covers it.
    pub(crate) fn covered(bytes: Bytes) -> Self {
        Self { _share: None, bytes }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the bytes, which are no longer held.
    pub(crate) fn take(self) -> Bytes {
        self.bytes
    }
}

/// The beginning of a response, in blocks that are freed one by one.
#[derive(Debug)]
pub(crate) struct Blocks {
    account: Rc<ResponseAccount>,
    organisation: Option<Arc<str>>,
    complete: Vec<Block>,
    /// Bytes of the last block.
    last: BytesMut,
}

impl Blocks {
    pub(crate) fn new(account: &Rc<ResponseAccount>, organisation: Option<&Arc<str>>) -> Self {
        Self {
            account: Rc::clone(account),
            organisation: organisation.cloned(),
            complete: Vec::new(),
            last: BytesMut::new(),
        }
    }

    /// Appends a copy of `bytes`, which may share memory with much more.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while self.last.len() + bytes.len() >= BLOCK_BYTES {
            let (begin, rest) = bytes.split_at(BLOCK_BYTES - self.last.len());
            self.last.extend_from_slice(begin);
            self.end_block();
            bytes = rest;
        }
        self.last.extend_from_slice(bytes);
    }

    /// Returns the blocks.
    pub(crate) fn into_blocks(mut self) -> Vec<Block> {
        if !self.last.is_empty() {
            self.end_block();
        }
        self.complete
    }

    fn end_block(&mut self) {
        let bytes = std::mem::take(&mut self.last).freeze();
        self.complete
            .push(Block::new(&self.account, self.organisation.as_ref(), bytes));
    }
}
