import type { Outcome } from '../../src/errors/Outcome.js';

/** Entry of a recorded order history, in the order of occurrence. */
export type OrderEvent =
  | {
      readonly kind: 'send';
      readonly sendId: string;
      readonly order: string;
      /** Set when the outcome is known in the region, so that the send has to find it. */
      readonly mustFind?: boolean;
    }
  | {
      /** A backend server executed an order that a send caused. */
      readonly kind: 'run';
      readonly order: string;
      readonly sendId: string;
      readonly confirmation: string;
    }
  | {
      readonly kind: 'answer';
      readonly sendId: string;
      readonly outcome: Outcome;
      /** Set with "not-run" when no send of the key may ever run. */
      readonly finalForKey?: boolean;
      /** Set with "run" when the backend server's answer was passed on. */
      readonly confirmation?: string | undefined;
    };
