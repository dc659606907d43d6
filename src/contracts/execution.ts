/** Whether a failed request can have had an effect. `not-run` is a promise, `unknown` is not. */
export type Execution = 'not-run' | 'unknown';
