//! State that a gateway keeps for each service.

use std::cell::RefCell;
use std::sync::Arc;

/// A value for each service, created when it is first used.
pub(crate) struct ServiceMap<T> {
    /// Sorted by service.
    values: RefCell<Vec<(Arc<str>, T)>>,
    create: Box<dyn Fn() -> T>,
}

impl<T> ServiceMap<T> {
    /// Creates an empty map whose values are created by `create`.
    pub(crate) fn new<F>(create: F) -> Self
    where
        F: Fn() -> T + 'static,
    {
        Self {
            values: RefCell::default(),
            create: Box::new(create),
        }
    }

    /// Calls `f` with the value of `service`. `f` must not use the map.
    pub(crate) fn with<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut T) -> R,
    {
        let mut values = self.values.borrow_mut();
        let at = match values.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                values.insert(at, (Arc::clone(service), (self.create)()));
                at
            }
        };
        f(&mut values[at].1)
    }
}
