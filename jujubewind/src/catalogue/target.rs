//! Targets of catalogue entries: models or a plain service.

use crate::types::ModelId;

crate::data! {
    /// What an entry gives access to: models or one plain service.
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// Models by the names that callers use.
        Models(Vec<ModelId>),
        /// A plain service.
        Service(Service),
    }

    /// A plain service and its allowed methods.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// The name that callers use.
        pub name: ModelId,
        /// The allowed methods; calls of others are refused.
        pub methods: Vec<Method>,
    }

    /// A method of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Method {
        /// The path relative to the service's root.
        pub name: String,
        /// Whether a call may be repeated; other calls need an idempotency key.
        pub idempotent: bool,
    }
}

impl Target {
    /// The names that callers use for the models or the service.
    pub fn names(&self) -> impl Iterator<Item = &ModelId> {
        match self {
            Self::Models(models) => models.iter(),
            Self::Service(service) => std::slice::from_ref(&service.name).iter(),
        }
    }
}

impl Service {
    /// The method called `name`, if it is allowed.
    #[must_use]
    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.iter().find(|method| method.name == name)
    }
}
