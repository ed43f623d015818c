/** Result type for calls whose failure is an ordinary result rather than an exception. */

/** Result of a call that succeeded. */
export type Success<T> = {readonly ok: true; readonly value: T};

/** Result of a call that failed, with a typed reason. */
export type Failure<E> = {readonly ok: false; readonly error: E};

/** Either a value or a typed reason why there is none. */
export type Outcome<T, E> = Success<T> | Failure<E>;

/**
Creates a success.
@param value - the value of the call.
@returns the success.
*/
export function ok<T>(value: T): Success<T> {
	return {ok: true, value};
}

/**
Creates a failure.
@param error - why there is no value.
@returns the failure.
*/
export function fail<E>(error: E): Failure<E> {
	return {ok: false, error};
}
