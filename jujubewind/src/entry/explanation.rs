//! Where a request would go, and why.

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
    /// The answer of `GET /explain`; the request is not run, and nothing is taken from limits.
    pub struct Explanation {
        /// The organisation.
        pub org: OrgId,
        /// The model or plain service.
        pub model: ModelId,
        /// The prompt's length.
        pub tokens: Tokens,
        /// The longest answer, which estimates include.
        pub output: Tokens,
        /// The catalogue revision in force here.
        pub revision: Revision,
        /// The catalogue entry.
        pub entry: EntryId,
        /// Its class of work.
        pub class: Class,
        /// Its limits.
        pub limits: Limits,
        /// The agents that were asked, in order.
        pub candidates: Vec<CandidateEstimate>,
        /// Where the request would go.
        pub choice: Destination,
    }

    /// One agent that was asked.
    pub struct CandidateEstimate {
        /// The agent.
        pub node: NodeId,
        /// The engines that would share the prompt.
        pub parts: u64,
        /// What it answered.
        pub answer: Estimate,
    }

    /// An agent's answer.
    #[serde(rename_all = "snake_case")]
    pub enum Estimate {
        /// It would take the request.
        Taken {
            /// Predicted time to first token.
            first: Millis,
            /// Predicted time to the last token.
            total: Millis,
        },
        /// The prompt needs more memory than one engine can give it.
        TooLong {
            /// The most that one request can have there.
            ceiling: Tokens,
        },
        /// It would refuse the request.
        Refused(Refusal),
        /// It did not answer in time.
        Silent,
        /// It stands beside a plain service, which gives no estimates.
        Unasked,
    }

    /// Where a request would go.
    #[serde(rename_all = "snake_case")]
    pub enum Destination {
        /// To these agents, the first of which leads.
        Nodes {
            /// The agents.
            nodes: Vec<NodeId>,
            /// Why these.
            why: String,
        },
        /// Nowhere.
        Refused {
            /// Why not.
            reason: Reason,
            /// When coming back makes sense.
            retry: Millis,
            /// What to do.
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
