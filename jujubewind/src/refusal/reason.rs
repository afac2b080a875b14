//! The reasons for refusing work; each has a counter and a paragraph for operators.

crate::label! {
    /// Why work was refused.
    pub enum Reason {
        /// The body is longer than the limit.
        BodyTooLarge = "body_too_large",
        /// The body came too slowly.
        BodyTooSlow = "body_too_slow",
        /// The body is not the JSON that the route expects.
        BadRequest = "bad_request",
        /// The key is missing or belongs to nobody.
        Unauthorized = "unauthorized",
        /// The catalogue has no such model or service for this organisation.
        UnknownModel = "unknown_model",
        /// No such route.
        UnknownRoute = "unknown_route",
        /// The prompt is longer than all engines together could hold.
        PromptTooLong = "prompt_too_long",
        /// The predicted end lies beyond the request's time.
        NoTime = "no_time",
        /// The time ran out.
        DeadlinePassed = "deadline_passed",
        /// The queue is full.
        QueueFull = "queue_full",
        /// The engine's memory is reserved.
        NoMemory = "no_memory",
        /// The backend server is leaving.
        Leaving = "leaving",
        /// No live backend server serves this model.
        NoBackend = "no_backend",
        /// The backend server does not answer.
        BackendDown = "backend_down",
        /// The retry budget is used up.
        RetryBudget = "retry_budget",
        /// The entry has used up its requests in this interval.
        RequestRate = "request_rate",
        /// The entry has used up its tokens in this interval.
        TokenRate = "token_rate",
        /// The owner has too many requests at once.
        Concurrency = "concurrency",
        /// The entry has no engine time left.
        NoCredit = "no_credit",
        /// The call may not be repeated and carries no idempotency key.
        KeyRequired = "key_required",
        /// Another body came under the same idempotency key.
        KeyMismatch = "key_mismatch",
        /// A call with the same idempotency key is under way.
        KeyBusy = "key_busy",
        /// The platform's store does not answer, so the call cannot be claimed.
        StoreDown = "store_down",
        /// The call was sent and its answer was lost.
        OutcomeUnknown = "outcome_unknown",
        /// The request crashed backend servers before.
        Convicted = "convicted",
        /// The order's fencing number is old.
        StaleFence = "stale_fence",
        /// The attempt was cancelled before it began.
        Cancelled = "cancelled",
        /// This process is stopping.
        Stopping = "stopping",
        /// No catalogue has been read yet.
        NoCatalogue = "no_catalogue",
    }
}
