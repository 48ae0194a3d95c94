//! The micro-kernel: starts services, hands out their handles by name, and ends when one dies.

use std::any::Any;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, RwLock};

use serde_json::{Map, Value};
use tokio::task::JoinSet;

use crate::error::{Error, Result};

/// Name under which a service is found.
pub type ServiceName = &'static str;

/// Future of one service's state, for the dump.
pub type DumpFuture = Pin<Box<dyn Future<Output = Value> + Send>>;

type DumpFn = Arc<dyn Fn() -> DumpFuture + Send + Sync>;

struct Entry {
    name: ServiceName,
    handle: Box<dyn Any + Send + Sync>,
}

/// State of every service on request.
#[derive(Clone, Default)]
pub struct Dumps {
    dumps: Arc<RwLock<Vec<(ServiceName, DumpFn)>>>,
}

impl fmt::Debug for Dumps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dumps").finish_non_exhaustive()
    }
}

impl Dumps {
    /// Collects the state of all services as one JSON object.
    pub async fn collect(&self) -> Value {
        let dumps = self.dumps.read().expect("no writer panics").clone();
        let mut all = Map::new();
        for (name, dump) in dumps {
            all.insert(name.to_owned(), dump().await);
        }
        Value::Object(all)
    }
}

/// Starts services and hands out their handles.
#[derive(Default)]
pub struct Kernel {
    entries: Vec<Entry>,
    dumps: Dumps,
    tasks: JoinSet<ServiceName>,
    ids: Vec<(tokio::task::Id, ServiceName)>,
}

impl fmt::Debug for Kernel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.entries.iter().map(|e| e.name).collect();
        f.debug_struct("Kernel")
            .field("services", &names)
            .finish_non_exhaustive()
    }
}

impl Kernel {
    /// Makes a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `handle` under `name`; a name can be taken once.
    pub fn register<H>(&mut self, name: ServiceName, handle: H) -> Result<()>
    where
        H: Clone + Send + Sync + 'static,
    {
        match self.entries.binary_search_by(|e| e.name.cmp(name)) {
            Ok(_) => Err(Error::Service {
                name,
                reason: "registered twice",
            }),
            Err(at) => {
                self.entries.insert(
                    at,
                    Entry {
                        name,
                        handle: Box::new(handle),
                    },
                );
                Ok(())
            }
        }
    }

    /// Finds the handle of type `H` under `name`.
    pub fn find<H>(&self, name: ServiceName) -> Result<H>
    where
        H: Clone + Send + Sync + 'static,
    {
        let at = self
            .entries
            .binary_search_by(|e| e.name.cmp(name))
            .map_err(|_| Error::Service {
                name,
                reason: "not registered",
            })?;
        self.entries[at]
            .handle
            .downcast_ref::<H>()
            .cloned()
            .ok_or(Error::Service {
                name,
                reason: "registered with another type",
            })
    }

    /// Adds the state of a service to the dump.
    pub fn register_dump<F>(&mut self, name: ServiceName, dump: F)
    where
        F: Fn() -> DumpFuture + Send + Sync + 'static,
    {
        let mut dumps = self.dumps.dumps.write().expect("no writer panics");
        dumps.push((name, Arc::new(dump)));
    }

    /// The state of all services on request.
    pub fn dumps(&self) -> Dumps {
        self.dumps.clone()
    }

    /// Starts the task of a service.
    pub fn spawn<F>(&mut self, name: ServiceName, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let abort = self.tasks.spawn(async move {
            task.await;
            name
        });
        self.ids.push((abort.id(), name));
    }

    /// Waits until a service ends or panics, which no service does while the process is whole.
    ///
    /// A process with a dead service would accept work and lose it; it ends instead, and the
    /// platform replaces it.
    pub async fn died(&mut self) -> Error {
        match self.tasks.join_next().await {
            None => std::future::pending().await,
            Some(Ok(name)) => Error::Died {
                name,
                reason: "ended".to_owned(),
            },
            Some(Err(e)) => {
                let name = self
                    .ids
                    .iter()
                    .find(|(id, _)| *id == e.id())
                    .map_or("unknown", |(_, n)| *n);
                Error::Died {
                    name,
                    reason: e.to_string(),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Kernel;

    #[test]
    fn a_doubled_or_missing_name_is_an_error() {
        let mut kernel = Kernel::new();
        kernel.register("slots", 1_u32).expect("first");
        assert!(kernel.register("slots", 2_u32).is_err());
        assert!(kernel.find::<u32>("limits").is_err());
        assert!(kernel.find::<u64>("slots").is_err());
        assert_eq!(kernel.find::<u32>("slots").expect("registered"), 1);
    }

    #[tokio::test]
    async fn a_panic_of_a_service_is_reported_with_its_name() {
        let mut kernel = Kernel::new();
        kernel.spawn("limits", std::future::pending());
        kernel.spawn("slots", async { panic!("lost its state") });
        let text = kernel.died().await.to_string();
        assert!(
            text.contains("slots") && text.contains("lost its state"),
            "{text}"
        );
    }
}
