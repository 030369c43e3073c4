/** Urgent: a person waits for the answer. Patient: long drafts. */
export type Rank = 'urgent' | 'patient';
