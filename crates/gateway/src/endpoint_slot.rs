//! Counts the requests that are in flight at an endpoint.

use std::rc::Rc;
use std::sync::Arc;

use sycamorestile_core::direct::endpoint;

use crate::context;

/// A guard that counts a request as in flight at an endpoint until it is dropped.
pub(crate) struct EndpointSlot {
    pub(crate) cx: Rc<context::GatewayContext>,
    pub(crate) endpoint: Arc<endpoint::Endpoint>,
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        self.cx.placement.borrow_mut().attempt_ended(&self.endpoint.id);
    }
}
