//! Names and random identifiers.

crate::name! {
    /// The name of a catalogue entry.
    pub struct EntryId;
}

crate::name! {
    /// The name of an organisation, the owner of catalogue entries.
    pub struct OrgId;
}

crate::name! {
    /// The name of a model or of a plain service, as callers write it.
    pub struct ModelId;
}

crate::name! {
    /// The name of a process of ours: an entry or an agent.
    pub struct NodeId;
}

crate::name! {
    /// The name of a failure domain.
    pub struct DomainId;
}

crate::random_id! {
    /// One caller's request, from its arrival at an entry to its final answer.
    pub struct RequestId;
}

crate::random_id! {
    /// One try to serve a request at one backend server.
    pub struct AttemptId;
}

crate::random_id! {
    /// One operator's change, by which a lost answer of the store is settled.
    pub struct ChangeId;
}
