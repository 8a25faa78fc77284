//! Integration tests that run the real processes over stand-ins, with fault-injecting proxies between them.

mod bad_input;
mod bookings;
mod chaos;
mod crashing_calls;
mod cut_heads;
mod draining;
mod end_to_end;
mod module_circles;
mod odd_responses;
mod operators;
mod partitions;
mod resumed_streams;
mod streams;
mod summary;
mod support;
