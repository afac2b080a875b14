//! What a catalogue entry gives access to.

use crate::types::ModelId;

crate::data! {
    /// Models, or one plain service.
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// Models, by the names that callers write.
        Models(Vec<ModelId>),
        /// A plain service.
        Service(Service),
    }

    /// A plain service and the methods that may be called.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// The name that callers write.
        pub name: ModelId,
        /// The methods; others are refused.
        pub methods: Vec<Method>,
    }

    /// One method of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Method {
        /// The path below the service's root.
        pub name: String,
        /// Whether a call may be repeated; one that may not needs an idempotency key.
        pub idempotent: bool,
    }
}

impl Target {
    /// The names that callers write: of the models, or of the service.
    pub fn names(&self) -> impl Iterator<Item = &ModelId> {
        match self {
            Self::Models(models) => models.iter(),
            Self::Service(service) => std::slice::from_ref(&service.name).iter(),
        }
    }
}

impl Service {
    /// The method of that name, if the catalogue lists it.
    #[must_use]
    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.iter().find(|method| method.name == name)
    }
}
