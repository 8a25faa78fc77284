//! Integration tests: real processes over stand-ins, behind a fault-injecting proxy.

mod bad_input;
mod bookings;
mod chaos;
mod draining;
mod end_to_end;
mod operators;
mod partitions;
mod streams;
mod support;
