/**
 * Priority class: `urgent` when a person is waiting for the response, `patient` for long drafts.
 */
export type Rank = 'urgent' | 'patient';
