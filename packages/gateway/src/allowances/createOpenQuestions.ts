import type { Clock } from '@camphorbarrow/core';
import type { MessageHead } from './allowanceMessages.js';

/** Longest time for which an answer is of use. */
const MAX_AGE_MS = 2_000;

/** Question that was sent to an owner and may still be answered. */
export interface OpenQuestion {
  readonly sentAtMs: number;
  readonly slot: number;
}

export interface OpenQuestionsOptions {
  readonly clock: Clock;
  /** Random id of this process. */
  readonly ownIncarnation: string;
}

/** Questions of this host that wait for answers. */
export interface OpenQuestions {
  /** Registers a question that is sent now and returns its number. */
  open(slot: number): number;
  /** Ends the question of an answer. Returns undefined if this is not the first answer to it. */
  take(answer: MessageHead): OpenQuestion | undefined;
  dropExpired(): void;
}

export function createOpenQuestions(options: OpenQuestionsOptions): OpenQuestions {
  const { clock, ownIncarnation } = options;
  const questions = new Map<number, OpenQuestion>();
  let latest = 0;

  const isExpired = ({ sentAtMs }: OpenQuestion): boolean =>
    clock.monotonicMs() - sentAtMs > MAX_AGE_MS;

  return {
    open(slot) {
      latest += 1;
      questions.set(latest, { sentAtMs: clock.monotonicMs(), slot });
      return latest;
    },
    take({ incarnation, sequence, slot }) {
      const question = questions.get(sequence);
      if (incarnation !== ownIncarnation || question?.slot !== slot) {
        return undefined;
      }
      questions.delete(sequence);
      return question;
    },
    dropExpired() {
      questions.forEach((question, sequence) => {
        if (isExpired(question)) {
          questions.delete(sequence);
        }
      });
    },
  };
}
