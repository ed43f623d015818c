/** What differs between attempts that an agent gates and attempts that go straight to an upstream. */

/** How attempts are counted, retried and given up. */
export type AttemptRules = {
	/** Whether a send that was refused counts as one of the attempts a stage may have. */
	readonly countsRefusals: boolean;
	/** Refusals after which the request is refused; without agents each one also needs the budget of repeats. */
	readonly mostRefusals: number;
	/** Whether a refused send is repeated only within the budget of repeats. */
	readonly paysForRefusals: boolean;
	/** Whether an answer that tells an error is tried again where the request may be repeated. */
	readonly retriesErrorAnswers: boolean;
	/** Whether silence counts from the send, not only from the first sign of a start. */
	readonly timesFromSend: boolean;
	/** Whether work that may not be repeated is cancelled as well when its caller leaves. */
	readonly cancelsWithCaller: boolean;
};

/** Behind agents: a refusal is free, and work that may not be repeated is followed to its end. */
export const agentRules: AttemptRules = {
	countsRefusals: true, mostRefusals: Infinity, paysForRefusals: false, retriesErrorAnswers: false, timesFromSend: false, cancelsWithCaller: false,
};

/**
Straight to upstreams: each send loads a server that may be full, and nobody asks later what became of the work.
Three refusals in a row mean that a pool is full, not one server.
*/
export const directRules: AttemptRules = {
	countsRefusals: false, mostRefusals: 3, paysForRefusals: true, retriesErrorAnswers: true, timesFromSend: true, cancelsWithCaller: true,
};
