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
    /// The name of a model or plain service, as callers write it.
    pub struct ModelId;
}

crate::name! {
    /// The name of a Jujubewind process: an entry or an agent.
    pub struct NodeId;
}

crate::name! {
    /// The name of a failure domain.
    pub struct DomainId;
}

crate::name! {
    /// The name of a region: a set of failure domains.
    pub struct RegionId if crate::types::is_text;
}

crate::random_id! {
    /// Identifies a caller's request, from its arrival at an entry to its final answer.
    pub struct RequestId;
}

crate::random_id! {
    /// Identifies one attempt to serve a request at one backend server.
    pub struct AttemptId;
}

crate::random_id! {
    /// Identifies an operator's change, so that it can be found in the store after a lost response.
    pub struct ChangeId;
}
