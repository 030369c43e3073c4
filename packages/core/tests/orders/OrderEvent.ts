import type { Outcome } from '../../src/errors/Outcome.js';

/** Event of a recorded order history; events are recorded in the order in which they occur. */
export type OrderEvent =
  | {
      readonly kind: 'send';
      readonly sendId: string;
      readonly order: string;
      /**
       * Set when a running process of the region knows the outcome, so that the send must find it.
       */
      readonly mustFindOutcome?: boolean;
    }
  | {
      /** Execution of an order by a backend server, caused by a send. */
      readonly kind: 'run';
      readonly order: string;
      readonly sendId: string;
      readonly confirmation: string;
    }
  | {
      readonly kind: 'answer';
      readonly sendId: string;
      readonly outcome: Outcome;
      /** Set with "not-run" when no send with the same key may run later. */
      readonly finalForKey?: boolean;
      /** Set with "run" when the backend server's response was returned. */
      readonly confirmation?: string | undefined;
    };
