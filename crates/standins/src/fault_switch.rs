//! The switch that turns a fake's faults on and off while it runs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Shared faults of one fake; the default value of `F` means no fault.
#[derive(Debug, Clone)]
pub struct FaultSwitch<F> {
    faults: Arc<Mutex<F>>,
}

impl<F> FaultSwitch<F>
where
    F: Clone + Default,
{
    /// A switch with no fault on.
    pub fn new() -> Self {
        Self {
            faults: Arc::new(Mutex::new(F::default())),
        }
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        *self.lock() = faults;
    }

    /// Turns all faults off.
    pub fn clear(&self) {
        self.set(F::default());
    }

    /// The faults that are on now.
    pub fn get(&self) -> F {
        self.lock().clone()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, F> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<F> Default for FaultSwitch<F>
where
    F: Clone + Default,
{
    fn default() -> Self {
        Self::new()
    }
}
