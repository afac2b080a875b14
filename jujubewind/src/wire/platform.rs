//! Platform API; generated from its JSON Schema.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
/// One condition of a transaction.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Compare {
    /// The revision of creation to compare with.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub create_revision: ::std::option::Option<crate::wire::Int64>,
    /// The key.
    pub key: crate::wire::Base64,
    /// The lease to compare with.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<crate::wire::Int64>,
    /// The revision of the last change to compare with.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub mod_revision: ::std::option::Option<crate::wire::Int64>,
    /// The relation that must hold.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub result: ::std::option::Option<CompareResult>,
    /// The field to compare.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub target: ::std::option::Option<CompareTarget>,
    /// The value to compare with.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<crate::wire::Base64>,
    /// The version to compare with.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<crate::wire::Int64>,
}
/// The relation of a condition.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CompareResult {
    /// `Equal`
    #[serde(rename = "EQUAL")]
    Equal,
    /// `Greater`
    #[serde(rename = "GREATER")]
    Greater,
    /// `Less`
    #[serde(rename = "LESS")]
    Less,
    /// `NotEqual`
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}
impl ::std::fmt::Display for CompareResult {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Equal => f.write_str("EQUAL"),
            Self::Greater => f.write_str("GREATER"),
            Self::Less => f.write_str("LESS"),
            Self::NotEqual => f.write_str("NOT_EQUAL"),
        }
    }
}
impl ::std::str::FromStr for CompareResult {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "EQUAL" => Ok(Self::Equal),
            "GREATER" => Ok(Self::Greater),
            "LESS" => Ok(Self::Less),
            "NOT_EQUAL" => Ok(Self::NotEqual),
            _ => Err("invalid value".into()),
        }
    }
}
/// The field that a condition compares.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CompareTarget {
    /// `Version`
    #[serde(rename = "VERSION")]
    Version,
    /// `Create`
    #[serde(rename = "CREATE")]
    Create,
    /// `Mod`
    #[serde(rename = "MOD")]
    Mod,
    /// `Value`
    #[serde(rename = "VALUE")]
    Value,
    /// `Lease`
    #[serde(rename = "LEASE")]
    Lease,
}
impl ::std::fmt::Display for CompareTarget {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Version => f.write_str("VERSION"),
            Self::Create => f.write_str("CREATE"),
            Self::Mod => f.write_str("MOD"),
            Self::Value => f.write_str("VALUE"),
            Self::Lease => f.write_str("LEASE"),
        }
    }
}
impl ::std::str::FromStr for CompareTarget {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "VERSION" => Ok(Self::Version),
            "CREATE" => Ok(Self::Create),
            "MOD" => Ok(Self::Mod),
            "VALUE" => Ok(Self::Value),
            "LEASE" => Ok(Self::Lease),
            _ => Err("invalid value".into()),
        }
    }
}
/// The body of `/v3/kv/deleterange`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DeleteRangeRequest {
    /// The key, or the first of the range.
    pub key: crate::wire::Base64,
    /// The end of the range, exclusive.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub range_end: ::std::option::Option<crate::wire::Base64>,
}
/// The answer of `/v3/kv/deleterange`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct DeleteRangeResponse {
    /// The number of deleted keys.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub deleted: ::std::option::Option<crate::wire::Int64>,
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
}
impl ::std::default::Default for DeleteRangeResponse {
    fn default() -> Self {
        Self {
            deleted: Default::default(),
            header: Default::default(),
        }
    }
}
/// A change of one key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Event {
    /// The key after the change.
    pub kv: KeyValue,
    /// The key before the change.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub prev_kv: ::std::option::Option<KeyValue>,
    /// The kind of change; absent means `PUT`.
    #[serde(
        rename = "type",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub type_: ::std::option::Option<EventType>,
}
/// The kind of change of a key.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum EventType {
    /// `Put`
    #[serde(rename = "PUT")]
    Put,
    /// `Delete`
    #[serde(rename = "DELETE")]
    Delete,
}
impl ::std::fmt::Display for EventType {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Put => f.write_str("PUT"),
            Self::Delete => f.write_str("DELETE"),
        }
    }
}
impl ::std::str::FromStr for EventType {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "PUT" => Ok(Self::Put),
            "DELETE" => Ok(Self::Delete),
            _ => Err("invalid value".into()),
        }
    }
}
/// An error response of the store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GatewayError {
    /// The gRPC status code.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub code: ::std::option::Option<i64>,
    /// The reason in a sentence.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub error: ::std::option::Option<::std::string::String>,
    /// The reason again.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<::std::string::String>,
}
impl ::std::default::Default for GatewayError {
    fn default() -> Self {
        Self {
            code: Default::default(),
            error: Default::default(),
            message: Default::default(),
        }
    }
}
/// A key with its value.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The revision of its creation.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub create_revision: ::std::option::Option<crate::wire::Int64>,
    /// The key.
    pub key: crate::wire::Base64,
    /// The lease that the key is attached to.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<crate::wire::Int64>,
    /// The revision of its last change.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub mod_revision: ::std::option::Option<crate::wire::Int64>,
    /// The value.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<crate::wire::Base64>,
    /// The number of changes since its creation, which counts as one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<crate::wire::Int64>,
}
/// The body of `/v3/lease/grant`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseGrantRequest {
    /// The requested id; zero lets the store choose one.
    #[serde(
        rename = "ID",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub id: ::std::option::Option<crate::wire::Int64>,
    /// The time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: crate::wire::Int64,
}
/// The answer of `/v3/lease/grant`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseGrantResponse {
    /// Why no lease was granted.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub error: ::std::option::Option<::std::string::String>,
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The lease.
    #[serde(
        rename = "ID",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub id: ::std::option::Option<crate::wire::Int64>,
    /// The time to live, in seconds.
    #[serde(
        rename = "TTL",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub ttl: ::std::option::Option<crate::wire::Int64>,
}
impl ::std::default::Default for LeaseGrantResponse {
    fn default() -> Self {
        Self {
            error: Default::default(),
            header: Default::default(),
            id: Default::default(),
            ttl: Default::default(),
        }
    }
}
/// A lease's state after a renewal.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseKeepAlive {
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The lease.
    #[serde(
        rename = "ID",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub id: ::std::option::Option<crate::wire::Int64>,
    /// The new time to live, in seconds; zero or absent if the lease has expired.
    #[serde(
        rename = "TTL",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub ttl: ::std::option::Option<crate::wire::Int64>,
}
impl ::std::default::Default for LeaseKeepAlive {
    fn default() -> Self {
        Self {
            header: Default::default(),
            id: Default::default(),
            ttl: Default::default(),
        }
    }
}
/// The body of `/v3/lease/keepalive`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseKeepAliveRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: crate::wire::Int64,
}
/// One line of `/v3/lease/keepalive`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseKeepAliveResponse {
    /// The lease's state.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub result: ::std::option::Option<LeaseKeepAlive>,
}
impl ::std::default::Default for LeaseKeepAliveResponse {
    fn default() -> Self {
        Self { result: Default::default() }
    }
}
/// The body of `/v3/lease/revoke`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRevokeRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: crate::wire::Int64,
}
/// The answer of `/v3/lease/revoke`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRevokeResponse {
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
}
impl ::std::default::Default for LeaseRevokeResponse {
    fn default() -> Self {
        Self { header: Default::default() }
    }
}
/// The body of `/v3/kv/put`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PutRequest {
    /// The key.
    pub key: crate::wire::Base64,
    /// The lease to attach the key to.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<crate::wire::Int64>,
    /// Whether to answer with the old value.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub prev_kv: ::std::option::Option<bool>,
    /// The value.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<crate::wire::Base64>,
}
/// The answer of `/v3/kv/put`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PutResponse {
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The old value.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub prev_kv: ::std::option::Option<KeyValue>,
}
impl ::std::default::Default for PutResponse {
    fn default() -> Self {
        Self {
            header: Default::default(),
            prev_kv: Default::default(),
        }
    }
}
/// The body of `/v3/kv/range`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RangeRequest {
    /// The key, or the first of the range.
    pub key: crate::wire::Base64,
    /// Whether to leave out the values.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub keys_only: ::std::option::Option<bool>,
    /// The maximum number of keys to return.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub limit: ::std::option::Option<crate::wire::Int64>,
    /// The end of the range, exclusive.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub range_end: ::std::option::Option<crate::wire::Base64>,
    /// The revision to read at.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<crate::wire::Int64>,
}
/// The answer of `/v3/kv/range`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RangeResponse {
    /// The number of keys in the range.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub count: ::std::option::Option<crate::wire::Int64>,
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The keys found, in order.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub kvs: ::std::vec::Vec<KeyValue>,
    /// Whether the limit excluded further keys.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub more: ::std::option::Option<bool>,
}
impl ::std::default::Default for RangeResponse {
    fn default() -> Self {
        Self {
            count: Default::default(),
            header: Default::default(),
            kvs: Default::default(),
            more: Default::default(),
        }
    }
}
/// An operation of a transaction; exactly one field is set.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RequestOp {
    /// A deletion.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub request_delete_range: ::std::option::Option<DeleteRangeRequest>,
    /// A write.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub request_put: ::std::option::Option<PutRequest>,
    /// A read.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub request_range: ::std::option::Option<RangeRequest>,
}
impl ::std::default::Default for RequestOp {
    fn default() -> Self {
        Self {
            request_delete_range: Default::default(),
            request_put: Default::default(),
            request_range: Default::default(),
        }
    }
}
/// The header of each answer of the store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ResponseHeader {
    /// The store's id.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub cluster_id: ::std::option::Option<crate::wire::Int64>,
    /// The answering member's id.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub member_id: ::std::option::Option<crate::wire::Int64>,
    /// The Raft term of the store.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub raft_term: ::std::option::Option<crate::wire::Int64>,
    /// The store's revision at the time of the answer.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<crate::wire::Int64>,
}
impl ::std::default::Default for ResponseHeader {
    fn default() -> Self {
        Self {
            cluster_id: Default::default(),
            member_id: Default::default(),
            raft_term: Default::default(),
            revision: Default::default(),
        }
    }
}
/// The answer to an operation; exactly one field is set.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ResponseOp {
    /// The answer to a deletion.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub response_delete_range: ::std::option::Option<DeleteRangeResponse>,
    /// The answer to a write.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub response_put: ::std::option::Option<PutResponse>,
    /// The answer to a read.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub response_range: ::std::option::Option<RangeResponse>,
}
impl ::std::default::Default for ResponseOp {
    fn default() -> Self {
        Self {
            response_delete_range: Default::default(),
            response_put: Default::default(),
            response_range: Default::default(),
        }
    }
}
/// The body of `/v3/kv/txn`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TxnRequest {
    /// The conditions, all of which must hold.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub compare: ::std::vec::Vec<Compare>,
    /// The operations to run if the conditions do not hold.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub failure: ::std::vec::Vec<RequestOp>,
    /// The operations to run if the conditions hold.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub success: ::std::vec::Vec<RequestOp>,
}
impl ::std::default::Default for TxnRequest {
    fn default() -> Self {
        Self {
            compare: Default::default(),
            failure: Default::default(),
            success: Default::default(),
        }
    }
}
/// The answer of `/v3/kv/txn`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TxnResponse {
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The answers, in the order of the operations.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub responses: ::std::vec::Vec<ResponseOp>,
    /// Whether the conditions held.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub succeeded: ::std::option::Option<bool>,
}
impl ::std::default::Default for TxnResponse {
    fn default() -> Self {
        Self {
            header: Default::default(),
            responses: Default::default(),
            succeeded: Default::default(),
        }
    }
}
/// A VM of the fleet.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Vm {
    /// The address of the Jujubewind process on the VM.
    pub addr: ::std::string::String,
    /// The failure domain of the VM.
    pub domain: ::std::string::String,
    /// The name of the VM.
    pub name: ::std::string::String,
    /// The role of the process on the VM.
    pub role: VmRole,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}
