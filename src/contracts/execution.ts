/**
 * Whether a failed request can have had an effect. `not-run` guarantees that it had none and will have none;
 * with `unknown` it may have been executed or may be executed later.
 */
export type Execution = 'not-run' | 'unknown';
