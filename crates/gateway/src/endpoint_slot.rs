//! Counts the requests that are in flight at an endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use sycamorestile_core::direct::endpoint;

use crate::context;

/// A guard that counts a request as in flight at an endpoint until it is dropped.
pub(crate) struct EndpointSlot {
    cx: Rc<context::GatewayContext>,
    pub(crate) endpoint: Arc<endpoint::Endpoint>,
    is_counted: Cell<bool>,
}

impl EndpointSlot {
    pub(crate) fn new(cx: &Rc<context::GatewayContext>, endpoint: &Arc<endpoint::Endpoint>) -> Self {
        let slot = Self {
            cx: Rc::clone(cx),
            endpoint: Arc::clone(endpoint),
            is_counted: Cell::new(false),
        };
        slot.set_counted(true);
        slot
    }

    /// Sets whether the request counts. One that has gone silent doesn't: it may have ended long ago at its endpoint.
    pub(crate) fn set_counted(&self, is_counted: bool) {
        if self.is_counted.replace(is_counted) == is_counted {
            return;
        }
        let mut placement = self.cx.placement.borrow_mut();
        if is_counted {
            placement.attempt_started(&self.endpoint.id);
        } else {
            placement.attempt_ended(&self.endpoint.id);
        }
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.set_counted(false);
    }
}
