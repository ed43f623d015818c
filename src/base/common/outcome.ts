/** Outcomes as values: what a call returns when failing is an ordinary result. */

/** A call that gave its result. */
export type Success<T> = {readonly ok: true; readonly value: T};

/** A call that failed, with a typed reason. */
export type Failure<E> = {readonly ok: false; readonly error: E};

/** Either a result or a typed reason why there is none. */
export type Outcome<T, E> = Success<T> | Failure<E>;

/**
Wraps a result.
@param value - what the call gives.
@returns the success.
*/
export function ok<T>(value: T): Success<T> {
	return {ok: true, value};
}

/**
Wraps a reason for failing.
@param error - why there is no result.
@returns the failure.
*/
export function fail<E>(error: E): Failure<E> {
	return {ok: false, error};
}
