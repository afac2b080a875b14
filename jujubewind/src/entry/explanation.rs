//! Explanation of how a request would be routed.

use crate::catalogue::Limits;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::QuoteReply;
use crate::types::Class;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::OrgId;
use crate::types::Revision;
use crate::types::Tokens;

crate::data! {
    /// The response of `GET /explain`. The request is not run and does not count against limits.
    pub struct Explanation {
        /// The organisation.
        pub org: OrgId,
        /// The model or plain service.
        pub model: ModelId,
        /// The prompt's length.
        pub tokens: Tokens,
        /// The maximum length of the answer that the estimates assume.
        pub output: Tokens,
        /// The catalogue revision that this entry uses.
        pub revision: Revision,
        /// The catalogue entry.
        pub entry: EntryId,
        /// The class of work.
        pub class: Class,
        /// The limits of the catalogue entry.
        pub limits: Limits,
        /// The agents asked for an estimate, in order.
        pub candidates: Vec<CandidateEstimate>,
        /// The decision.
        pub choice: Destination,
    }

    /// One agent and its answer.
    pub struct CandidateEstimate {
        /// The agent.
        pub node: NodeId,
        /// The number of engines that would share the prompt.
        pub parts: u64,
        /// Its answer.
        pub answer: Estimate,
    }

    /// An agent's answer to a request for an estimate.
    #[serde(rename_all = "snake_case")]
    pub enum Estimate {
        /// It would accept the request.
        Taken {
            /// Predicted time to first token.
            first: Millis,
            /// Predicted time to the last token.
            total: Millis,
        },
        /// The prompt needs more memory than one engine has available.
        TooLong {
            /// The most memory that one request can get there.
            ceiling: Tokens,
        },
        /// It would refuse the request.
        Refused(Refusal),
        /// It did not answer in time.
        Silent,
        /// It was not asked, as it runs beside a plain service, which has no estimates.
        Unasked,
    }

    /// The routing decision for a request.
    #[serde(rename_all = "snake_case")]
    pub enum Destination {
        /// To these agents, the first of which is the group's primary.
        Nodes {
            /// The agents.
            nodes: Vec<NodeId>,
            /// Why they were chosen.
            why: String,
        },
        /// The request would be refused.
        Refused {
            /// The reason.
            reason: Reason,
            /// Delay before a retry.
            retry: Millis,
            /// What the caller can do about it.
            remedy: String,
        },
    }
}

impl From<&QuoteReply> for Estimate {
    fn from(reply: &QuoteReply) -> Self {
        match reply {
            QuoteReply::Estimate { first, total, .. } => Self::Taken {
                first: *first,
                total: *total,
            },
            QuoteReply::TooLong { ceiling } => Self::TooLong { ceiling: *ceiling },
            QuoteReply::Refused(refusal) => Self::Refused(refusal.clone()),
        }
    }
}
