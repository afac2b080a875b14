//! The reasons for refusing work; each has a counter and a paragraph in the operators' guide.

crate::label! {
    /// Why work was refused.
    pub enum Reason {
        /// The body is longer than the limit.
        BodyTooLarge = "body_too_large",
        /// The process holds too much for other callers.
        Overloaded = "overloaded",
        /// The body arrived too slowly.
        BodyTooSlow = "body_too_slow",
        /// The body is not the JSON that the route expects.
        BadRequest = "bad_request",
        /// The API key is missing or unknown.
        Unauthorized = "unauthorized",
        /// The catalogue has no such model or service for this organisation.
        UnknownModel = "unknown_model",
        /// No such route.
        UnknownRoute = "unknown_route",
        /// The prompt is longer than all engines together could hold.
        PromptTooLong = "prompt_too_long",
        /// The predicted completion is after the request's deadline.
        NoTime = "no_time",
        /// The request's deadline has passed.
        DeadlinePassed = "deadline_passed",
        /// The queue is full.
        QueueFull = "queue_full",
        /// The engine has too little unreserved memory.
        NoMemory = "no_memory",
        /// The backend server is draining.
        Leaving = "leaving",
        /// No live backend server serves this model.
        NoBackend = "no_backend",
        /// The backend server does not answer.
        BackendDown = "backend_down",
        /// The retry budget is used up.
        RetryBudget = "retry_budget",
        /// The catalogue entry has exceeded its request rate.
        RequestRate = "request_rate",
        /// The catalogue entry has exceeded its token rate.
        TokenRate = "token_rate",
        /// The owner has too many concurrent requests.
        Concurrency = "concurrency",
        /// The catalogue entry has no engine time left.
        NoCredit = "no_credit",
        /// The call is not idempotent and has no idempotency key.
        KeyRequired = "key_required",
        /// The idempotency key was already used with another body.
        KeyMismatch = "key_mismatch",
        /// A call with the same idempotency key is in progress.
        KeyBusy = "key_busy",
        /// The platform's store does not answer, so the call cannot be claimed.
        StoreDown = "store_down",
        /// The call was sent and its answer was lost.
        OutcomeUnknown = "outcome_unknown",
        /// The request has crashed backend servers before.
        Convicted = "convicted",
        /// The order has a stale fencing token.
        StaleFence = "stale_fence",
        /// The attempt was cancelled before it started.
        Cancelled = "cancelled",
        /// This process is stopping.
        Stopping = "stopping",
        /// No catalogue has been read yet.
        NoCatalogue = "no_catalogue",
        /// The part of the configuration that the request needs cannot be read.
        UnreadableTable = "unreadable_table",
    }
}
