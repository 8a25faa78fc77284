//! Weighted fair queue of one agent.
//!
//! Classes have strict priority. Within a class, organisations share the capacity in proportion to their weights by
//! means of virtual finish times, so the calls of an organisation that floods the queue don't delay those of others.

use crate::class;
use crate::name;

/// Virtual time of one call with weight 1.
const UNIT_COST: u64 = 1_000_000;

/// A queued item.
#[derive(Debug, Clone)]
struct Waiting<T> {
    /// Virtual finish time; items are served in ascending order.
    finish: u64,
    /// Arrival number, which breaks ties.
    arrival: u64,
    organisation: name::Name,
    item: T,
}

/// Last virtual finish time of an organisation with queued or recently served items.
#[derive(Debug, Clone)]
struct Flow {
    organisation: name::Name,
    finish: u64,
}

/// Queue of one priority class.
#[derive(Debug, Clone)]
struct ClassQueue<T> {
    /// Highest finish time of the items served so far.
    virtual_time: u64,
    /// Sorted by `(finish, arrival)`.
    waiting: Vec<Waiting<T>>,
    /// Sorted by organisation. A flow whose finish time is not after the virtual time has no effect and may be removed.
    flows: Vec<Flow>,
}

/// Bounded queue with a weighted fair queue for each priority class.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    queues: [ClassQueue<T>; class::Class::ALL.len()],
    arrival_count: u64,
    /// Maximum number of items in all classes together.
    capacity: usize,
}

impl<T> FairQueue<T>
where
    T: PartialEq,
{
    /// Creates an empty queue for at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        let queue = || ClassQueue {
            virtual_time: 0,
            waiting: Vec::new(),
            flows: Vec::new(),
        };
        Self {
            queues: [queue(), queue(), queue()],
            arrival_count: 0,
            capacity,
        }
    }

    /// Sets the capacity. Items already queued stay queued even if they exceed it.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(|queue| queue.waiting.is_empty())
    }

    /// Returns whether the queue has reached its capacity.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Returns the number of queued items that would be served before a new item with these properties.
    pub fn count_ahead(&self, class: class::Class, organisation: &name::Name, weight: u32) -> usize {
        let urgent: usize = self.queues[..class.index()].iter().map(|q| q.waiting.len()).sum();
        let queue = &self.queues[class.index()];
        let finish = queue.finish_of(organisation, weight);
        urgent + queue.waiting.partition_point(|w| w.finish <= finish)
    }

    /// Adds an item.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full.
    pub fn push(&mut self, class: class::Class, organisation: &name::Name, weight: u32, item: T) -> Result<(), T> {
        if self.is_full() {
            return Err(item);
        }
        self.arrival_count += 1;
        let arrival = self.arrival_count;
        self.queues[class.index()].push(organisation, weight, arrival, item);
        Ok(())
    }

    /// Removes and returns the item to serve next.
    pub fn pop(&mut self) -> Option<T> {
        self.queues.iter_mut().find_map(ClassQueue::pop)
    }

    /// Removes an item from any position, and returns whether it was queued.
    pub fn remove(&mut self, item: &T) -> bool {
        for queue in &mut self.queues {
            if let Some(index) = queue.waiting.iter().position(|w| w.item == *item) {
                queue.waiting.remove(index);
                return true;
            }
        }
        false
    }

    /// Removes and returns all items.
    pub fn drain(&mut self) -> Vec<T> {
        let queues = self.queues.iter_mut();
        queues
            .flat_map(|queue| queue.waiting.drain(..).map(|w| w.item))
            .collect()
    }
}

impl<T> ClassQueue<T> {
    /// Returns the virtual finish time of a new item.
    fn finish_of(&self, organisation: &name::Name, weight: u32) -> u64 {
        let last = self
            .flows
            .binary_search_by(|f| f.organisation.cmp(organisation))
            .map_or(0, |index| self.flows[index].finish);
        last.max(self.virtual_time) + UNIT_COST / u64::from(weight.max(1))
    }

    fn push(&mut self, organisation: &name::Name, weight: u32, arrival: u64, item: T) {
        let finish = self.finish_of(organisation, weight);
        match self.flows.binary_search_by(|f| f.organisation.cmp(organisation)) {
            Ok(index) => self.flows[index].finish = finish,
            Err(index) => self.flows.insert(
                index,
                Flow {
                    organisation: organisation.clone(),
                    finish,
                },
            ),
        }
        let index = self
            .waiting
            .partition_point(|w| (w.finish, w.arrival) <= (finish, arrival));
        let organisation = organisation.clone();
        self.waiting.insert(
            index,
            Waiting {
                finish,
                arrival,
                organisation,
                item,
            },
        );
    }

    fn pop(&mut self) -> Option<T> {
        if self.waiting.is_empty() {
            return None;
        }
        let first = self.waiting.remove(0);
        self.virtual_time = self.virtual_time.max(first.finish);
        let virtual_time = self.virtual_time;
        if self.waiting.iter().all(|w| w.organisation != first.organisation) {
            self.flows.retain(|f| f.finish > virtual_time);
        }
        Some(first.item)
    }
}
