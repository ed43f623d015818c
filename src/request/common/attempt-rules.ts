/** The rules that differ between attempts sent through an agent and attempts sent directly to an upstream. */

/** Determines how attempts are counted, retried, timed out and cancelled. */
export type AttemptRules = {
	/** Whether a refused attempt counts against the maximum number of attempts at a stage. */
	readonly countsRefusals: boolean;
	/** Number of refusals after which the request is refused; without agents the retry after each refusal is also charged to the retry budget. */
	readonly maxRefusals: number;
	/** Whether the retry of a refused attempt is charged to the retry budget. */
	readonly chargesRefusalsToRetryBudget: boolean;
	/** Whether a repeatable request is retried after a complete answer that reports an error. */
	readonly retriesErrorAnswers: boolean;
	/** Whether the timeout runs from the time of sending, rather than from the first message that shows a start. */
	readonly startsTimeoutAtSend: boolean;
	/** Whether work that may not be repeated is also cancelled when its caller disconnects. */
	readonly cancelsOnCallerDisconnect: boolean;
};

/** Rules for upstreams behind agents: retrying a refusal is free, and work that may not be repeated is followed to its end. */
export const agentRules: AttemptRules = {
	countsRefusals: true, maxRefusals: Infinity, chargesRefusalsToRetryBudget: false, retriesErrorAnswers: false, startsTimeoutAtSend: false, cancelsOnCallerDisconnect: false,
};

/**
Rules for attempts sent directly to upstreams: each attempt loads a server that may be full, and nobody queries the outcome
of the work later. Three refusals show that the pool is full, and not only a single server.
*/
export const directRules: AttemptRules = {
	countsRefusals: false, maxRefusals: 3, chargesRefusalsToRetryBudget: true, retriesErrorAnswers: true, startsTimeoutAtSend: true, cancelsOnCallerDisconnect: true,
};
