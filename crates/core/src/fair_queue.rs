//! Weighted fair queue of one agent.
//!
//! Classes are served strictly by urgency. Within a class, organisations share by weight through virtual finish times,
//! so a flooding organisation waits behind its own calls and not before a small one's.

use crate::class;
use crate::name;

/// Virtual time that one call of weight 1 takes.
const UNIT_COST: u64 = 1_000_000;

/// A waiting item.
#[derive(Debug, Clone)]
struct Waiting<T> {
    /// Virtual finish time; the lowest goes first.
    finish: u64,
    /// Order of arrival, to break ties.
    arrival: u64,
    organisation: name::Name,
    item: T,
}

/// Last finish time of an organisation with waiting or recent calls.
#[derive(Debug, Clone)]
struct Flow {
    organisation: name::Name,
    finish: u64,
}

/// Queue of one class.
#[derive(Debug, Clone)]
struct ClassQueue<T> {
    /// Virtual time: the finish time of the call served last.
    virtual_time: u64,
    /// Sorted by `(finish, arrival)`.
    waiting: Vec<Waiting<T>>,
    /// Sorted by organisation. Flows at or behind the clock carry no information and are dropped.
    flows: Vec<Flow>,
}

/// Bounded queue with a lane a class.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    queues: [ClassQueue<T>; class::Class::ALL.len()],
    arrival_count: u64,
    /// Most items over all lanes.
    capacity: usize,
}

impl<T> FairQueue<T>
where
    T: PartialEq,
{
    /// An empty queue for at most `capacity` items.
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

    /// Changes the bound; items above it stay and are served.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(|queue| queue.waiting.is_empty())
    }

    /// Whether another item would exceed the bound.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Items that would be served before a new one of this class, organisation and weight.
    pub fn count_ahead(&self, class: class::Class, organisation: &name::Name, weight: u32) -> usize {
        let urgent: usize = self.queues[..class.index()].iter().map(|q| q.waiting.len()).sum();
        let queue = &self.queues[class.index()];
        let finish = queue.finish_of(organisation, weight);
        urgent + queue.waiting.partition_point(|w| w.finish <= finish)
    }

    /// Adds an item; gives it back when the queue is full.
    ///
    /// # Errors
    ///
    /// The item itself, when the queue is full.
    pub fn push(&mut self, class: class::Class, organisation: &name::Name, weight: u32, item: T) -> Result<(), T> {
        if self.is_full() {
            return Err(item);
        }
        self.arrival_count += 1;
        let arrival = self.arrival_count;
        self.queues[class.index()].push(organisation, weight, arrival, item);
        Ok(())
    }

    /// Takes the item that is due next.
    pub fn pop(&mut self) -> Option<T> {
        self.queues.iter_mut().find_map(ClassQueue::pop)
    }

    /// Takes out one item wherever it waits.
    pub fn remove(&mut self, item: &T) -> bool {
        for queue in &mut self.queues {
            if let Some(index) = queue.waiting.iter().position(|w| w.item == *item) {
                queue.waiting.remove(index);
                return true;
            }
        }
        false
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<T> {
        let queues = self.queues.iter_mut();
        queues
            .flat_map(|queue| queue.waiting.drain(..).map(|w| w.item))
            .collect()
    }
}

impl<T> ClassQueue<T> {
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
