/** Longest delay of a timer. Node.js fires a timer with a longer one at once. */
export const maximumTimerMilliseconds = 2_147_483_647;