/// The answer of `GET /v1/vms`, which lags behind the actual state.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct VmList {
    /// The age of the list, in milliseconds.
    pub as_of_ms: u64,
    /// The known VMs.
    pub vms: ::std::vec::Vec<Vm>,
}
/// The role of the process on a VM.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmRole {
    /// `Entry`
    #[serde(rename = "entry")]
    Entry,
    /// `Agent`
    #[serde(rename = "agent")]
    Agent,
}
impl ::std::fmt::Display for VmRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Agent => f.write_str("agent"),
        }
    }
}
impl ::std::str::FromStr for VmRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            _ => Err("invalid value".into()),
        }
    }
}
/// Whether a VM is live or leaving.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmState {
    /// `Live`
    #[serde(rename = "live")]
    Live,
    /// `Leaving`
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
/// What to watch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchCreate {
    /// The key, or the first of the range.
    pub key: crate::wire::Base64,
    /// The end of the range, exclusive.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub range_end: ::std::option::Option<crate::wire::Base64>,
    /// The first revision to report; zero means from now on.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub start_revision: ::std::option::Option<crate::wire::Int64>,
}
/// The body of `/v3/watch`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}
/// One line of `/v3/watch`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Why the watch ended.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub error: ::std::option::Option<GatewayError>,
    /// What happened.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub result: ::std::option::Option<WatchResult>,
}
impl ::std::default::Default for WatchResponse {
    fn default() -> Self {
        Self {
            error: Default::default(),
            result: Default::default(),
        }
    }
}
/// The changes of the watched keys.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchResult {
    /// Whether this is the last line of the watch.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub canceled: ::std::option::Option<bool>,
    /// The oldest available revision, if the requested one was compacted.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub compact_revision: ::std::option::Option<crate::wire::Int64>,
    /// Whether this is the first line of the watch.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub created: ::std::option::Option<bool>,
    /// The changes, in order of revision.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub events: ::std::vec::Vec<Event>,
    /// The store's revision.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub header: ::std::option::Option<ResponseHeader>,
    /// The watch.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub watch_id: ::std::option::Option<crate::wire::Int64>,
}
impl ::std::default::Default for WatchResult {
    fn default() -> Self {
        Self {
            canceled: Default::default(),
            compact_revision: Default::default(),
            created: Default::default(),
            events: Default::default(),
            header: Default::default(),
            watch_id: Default::default(),
        }
    }
}
