/**
 * Priority class: `urgent` when a person is waiting for the response, `patient` for long-running
 * requests with less strict latency targets.
 */
export type Rank = 'urgent' | 'patient';
